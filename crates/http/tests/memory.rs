//! Tests of the memory that bodies take: large ones wait or are refused, small ones keep a share.

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    serve,
    Answer,
    Handler,
    MemoryBudget,
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

const MEMORY_BYTES: usize = 1_024 * 1_024;

/// Two bodies of this size don't fit into the memory at the same time.
const LARGE_BYTES: usize = 600_000;

/// Memory of the few connections that are open beside two large bodies.
const CONNECTIONS_BYTES: usize = 50_000;

/// Number of connections that surely take the whole memory.
const CONNECTION_MAX_COUNT: usize = 1_000;

/// Time for which the handler holds a request below `/slow`.
const SLOW: Duration = Duration::from_millis(200);

/// Time for which the handler holds a request below `/stuck`, longer than another waits for memory.
const STUCK: Duration = Duration::from_millis(1_000);

struct Holder {
    memory: MemoryBudget,
}

impl Handler for Holder {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        Box::pin(async move {
            if request.path.starts_with("/slow") {
                tokio::time::sleep(SLOW).await;
            }
            if request.path.starts_with("/stuck") {
                tokio::time::sleep(STUCK).await;
            }
            let mut answer = Answer::of_status(200);
            answer.body = request.body.len().to_string().into();
            answer
        })
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            head_max_bytes: 16 * 1_024,
            body_max_bytes: 4 * MEMORY_BYTES,
            request_max_ms: 3_000,
            idle_max_ms: 3_000,
        }
    }

    fn memory(&self) -> MemoryBudget {
        self.memory.clone()
    }
}

struct Server {
    address: String,
    memory: MemoryBudget,
    _phase: watch::Sender<ServerPhase>,
}

async fn start() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let memory = MemoryBudget::new(MEMORY_BYTES);
    let phase = watch::Sender::new(ServerPhase::Open);
    let handler = Rc::new(Holder {
        memory: memory.clone(),
    });
    tokio::task::spawn_local(serve(listener, handler, phase.subscribe()));
    Server {
        address,
        memory,
        _phase: phase,
    }
}

/// How a request tells the length of its body.
#[derive(Clone, Copy)]
enum Framing {
    Length,
    Chunks,
}

/// Sends one request with a body of `len` bytes and returns the status of its answer, or 0 if the
/// connection ends without one. The answer is read when the whole request is sent.
async fn post(address: &str, path: &str, len: usize, framing: Framing) -> u16 {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let body = "x".repeat(len);
    let message = match framing {
        Framing::Length => {
            format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {len}\r\n\r\n{body}")
        }
        Framing::Chunks => format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
             {len:x}\r\n{body}\r\n0\r\n\r\n"
        ),
    };
    if stream.write_all(message.as_bytes()).await.is_err() {
        return 0;
    }
    let mut answer = vec![0_u8; 12];
    match stream.read_exact(&mut answer).await {
        Ok(_) => String::from_utf8_lossy(&answer[9..]).parse().unwrap(),
        Err(_) => 0,
    }
}

/// Starts a request whose large body is held until the handler answers.
async fn hold(server: &Server, path: &'static str) {
    let address = server.address.clone();
    tokio::task::spawn_local(
        async move { post(&address, path, LARGE_BYTES, Framing::Length).await },
    );
    while server.memory.held_bytes() < LARGE_BYTES {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[ntex::test]
async fn a_large_body_waits_until_the_memory_for_it_is_free() {
    let server = start().await;
    hold(&server, "/slow").await;
    let since = Instant::now();
    assert_eq!(
        post(&server.address, "/", LARGE_BYTES, Framing::Length).await,
        200
    );
    assert!(since.elapsed() > SLOW / 2, "{:?}", since.elapsed());
}

#[ntex::test]
async fn a_client_that_sends_its_whole_body_first_learns_that_there_is_no_memory() {
    for framing in [Framing::Length, Framing::Chunks] {
        let server = start().await;
        hold(&server, "/stuck").await;
        let since = Instant::now();
        assert_eq!(post(&server.address, "/", LARGE_BYTES, framing).await, 503);
        assert!(since.elapsed() < STUCK, "{:?}", since.elapsed());
    }
}

#[ntex::test]
async fn a_body_that_never_fits_is_refused_at_once() {
    let server = start().await;
    for framing in [Framing::Length, Framing::Chunks] {
        let since = Instant::now();
        let status = post(&server.address, "/", 2 * MEMORY_BYTES, framing).await;
        assert!(matches!(status, 413 | 503), "{status}");
        assert!(since.elapsed() < Duration::from_millis(200));
    }
}

#[ntex::test]
async fn small_bodies_are_served_while_large_ones_take_all_they_can() {
    let server = start().await;
    hold(&server, "/stuck").await;
    let free_len = MEMORY_BYTES - MEMORY_BYTES / 16 - LARGE_BYTES - CONNECTIONS_BYTES;
    let address = server.address.clone();
    tokio::task::spawn_local(
        async move { post(&address, "/stuck", free_len, Framing::Length).await },
    );
    while server.memory.held_bytes() < LARGE_BYTES + free_len {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let since = Instant::now();
    for _ in 0..20 {
        assert_eq!(
            post(&server.address, "/", 20_000, Framing::Length).await,
            200
        );
    }
    assert!(since.elapsed() < STUCK / 2, "{:?}", since.elapsed());
}

#[ntex::test]
async fn the_memory_of_a_body_is_free_after_its_answer_and_after_its_client_left() {
    let server = start().await;
    for framing in [Framing::Length, Framing::Chunks] {
        assert_eq!(post(&server.address, "/", LARGE_BYTES, framing).await, 200);
    }
    let mut stream = TcpStream::connect(&server.address).await.unwrap();
    let part = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {LARGE_BYTES}\r\n\r\n{}",
        "x".repeat(LARGE_BYTES / 2)
    );
    stream.write_all(part.as_bytes()).await.unwrap();
    while server.memory.held_bytes() < LARGE_BYTES {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(stream);
    let deadline = Instant::now() + Duration::from_secs(1);
    while server.memory.held_bytes() > 0 {
        assert!(
            Instant::now() < deadline,
            "{} bytes",
            server.memory.held_bytes()
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against bodies that fill the memory beside many open connections, which take some too.
#[ntex::test]
async fn open_connections_leave_less_memory_to_bodies() {
    let server = start().await;
    let mut connections = Vec::new();
    while server.memory.held_bytes() < MEMORY_BYTES {
        assert!(connections.len() < CONNECTION_MAX_COUNT, "none is counted");
        connections.push(TcpStream::connect(&server.address).await.unwrap());
        tokio::task::yield_now().await;
    }
    assert_eq!(
        post(&server.address, "/", LARGE_BYTES, Framing::Length).await,
        503
    );
    // The share of small bodies is theirs.
    drop(connections.split_off(connections.len() - 8));
    while server.memory.held_bytes() > MEMORY_BYTES - 80_000 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        post(&server.address, "/", 20_000, Framing::Length).await,
        200
    );
    drop(connections);
    while server.memory.held_bytes() >= MEMORY_BYTES - LARGE_BYTES {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        post(&server.address, "/", LARGE_BYTES, Framing::Length).await,
        200
    );
}
