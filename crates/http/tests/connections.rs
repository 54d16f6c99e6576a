//! Failure cases of connections: order of pipelined requests, clients that disconnect, incomplete
//! answers, answers to another request, and limits that change while a connection is open.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    serve,
    Answer,
    Bytes,
    ClientLimits,
    Handler,
    Headers,
    HttpClient,
    MemoryBudget,
    OutboundRequest,
    Reachability,
    Request,
    SendFailure,
    ServerLimits,
    ServerPhase,
    Transport, //
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

struct Echo {
    idle_max_ms: Cell<u64>,
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
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            let mut answer = Answer::of_status(200);
            let body = String::from_utf8_lossy(&request.body).into_owned();
            answer.body = format!("{} {} {body}", request.method, request.path).into();
            answer
        })
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            head_max_bytes: 16 * 1_024,
            body_max_bytes: 1_024,
            request_max_ms: 300,
            idle_max_ms: self.idle_max_ms.get(),
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
    let handler = Rc::new(Echo {
        idle_max_ms: Cell::new(5_000),
        running_count: Rc::default(),
    });
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

#[ntex::test]
async fn pipelined_requests_are_answered_in_order() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let received = exchange(&mut stream, &(get("/slow/1") + &get("/2") + &get("/3"))).await;
    let positions: Vec<_> = ["GET /slow/1", "GET /2", "GET /3"]
        .iter()
        .map(|part| received.find(part).unwrap())
        .collect();
    assert!(positions.is_sorted(), "{received}");
}

#[ntex::test]
async fn a_request_pipelined_after_a_closing_answer_is_not_run() {
    let server = start().await;
    server.phase.send_replace(ServerPhase::Closing);
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let received = exchange(&mut stream, &(get("/1") + &get("/2"))).await;
    assert!(received.contains("connection: close"), "{received}");
    assert!(
        received.contains("GET /1") && !received.contains("GET /2"),
        "{received}"
    );
}

#[ntex::test]
async fn a_client_disconnect_cancels_its_request() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    stream.write_all(get("/slow").as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(server.handler.running_count.get(), 1);
    drop(stream);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(server.handler.running_count.get(), 0);
}

#[ntex::test]
async fn chunked_bodies_are_read_and_oversized_bodies_are_refused() {
    let server = start().await;
    let head = "POST /c HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let received = exchange(
        &mut stream,
        &format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
    )
    .await;
    assert!(received.contains("POST /c abcde"), "{received}");
    let large = format!(
        "POST /l HTTP/1.1\r\nhost: h\r\ncontent-length: 5000\r\n\r\n{}",
        "x".repeat(5_000)
    );
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let received = exchange(&mut stream, &large).await;
    assert!(received.starts_with("HTTP/1.1 413"), "{received}");
}

#[ntex::test]
async fn an_incomplete_request_is_refused_after_the_timeout() {
    let server = start().await;
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let started_at = Instant::now();
    let received = exchange(&mut stream, "GET /never HTTP/1.1\r\nhost:").await;
    assert!(received.starts_with("HTTP/1.1 408"), "{received}");
    assert!(started_at.elapsed() < Duration::from_secs(2));
}

#[ntex::test]
async fn a_raised_idle_limit_applies_to_open_connections() {
    let server = start().await;
    server.handler.idle_max_ms.set(300);
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    stream.write_all(get("/1").as_bytes()).await.unwrap();
    let mut buffer = [0_u8; 1_024];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
    server.handler.idle_max_ms.set(5_000);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let received = exchange(&mut stream, &get("/2")).await;
    assert!(received.contains("GET /2"), "{received}");
}

/// Starts a server that serves each connection with one of `scripts`, in order. Returns its address
/// and the count of accepted connections. Each part of a script answers one request: `reset` resets
/// the connection, other text is sent as raw bytes. After the text, the suffix `|reset` resets the
/// connection and `|end` closes it.
async fn start_raw(scripts: Vec<Vec<&'static str>>) -> (String, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let connection_count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&connection_count);
    tokio::task::spawn_local(async move {
        for script in scripts {
            let (mut stream, _) = listener.accept().await.unwrap();
            counted.set(counted.get() + 1);
            tokio::task::spawn_local(async move {
                let mut buffer = [0_u8; 4_096];
                for part in script {
                    if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
                        return;
                    }
                    if part == "reset" {
                        stream.set_zero_linger().unwrap();
                        return;
                    }
                    let (text, then) = part.split_once("|").unwrap_or((part, ""));
                    stream.write_all(text.as_bytes()).await.unwrap();
                    if then == "reset" {
                        stream.flush().await.unwrap();
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        stream.set_zero_linger().unwrap();
                        return;
                    }
                    if then == "end" {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_secs(5)).await;
            });
        }
    });
    (address, connection_count)
}

fn client_limits() -> ClientLimits {
    ClientLimits {
        idle_max_count: 8,
        idle_max_ms: 2_000,
        non_idempotent_idle_max_ms: 2_000,
        connect_max_ms: 500,
        body_max_bytes: 1_024,
        local_ip: None,
    }
}

fn client() -> HttpClient {
    HttpClient::new(client_limits())
}

async fn send(client: &HttpClient, address: &str, id: &str) -> Result<Answer, SendFailure> {
    let mut headers = Headers::default();
    headers.push("x-id", id);
    client
        .send(&OutboundRequest {
            address,
            method: "GET",
            path: "/",
            headers: &headers,
            body: &Bytes::new(),
            body_bytes_per_s: None,
            deadline: Instant::now() + Duration::from_millis(600),
            echo_header: Some("x-id"),
            idempotent: true,
        })
        .await
}

#[ntex::test]
async fn an_answer_is_accepted_only_if_it_is_complete() {
    let (address, _) = start_raw(vec![
        vec!["HTTP/1.1 200 OK\r\nx-id: a\r\n\r\nwhole|end"],
        vec!["HTTP/1.1 200 OK\r\nx-id: b\r\n\r\npart|reset"],
        vec!["HTTP/1.1 200 OK\r\nx-id: c\r\ncontent-length: 9\r\n\r\npart|end"],
    ])
    .await;
    let client = client();
    assert_eq!(send(&client, &address, "a").await.unwrap().body, "whole");
    for id in ["b", "c"] {
        let failure = send(&client, &address, id).await.unwrap_err();
        assert!(matches!(failure, SendFailure::Broken(_)), "{failure:?}");
    }
}

/// Sends a request for each cut of `answer`, which the server ends in the way `end`, and checks that none
/// is accepted.
async fn assert_cuts_are_broken(answer: &str, end: &str) {
    let mut scripts = Vec::new();
    for cut in 0..answer.len() {
        let script: &'static str = format!("{}|{end}", &answer[..cut]).leak();
        scripts.push(vec![script]);
    }
    let (address, _) = start_raw(scripts).await;
    let client = client();
    for cut in 0..answer.len() {
        let result = send(&client, &address, "a").await;
        assert!(
            matches!(result, Err(SendFailure::Broken(_))),
            "{:?} by {end}: {result:?}",
            &answer[..cut]
        );
    }
}

/// Guards against an answer that broke off and is passed on as a whole one: cut anywhere in its head or
/// body, by an orderly end or a reset.
#[ntex::test]
async fn an_answer_that_breaks_off_anywhere_is_never_accepted() {
    let head = "HTTP/1.1 200 OK\r\nx-id: a\r\nx-seal: 3e1b.07";
    let answers = [
        format!("{head}\r\ncontent-length: 12\r\nconnection: close\r\n\r\nHello\r\n\r\nyou"),
        format!("{head}\r\ntransfer-encoding: chunked\r\n\r\n5\r\nHello\r\n4\r\n you\r\n0\r\n\r\n"),
        format!("HTTP/1.1 100 Continue\r\n\r\n{head}\r\ncontent-length: 2\r\n\r\nok"),
    ];
    for answer in answers {
        for end in ["end", "reset"] {
            assert_cuts_are_broken(&answer, end).await;
        }
    }
}

/// An answer may have no length and end with its connection, but not before its head is whole.
#[ntex::test]
async fn an_answer_without_a_length_whose_head_breaks_off_is_not_accepted() {
    let head = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-type: text/plain\r\n\r\n";
    assert_cuts_are_broken(head, "end").await;
}

/// Guards against a refusal that a faulty server writes once more, which would tell of another request
/// that it has not run: at once, late, without an id, or with the id of a request that comes again.
#[ntex::test]
async fn a_refusal_that_is_written_again_is_not_taken_for_that_of_the_next_request() {
    let refusal =
        "HTTP/1.1 503 Service Unavailable\r\nx-id: a\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let twice: &'static str = refusal.repeat(2).leak();
    let without_id =
        "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let own = "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 3\r\n\r\nran";
    let own_again = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 3\r\n\r\nran";
    let cases = [
        (vec![vec![twice], vec![own]], "b"),
        (vec![vec![refusal, refusal], vec![own]], "b"),
        (vec![vec![refusal, without_id], vec![own]], "b"),
        (vec![vec![refusal, refusal], vec![own_again]], "a"),
    ];
    for (index, (scripts, next_id)) in cases.into_iter().enumerate() {
        let (address, _) = start_raw(scripts).await;
        let client = client();
        assert_eq!(send(&client, &address, "a").await.unwrap().status, 503);
        let result = send(&client, &address, next_id).await;
        match result {
            Ok(answer) => assert_eq!(answer.body, "ran", "case {index}"),
            Err(failure) => assert!(
                matches!(failure, SendFailure::Broken(_)),
                "case {index}: {failure:?}"
            ),
        }
    }
}

#[ntex::test]
async fn a_duplicate_answer_is_not_delivered_to_the_next_request() {
    let good = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 1\r\n\r\n1";
    let duplicated = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 1\r\n\r\n1";
    let own = "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 1\r\n\r\n2";
    let (address, connection_count) = start_raw(vec![vec![duplicated, good], vec![own]]).await;
    let client = client();
    assert_eq!(send(&client, &address, "a").await.unwrap().body, "1");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(send(&client, &address, "b").await.unwrap().body, "2");
    assert_eq!(connection_count.get(), 2);
}

#[ntex::test]
async fn a_late_duplicate_answer_is_detected_by_its_id() {
    let first = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 1\r\n\r\n1";
    let (address, _) = start_raw(vec![vec![first, first]]).await;
    let client = client();
    send(&client, &address, "a").await.unwrap();
    let failure = send(&client, &address, "b").await.unwrap_err();
    assert!(matches!(failure, SendFailure::Broken(_)), "{failure:?}");
}

#[ntex::test]
async fn only_a_request_that_was_not_sent_is_reported_as_refused() {
    let (address, _) = start_raw(vec![vec!["reset"]]).await;
    let client = client();
    let failure = send(&client, &address, "a").await.unwrap_err();
    assert!(matches!(failure, SendFailure::Broken(_)), "{failure:?}");
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap().to_string();
    drop(closed);
    let failure = send(&client, &address, "a").await.unwrap_err();
    assert!(matches!(failure, SendFailure::Refused(_)), "{failure:?}");
}

#[ntex::test]
async fn a_request_to_a_silent_server_ends_at_the_deadline() {
    let (address, _) = start_raw(vec![vec![""]]).await;
    let started_at = Instant::now();
    let failure = send(&client(), &address, "a").await.unwrap_err();
    assert_eq!(failure, SendFailure::Late);
    assert!(started_at.elapsed() < Duration::from_millis(800));
}

/// A process that is ending accepts a connection just before its listener closes.
#[ntex::test]
async fn a_listener_that_closes_just_after_it_accepted_is_not_reported_as_accepting() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::task::spawn_local(async move {
        let (accepted, _) = listener.accept().await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(listener);
        drop(accepted);
    });
    assert_eq!(client().probe(&address).await, Reachability::Refuses);
}

/// A server that has too many connections resets the next one, but goes on accepting others.
#[ntex::test]
async fn a_server_that_closes_a_connection_and_goes_on_listening_is_reported_as_accepting() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::task::spawn_local(async move {
        loop {
            let (accepted, _) = listener.accept().await.unwrap();
            drop(accepted);
        }
    });
    assert_eq!(client().probe(&address).await, Reachability::Accepts);
}

/// Starts a server that answers each request with `start`, and then with `filler` until the client
/// closes. Returns its address and the number of bytes that it has written.
async fn start_endless(start: &'static str, filler: &'static str) -> (String, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let written_bytes = Rc::new(Cell::new(0));
    let counter = Rc::clone(&written_bytes);
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0_u8; 4_096];
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        stream.write_all(start.as_bytes()).await.unwrap();
        while stream.write_all(filler.as_bytes()).await.is_ok() {
            counter.set(counter.get() + filler.len());
        }
        counter.set(usize::MAX);
    });
    (address, written_bytes)
}

/// Guards against a faulty server that sends bytes until the client closes.
#[ntex::test]
async fn an_answer_without_end_is_given_up_at_the_size_limit_and_its_connection_closed() {
    let long_line = "x".repeat(1_000);
    let header: &'static str = format!("x-filler: {long_line}\r\n").leak();
    let chunk: &'static str = format!("3e8\r\n{long_line}\r\n").leak();
    let filler: &'static str = long_line.leak();
    let ok = "HTTP/1.1 200 OK\r\nx-id: one\r\n";
    let scripts = [
        (ok, header),
        ("HTTP/1.1 200 OK\r\nx-filler: ", filler),
        (format!("{ok}\r\n").leak(), filler),
        (
            format!("{ok}transfer-encoding: chunked\r\n\r\n").leak(),
            chunk,
        ),
        (
            format!("{ok}content-length: 99999999999\r\n\r\n").leak(),
            filler,
        ),
        ("", filler),
    ];
    for (start, filler) in scripts {
        let (address, written_bytes) = start_endless(start, filler).await;
        let started_at = Instant::now();
        let result = send(&client(), &address, "one").await;
        assert!(
            matches!(result, Err(SendFailure::TooLarge | SendFailure::Broken(_))),
            "{start:?}: {result:?}"
        );
        assert!(
            started_at.elapsed() < Duration::from_millis(400),
            "{start:?}"
        );
        for _ in 0..100 {
            if written_bytes.get() == usize::MAX {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(written_bytes.get(), usize::MAX, "{start:?}: still open");
    }
}

/// Answers that are each within the limit, but never end, must not fill the memory together.
#[ntex::test]
async fn many_large_answers_at_once_are_bounded_in_their_sum() {
    let chunk: &'static str = "x".repeat(1_000).leak();
    let mut addresses = Vec::new();
    for _ in 0..8 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap().to_string());
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0_u8; 4_096];
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
            let head = "HTTP/1.1 200 OK\r\nx-id: one\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            for _ in 0..900 {
                if stream.write_all(chunk.as_bytes()).await.is_err() {
                    return;
                }
            }
            std::future::pending::<()>().await;
        });
    }
    let client = HttpClient::new(ClientLimits {
        body_max_bytes: 1_024 * 1_024,
        ..client_limits()
    })
    .with_memory(&MemoryBudget::new(2 * 1_024 * 1_024));
    let calls = addresses
        .iter()
        .map(|address| send(&client, address, "one"));
    let results = futures::future::join_all(calls).await;
    let mut cut_count = 0;
    for result in &results {
        cut_count += usize::from(*result == Err(SendFailure::TooLarge));
    }
    // Two answers of the largest size fit into the memory.
    assert!(cut_count >= 5, "{results:?}");
    // The bytes of those that were cut do not count any more.
    let (address, _) = start_raw(vec![vec![
        "HTTP/1.1 200 OK\r\nx-id: one\r\ncontent-length: 5\r\n\r\nwhole",
    ]])
    .await;
    assert_eq!(send(&client, &address, "one").await.unwrap().status, 200);
}
