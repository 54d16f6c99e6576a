//! Requests that a client pipelines on one connection: which overlap, and in which order they are
//! answered.

use std::cell::Cell;
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
    TcpStream, //
};
use tokio::sync::watch;

/// Time that a request runs whose path begins with `/slow`.
const SLOW: Duration = Duration::from_millis(300);

/// Size of the answer to a request whose path begins with `/large`; it does not fit the buffers of a
/// connection.
const LARGE_BYTES: usize = 16 * 1_024 * 1_024;

/// Answers with the method and the path. Requests whose path ends with `/safe` may overlap.
#[derive(Default)]
struct Echo {
    running_count: Rc<Cell<usize>>,
}

/// Decrements the count of running requests when dropped.
struct RunningGuard(Rc<Cell<usize>>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Handler for Echo {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        self.running_count.set(self.running_count.get() + 1);
        let running = RunningGuard(Rc::clone(&self.running_count));
        Box::pin(async move {
            let _running = running;
            if request.path.starts_with("/slow") {
                tokio::time::sleep(SLOW).await;
            }
            let mut answer = Answer::of_status(200);
            answer.body = match request.path.starts_with("/large") {
                true => vec![b'x'; LARGE_BYTES].into(),
                false => format!("{} {}", request.method, request.path).into(),
            };
            answer
        })
    }

    fn may_overlap(&self, request: &Request) -> bool {
        request.path.ends_with("/safe")
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            head_max_bytes: 16 * 1_024,
            body_max_bytes: 1_024,
            request_max_ms: 2_000,
            idle_max_ms: 5_000,
        }
    }
}

struct Server {
    address: String,
    handler: Rc<Echo>,
    phase: watch::Sender<ServerPhase>,
}

async fn start() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let handler = Rc::<Echo>::default();
    let phase = watch::Sender::new(ServerPhase::Open);
    tokio::task::spawn_local(serve(listener, handler.clone(), phase.subscribe()));
    Server {
        address,
        handler,
        phase,
    }
}

/// Sends `text` and returns all bytes received until the connection ends or stays idle.
async fn exchange(stream: &mut TcpStream, text: &str) -> String {
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let mut buffer = [0_u8; 4_096];
    while let Ok(Ok(length)) =
        tokio::time::timeout(Duration::from_millis(700), stream.read(&mut buffer)).await
    {
        if length == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8(received).unwrap()
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

/// Guards against safe requests that wait for the answers to earlier ones of their connection, and
/// against answers in another order than the requests.
#[ntex::test]
async fn pipelined_safe_requests_run_at_the_same_time() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let requests = get("/slow/1/safe") + &get("/2/safe") + &get("/slow/3/safe");
    stream.write_all(requests.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(server.handler.running_count.get(), 2);
    let received = exchange(&mut stream, "").await;
    let positions: Vec<_> = ["GET /slow/1/", "GET /2/", "GET /slow/3/"]
        .iter()
        .map(|part| received.find(part).unwrap())
        .collect();
    assert!(positions.is_sorted(), "{received}");
}

/// Guards against a request with side effects that runs beside others of its connection.
#[ntex::test]
async fn a_pipelined_request_that_may_not_overlap_runs_alone() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let requests = get("/slow/1/safe") + &get("/slow/2") + &get("/slow/3/safe");
    stream.write_all(requests.as_bytes()).await.unwrap();
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert_eq!(server.handler.running_count.get(), 1);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

/// Guards against requests that run and are cut off without an answer when the server stops.
#[ntex::test]
async fn overlapping_requests_are_all_answered_in_a_shutdown() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let requests = get("/slow/1/safe") + &get("/slow/2/safe");
    stream.write_all(requests.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    server.phase.send_replace(ServerPhase::Closing);
    let received = exchange(&mut stream, "").await;
    assert!(received.contains("GET /slow/2/"), "{received}");
    assert_eq!(
        received.matches("connection: close").count(),
        1,
        "{received}"
    );
}

/// Guards against requests that go on running after their client has left.
#[ntex::test]
async fn a_client_disconnect_cancels_all_requests_that_overlap() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let requests = get("/slow/1/safe") + &get("/slow/2/safe");
    stream.write_all(requests.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(server.handler.running_count.get(), 2);
    drop(stream);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(server.handler.running_count.get(), 0);
}

/// Guards against a request that can't be read, whose refusal overtakes the answers before it.
#[ntex::test]
async fn a_malformed_request_is_refused_after_the_answers_before_it() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let received = exchange(&mut stream, &(get("/slow/1/safe") + "NO SUCH\r\n\r\n")).await;
    let answer = received.find("GET /slow/1/safe").unwrap();
    let refusal = received.find("HTTP/1.1 400").unwrap();
    assert!(answer < refusal, "{received}");
}

/// Guards against an answer that goes out although the client asked for the connection to end with an
/// earlier one.
#[ntex::test]
async fn nothing_is_answered_behind_a_request_that_closes_the_connection() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let closing = "GET /2/safe HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    let requests = get("/slow/1/safe") + closing + &get("/3/safe");
    let received = exchange(&mut stream, &requests).await;
    assert!(received.contains("GET /slow/1/"), "{received}");
    assert!(received.contains("GET /2/"), "{received}");
    assert!(!received.contains("GET /3/"), "{received}");
}

/// Guards against requests that stand still, with all that they hold, while their client does not read
/// an earlier answer.
#[ntex::test]
async fn requests_end_while_an_earlier_answer_is_not_read() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let requests = get("/large/1/safe") + &get("/slow/2/safe");
    stream.write_all(requests.as_bytes()).await.unwrap();
    tokio::time::sleep(SLOW + Duration::from_millis(500)).await;
    assert_eq!(server.handler.running_count.get(), 0);
}

/// Guards against a go-ahead for a body that the client takes for an answer to an earlier request.
#[ntex::test]
async fn the_go_ahead_for_a_body_follows_the_answers_before_it() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let upload = "POST /2 HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    stream
        .write_all((get("/slow/1/safe") + upload).as_bytes())
        .await
        .unwrap();
    let received = exchange(&mut stream, "").await;
    let answer = received.find("GET /slow/1/safe").unwrap();
    let go_ahead = received.find("HTTP/1.1 100").unwrap();
    assert!(answer < go_ahead, "{received}");
    let received = exchange(&mut stream, "abc").await;
    assert!(received.contains("POST /2"), "{received}");
}
