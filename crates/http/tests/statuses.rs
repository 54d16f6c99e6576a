//! Answers with invalid statuses, and interim answers without end.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    Answer,
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
use tokio::net::{
    TcpListener,
    TcpStream, //
};

/// Time until the deadline of each request.
const BUDGET: Duration = Duration::from_millis(300);

/// Server that answers each request with a fixed text.
struct FixedServer {
    address: String,
    connection_count: Rc<Cell<usize>>,
    /// Number of connections that the client closed.
    closed_count: Rc<Cell<usize>>,
}

/// Starts a server that answers with `text`, which it repeats without end if `endless` is set.
async fn start(text: String, endless: bool) -> FixedServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = FixedServer {
        address: listener.local_addr().unwrap().to_string(),
        connection_count: Rc::default(),
        closed_count: Rc::default(),
    };
    let connection_count = Rc::clone(&server.connection_count);
    let closed_count = Rc::clone(&server.closed_count);
    let text: Rc<str> = text.into();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            connection_count.set(connection_count.get() + 1);
            let (text, closed_count) = (Rc::clone(&text), Rc::clone(&closed_count));
            tokio::task::spawn_local(async move {
                answer_all(stream, &text, endless).await;
                closed_count.set(closed_count.get() + 1);
            });
        }
    });
    server
}

/// Answers the requests of a connection until it closes.
async fn answer_all(mut stream: TcpStream, text: &str, endless: bool) {
    let mut buffer = [0; 4_096];
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        loop {
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            if !endless {
                break;
            }
        }
    }
}

fn client() -> HttpClient {
    HttpClient::new(ClientLimits {
        idle_max_count: 4,
        idle_max_ms: 5_000,
        non_idempotent_idle_max_ms: 5_000,
        connect_max_ms: 500,
        body_max_bytes: 1_024,
        local_ip: None,
    })
}

async fn send(client: &HttpClient, server: &FixedServer) -> Result<Answer, SendFailure> {
    let outbound = OutboundRequest {
        address: &server.address,
        method: "GET",
        path: "/",
        headers: &Headers::default(),
        body: &Bytes::new(),
        body_bytes_per_s: None,
        deadline: Instant::now() + BUDGET,
        echo_header: None,
        idempotent: true,
    };
    client.send(&outbound).await
}

/// Guards against an answer with an invalid status that is accepted, or whose connection is used again.
/// The HTTP library accepts 101 and 600 to 999.
#[ntex::test]
async fn an_answer_with_an_invalid_status_is_broken_and_its_connection_not_used_again() {
    for status in [
        "000 None", "099 None", "20 OK", "2000 OK", "OK", "2x0 OK", "-20 OK", "+200 OK", "0200 OK",
        "600 None", "601 None", "700 None", "998 None", "999 None",
    ] {
        let text = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
        let (client, server) = (client(), start(text, false).await);
        for sent_count in 1..=2 {
            let result = send(&client, &server).await;
            assert!(
                matches!(result, Err(SendFailure::Broken(_))),
                "{status}: {result:?}"
            );
            assert_eq!(server.connection_count.get(), sent_count, "{status}");
        }
    }
}

/// Guards against a server that changes the protocol unasked: what follows is no HTTP.
#[ntex::test]
async fn a_change_of_the_protocol_that_was_not_offered_is_broken() {
    for lines in [
        "",
        "content-length: 0\r\n",
        "connection: upgrade\r\nupgrade: websocket\r\n",
        "connection: upgrade\r\nupgrade: h2c\r\ncontent-length: 2\r\n",
    ] {
        let text = format!("HTTP/1.1 101 Switching Protocols\r\n{lines}\r\nok");
        let (client, server) = (client(), start(text, false).await);
        for sent_count in 1..=2 {
            let result = send(&client, &server).await;
            assert!(
                matches!(result, Err(SendFailure::Broken(_))),
                "{lines}: {result:?}"
            );
            assert_eq!(server.connection_count.get(), sent_count);
        }
    }
}

#[ntex::test]
async fn each_final_status_up_to_599_is_an_answer_also_after_interim_ones() {
    for interim in [
        "",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n",
    ] {
        for status in [200, 206, 299, 302, 418, 451, 499, 503, 599] {
            let text = format!("{interim}HTTP/1.1 {status} Some\r\ncontent-length: 2\r\n\r\nok");
            let (client, server) = (client(), start(text, false).await);
            for _ in 0..2 {
                assert_eq!(send(&client, &server).await.unwrap().status, status);
            }
            assert_eq!(server.connection_count.get(), 1, "{status}");
        }
    }
}

/// Guards against interim answers without end that hold a request, and the thread, until its deadline or
/// beyond.
#[ntex::test]
async fn interim_answers_without_end_are_given_up_before_the_deadline() {
    for line in [
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n",
    ] {
        let (client, server) = (client(), start(line.to_owned(), true).await);
        let sent_at = Instant::now();
        let result = send(&client, &server).await;
        assert!(matches!(result, Err(SendFailure::Broken(_))), "{result:?}");
        assert!(sent_at.elapsed() < BUDGET, "{:?}", sent_at.elapsed());
        tokio::time::sleep(BUDGET).await;
        assert_eq!(server.closed_count.get(), 1);
    }
}
