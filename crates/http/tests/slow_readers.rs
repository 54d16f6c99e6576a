//! Tests of clients that stop reading for a while.

use std::rc::Rc;
use std::time::Duration;

use figway_http::{
    serve,
    Answer,
    Handler,
    Request,
    ServerLimits,
    ServerPhase, //
};
use futures::future::LocalBoxFuture;
use tokio::io::{
    AsyncReadExt as _,
    AsyncWriteExt as _, //
};
use tokio::net::{
    TcpListener,
    TcpSocket, //
};
use tokio::sync::watch;

/// Size of the answer; the buffers of a connection hold less.
const ANSWER_BYTES: usize = 12_000_000;

/// Time for which the client does not read.
const PAUSE: Duration = Duration::from_millis(3_500);

struct LargeAnswer;

impl Handler for LargeAnswer {
    fn handle(&self, _: Request) -> LocalBoxFuture<'_, Answer> {
        Box::pin(async {
            let mut answer = Answer::of_status(200);
            answer.body = vec![b'x'; ANSWER_BYTES].into();
            answer
        })
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            head_max_bytes: 16 * 1_024,
            body_max_bytes: 1_024,
            request_max_ms: 1_000,
            idle_max_ms: 1_000,
        }
    }

    fn stall_timeout(&self) -> Duration {
        2 * PAUSE
    }
}

#[ntex::test]
async fn a_client_that_stops_reading_for_some_seconds_gets_its_whole_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let phase = watch::Sender::new(ServerPhase::Open);
    tokio::task::spawn_local(serve(listener, Rc::new(LargeAnswer), phase.subscribe()));
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(8 * 1_024).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .await
        .unwrap();
    let mut start = [0_u8; 1_000];
    stream.read_exact(&mut start).await.unwrap();
    tokio::time::sleep(PAUSE).await;
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    assert!(start.len() + rest.len() > ANSWER_BYTES);
}
