//! End-to-end tests of large bodies between nodes, on links that carry few of them. Nodes run as real
//! processes; store, back ends and callers are emulated.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    serve,
    Answer,
    Bytes,
    Handler,
    Headers,
    OutboundRequest,
    Request,
    ServerLimits,
    ServerPhase,
    Transport as _, //
};
use figway_testbed::process::Signal;
use figway_testbed::site::{
    config,
    Site,
    HOST_HEADER,
    ORDERS, //
};
use futures::future::LocalBoxFuture;
use tokio::net::{
    TcpListener,
    TcpSocket,
    TcpStream, //
};
use tokio::sync::watch;

use crate::common::{
    get_text,
    single_use_client,
    wait_site_ready, //
};

/// Bandwidth of the links. Their share for large bodies carries one of [`BODY_BYTES`] in 160 ms.
const LINK_MBPS: u32 = 5;

const BODY_BYTES: usize = 60_000;

/// Time within which the route wants an answer, and its timeout, in milliseconds.
const PROMPT_MS: u64 = 800;
const TIMEOUT_MS: u64 = 4_000;

/// Longest time for which a node waits for a connection to a peer.
const PEER_CONNECT_MAX: Duration = Duration::from_millis(400);

/// Starts two hosts; the second one runs the uploads.
async fn start_site(name: &str) -> Site {
    let site = Site::start_on_links(name, 2, LINK_MBPS).await.unwrap();
    wait_site_ready(&site).await;
    let mut configuration = config(2, "/reads/");
    configuration["routes"]["r-uploads"] = serde_json::json!({
        "host": HOST_HEADER, "pathPrefix": "/uploads/", "kind": "upload",
        "timeout": format!("{TIMEOUT_MS}ms"), "targetLatency": format!("{PROMPT_MS}ms"),
        "priority": 1, "service": ORDERS, "maxAttempts": 2,
    });
    site.store.publish(&configuration);
    let deadline = Instant::now() + Duration::from_secs(5);
    while upload(&site, 100).await.status != 200 {
        assert!(Instant::now() < deadline, "the route is not in force");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    site
}

/// Sends an upload to the first node, whose target does not run it.
async fn upload(site: &Site, len: usize) -> Answer {
    let mut headers = Headers::default();
    headers.push("host", HOST_HEADER);
    let id = format!("{:016x}", figway_types::entropy());
    headers.push("x-figway-attempt-id", id);
    headers.push("x-figway-deadline-ms", TIMEOUT_MS.to_string());
    let outbound = OutboundRequest {
        address: &site.hosts[0].caller_address,
        method: "POST",
        path: "/uploads/1",
        headers: &headers,
        body: &Bytes::from(vec![b'x'; len]),
        body_bytes_per_s: None,
        deadline: Instant::now() + Duration::from_millis(TIMEOUT_MS),
        echo_header: None,
        idempotent: false,
    };
    let client = single_use_client(BODY_BYTES * 2);
    client.send(&outbound).await.unwrap()
}

/// Guards against a body that the offer or its pace changes or cuts.
#[ntex::test]
async fn a_large_body_arrives_whole_after_its_offer() {
    let site = start_site("offered").await;
    let answer = upload(&site, BODY_BYTES).await;
    assert_eq!(answer.status, 200);
    let echoed = answer.body.iter().filter(|byte| **byte == b'x').count();
    assert!(echoed >= BODY_BYTES, "{echoed} bytes came back");
    let metrics = get_text(&site.hosts[1].metrics_address, "/metrics").await;
    assert!(metrics.contains("figway_offers_accepted 1"), "{metrics}");
}

/// Guards against bodies that use a link for requests that are refused or come too late: of many at
/// once those that can arrive in time are served, and the others are refused before they are sent.
#[ntex::test]
async fn uploads_beyond_the_link_are_refused_before_their_bodies_are_sent() {
    let site = start_site("crowded").await;
    let backend = &site.hosts[1].backend;
    let earlier_count = backend.run_count();
    let uploads = (0..12).map(|_| upload(&site, BODY_BYTES));
    let answers = futures::future::join_all(uploads).await;
    let mut served_count = 0;
    for answer in &answers {
        match answer.status {
            200 => served_count += 1,
            503 => assert!(answer.header("retry-after").is_some()),
            status => panic!("status {status}"),
        }
    }
    assert!((2..=6).contains(&served_count), "{served_count} served");
    assert_eq!(backend.run_count() - earlier_count, served_count);
    let metrics = get_text(&site.hosts[1].metrics_address, "/metrics").await;
    assert!(metrics.contains("figway_offers_refused"), "{metrics}");
}

/// Guards against small requests that wait behind large bodies on the way to the same host, or that are
/// refused because the link has no room for more of these bodies.
#[ntex::test]
async fn small_requests_are_served_while_large_bodies_wait() {
    let site = start_site("beside").await;
    let uploads = futures::future::join_all((0..12).map(|_| upload(&site, BODY_BYTES)));
    let small = async {
        let caller = site.caller(0);
        let mut slowest = Duration::ZERO;
        for _ in 0..10 {
            let started_at = Instant::now();
            assert_eq!(caller.call("POST", "/orders/1").await.status, 200);
            slowest = slowest.max(started_at.elapsed());
        }
        slowest
    };
    let (_, slowest) = futures::future::join(uploads, small).await;
    assert!(slowest < Duration::from_millis(PROMPT_MS), "{slowest:?}");
}

/// Kills the node of the host at `index` and returns a socket that is bound to its call address.
async fn take_over(site: &mut Site, index: usize) -> TcpSocket {
    let node = site.hosts[index].node.take().unwrap();
    node.signal(Signal::Kill).unwrap();
    drop(node);
    let address = site.hosts[index].call_address.parse().unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

/// Guards against a call whose offer found its node unreachable, and which then waits for a connection to
/// the same node once more.
#[ntex::test]
async fn an_upload_whose_offer_is_not_taken_does_not_call_the_node_again() {
    let mut site = start_site("unreachable").await;
    let socket = take_over(&mut site, 1).await;
    let address = site.hosts[1].call_address.clone();
    // Connections wait for ever once the queue of the listener is full.
    let _listener = socket.listen(1).unwrap();
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(&address)).await
    {
        queued.push(stream);
    }
    let started_at = Instant::now();
    assert_eq!(upload(&site, BODY_BYTES).await.status, 503);
    let took = started_at.elapsed();
    assert!(took > PEER_CONNECT_MAX.mul_f64(0.9), "{took:?}");
    assert!(took < PEER_CONNECT_MAX.mul_f64(1.75), "{took:?}");
}

/// Stand-in for a node that accepts every offer at a pace of 1,000 bytes a second.
struct SlowPeer;

impl Handler for SlowPeer {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        let mut answer = Answer::of_status(404);
        if request.headers.get("x-figway-offer-bytes").is_some() {
            answer.status = 200;
            answer.headers.push("x-figway-outcome", "accepted");
            answer.headers.push("x-figway-offer-pace", "1000");
        }
        Box::pin(std::future::ready(answer))
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            head_max_bytes: 64 * 1_024,
            body_max_bytes: 2 * BODY_BYTES,
            request_max_ms: 60_000,
            idle_max_ms: 5_000,
        }
    }
}

/// Guards against a body that is sent until its deadline at a pace that a peer states, though it can't
/// arrive in time.
#[ntex::test]
async fn an_upload_is_not_sent_at_a_pace_that_is_too_slow() {
    let mut site = start_site("slow-pace").await;
    let socket = take_over(&mut site, 1).await;
    let listener: TcpListener = socket.listen(16).unwrap();
    let phase = watch::Sender::new(ServerPhase::Open);
    tokio::task::spawn_local(serve(listener, Rc::new(SlowPeer), phase.subscribe()));
    let started_at = Instant::now();
    assert_eq!(upload(&site, BODY_BYTES).await.status, 503);
    let took = started_at.elapsed();
    assert!(took < Duration::from_millis(TIMEOUT_MS / 2), "{took:?}");
    let metrics = get_text(&site.hosts[0].metrics_address, "/metrics").await;
    assert!(metrics.contains("figway_offers_too_slow"), "{metrics}");
}
