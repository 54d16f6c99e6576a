//! Answers of a faulty server in which bytes without end stand where an answer should go on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    Bytes,
    ClientLimits,
    Headers,
    HttpClient,
    OutboundRequest,
    SendFailure,
    Transport as _, //
};
use tokio::io::{
    AsyncReadExt as _,
    AsyncWriteExt as _, //
};
use tokio::net::TcpListener;

/// Time until the deadline of each request. An answer without end is given up before.
const BUDGET: Duration = Duration::from_secs(5);

/// Longest time until a server notices that the client has closed.
const CLOSE_MAX: Duration = Duration::from_secs(2);

/// Smallest number of bytes that a server writes at once.
const WRITE_MIN_BYTES: usize = 64 * 1_024;

/// Largest answer body, in bytes.
const BODY_MAX_BYTES: usize = 1_024 * 1_024;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn client() -> HttpClient {
    HttpClient::new(ClientLimits {
        idle_max_count: 2,
        idle_max_ms: 1_000,
        non_idempotent_idle_max_ms: 1_000,
        connect_max_ms: 500,
        body_max_bytes: BODY_MAX_BYTES,
        local_ip: None,
    })
}

/// Starts a server that answers with `begin`, and then with `repeated` until the client closes. Returns
/// its address and whether the client has closed.
async fn start(begin: String, repeated: &str) -> (String, Rc<Cell<bool>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let is_closed = Rc::new(Cell::new(false));
    let closed = Rc::clone(&is_closed);
    let block = repeated.repeat(WRITE_MIN_BYTES / repeated.len().max(1) + 1);
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        let mut is_open = stream.write_all(begin.as_bytes()).await.is_ok();
        while is_open && !block.is_empty() {
            is_open = stream.write_all(block.as_bytes()).await.is_ok();
        }
        closed.set(true);
    });
    (address, is_closed)
}

async fn send(client: &HttpClient, address: &str) -> Result<usize, SendFailure> {
    let outbound = OutboundRequest {
        address,
        method: "GET",
        path: "/",
        headers: &Headers::default(),
        body: &Bytes::new(),
        body_bytes_per_s: None,
        deadline: Instant::now() + BUDGET,
        echo_header: None,
        idempotent: true,
    };
    let answer = client.send(&outbound).await?;
    Ok(answer.body.len())
}

/// Guards against a server that holds a request until its deadline, and the thread beside it, with
/// bytes that are no answer: interim answers, the size of a chunk, its extension, trailers.
#[ntex::test]
async fn bytes_that_are_no_answer_are_given_up_before_the_deadline() {
    let empty_lines = "a:\r\n".repeat(90);
    let interim = format!("HTTP/1.1 103 Early Hints\r\n{empty_lines}\r\n");
    for (begin, repeated) in [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", interim.as_str()),
        ("HTTP/1.1 200 ", "O"),
        ("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\na: ", "b"),
        (CHUNKED, "0"),
        (&format!("{CHUNKED}1;a="), "b"),
        (&format!("{CHUNKED}1;"), "a=b;"),
        (&format!("{CHUNKED}0\r\n"), "a: b\r\n"),
        (CHUNKED, "1;a=bbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\nx\r\n"),
    ] {
        let (address, is_closed) = start(begin.to_owned(), repeated).await;
        let result = send(&client(), &address).await;
        assert!(
            matches!(result, Err(SendFailure::Broken(_))),
            "{begin:?} {repeated:?}: {result:?}"
        );
        let deadline = Instant::now() + CLOSE_MAX;
        while !is_closed.get() {
            assert!(Instant::now() < deadline, "{begin:?} {repeated:?}: open");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against a sound answer that is taken for one without end: with small chunks, with interim
/// answers, or with a large body after another on the same connection.
#[ntex::test]
async fn sound_answers_with_much_framing_are_read() {
    let chunks = format!("{CHUNKED}{}0\r\n\r\n", "1\r\nx\r\n".repeat(200_000));
    let hints = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(100);
    let whole = format!("{hints}HTTP/1.1 200 OK\r\ncontent-length: {BODY_MAX_BYTES}\r\n\r\n");
    let large = format!("{whole}{}", "x".repeat(BODY_MAX_BYTES));
    for (answer, len) in [(chunks, 200_000), (large, BODY_MAX_BYTES)] {
        let (address, _) = start(answer, "").await;
        assert_eq!(send(&client(), &address).await, Ok(len));
    }
}
