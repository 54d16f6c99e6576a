//! End-to-end tests of API keys and customers: who is accepted, and what leaves the node of the caller.
//! Nodes run as real processes; store and back ends are emulated.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_customers::KeyDigest;
use figway_testbed::process::Signal;
use figway_testbed::relay::LinkState;
use tokio::io::AsyncReadExt as _;

use crate::common::customers::{
    named_customers,
    runs_of,
    start_customer_site,
    start_parent,
    ANN_KEY,
    BOB_KEY,
    SHARED_KEY, //
};
use crate::common::raw::{
    ask,
    key_line,
    new_id, //
};
use crate::common::{
    get_text,
    restart_node, //
};

/// Time within which a request without a valid key is answered.
const REFUSAL_MAX: Duration = Duration::from_millis(250);

/// Guards against a request that runs, or waits for its refusal, although its credentials
/// identify no customer.
#[ntex::test]
async fn a_request_without_a_valid_key_gets_401_at_once_and_never_runs() {
    let site = start_customer_site("keys-refused").await;
    let ann = format!("authorization: Token {ANN_KEY}\r\n");
    let mut refused: Vec<(Vec<u8>, &str)> = vec![
        (Vec::new(), "no-key"),
        (key_line("unknown"), "unknown-key"),
        (key_line(""), "malformed-key"),
        (key_line(&"k".repeat(10_240)), "unknown-key"),
        (key_line(SHARED_KEY), "shared-key"),
        (
            key_line(&format!("{ANN_KEY}, Token {ANN_KEY}")),
            "unknown-key",
        ),
        (
            b"authorization: Token k\xc3\xbcche\r\n".to_vec(),
            "malformed-key",
        ),
        (
            b"authorization: Token \xff\xfe\r\n".to_vec(),
            "malformed-key",
        ),
        (
            format!("{ann}authorization: Token \u{fc}\r\n").into_bytes(),
            "malformed-key",
        ),
        (ann.repeat(2).into_bytes(), "malformed-key"),
        (
            format!("{ann}authorization: Token {BOB_KEY}\r\n").into_bytes(),
            "malformed-key",
        ),
    ];
    for value in [
        format!("Bearer {ANN_KEY}"),
        format!("Basic {ANN_KEY}"),
        format!("Token:{ANN_KEY}"),
        ANN_KEY.to_owned(),
        "Token".to_owned(),
    ] {
        refused.push((
            format!("authorization: {value}\r\n").into_bytes(),
            "malformed-key",
        ));
    }
    for index in [0, 1] {
        for (lines, why) in &refused {
            let shown = String::from_utf8_lossy(&lines[..lines.len().min(80)]);
            let (id, sent_at) = (new_id(), Instant::now());
            let status = ask(&site, index, "POST /orders/refused", &id, lines).await;
            assert_eq!(status, 401, "host {index}: {shown}");
            assert!(
                sent_at.elapsed() < REFUSAL_MAX,
                "{shown}: {:?}",
                sent_at.elapsed()
            );
            assert!(runs_of(&site, &id).is_empty(), "{shown}");
            let open_id = new_id();
            assert_eq!(
                ask(&site, index, "POST /open/1", &open_id, lines).await,
                200,
                "{shown}"
            );
            assert!(named_customers(&site, &open_id).is_empty(), "{shown}");
            let metrics = get_text(&site.hosts[index].metrics_address, "/metrics").await;
            assert!(
                metrics.contains(&format!("why=\"{why}\"")),
                "{why}: {metrics}"
            );
        }
        for (key, name) in [(ANN_KEY, "ann"), (BOB_KEY, "bob")] {
            let id = new_id();
            assert_eq!(
                ask(&site, index, "POST /orders/1", &id, &key_line(key)).await,
                200
            );
            assert_eq!(named_customers(&site, &id), [name]);
        }
    }
    let log = site.hosts[0].log().unwrap();
    assert!(log.contains("keys held by several customers"), "{log}");
}

/// Guards against a key, or the digest of one, that leaves the node to which the caller gave it. What
/// the other node gets shows at the back end: it passes the headers of the caller on unchanged.
#[ntex::test]
async fn a_key_reaches_neither_back_end_nor_log_nor_metrics() {
    let site = start_customer_site("keys-leak").await;
    let (unknown, other) = ("unknown-key-of-a-caller", "Bearer other-credentials");
    for index in [0, 1] {
        for path in ["GET /reads/1", "POST /orders/1", "POST /open/1"] {
            for lines in [
                key_line(ANN_KEY),
                key_line(unknown),
                format!("authorization: {other}\r\n").into_bytes(),
                format!("Authorization: token  {BOB_KEY} \r\nconnection: authorization\r\n")
                    .into_bytes(),
            ] {
                ask(&site, index, path, &new_id(), &lines).await;
            }
        }
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let tag = |key| format!("{:016x}", KeyDigest::of_key(key).unwrap().tag().0);
    let secrets = [
        ANN_KEY.to_owned(),
        BOB_KEY.to_owned(),
        unknown.to_owned(),
        other.to_owned(),
        tag(ANN_KEY),
        tag(BOB_KEY),
        tag(unknown),
    ];
    let (mut run_count, mut texts) = (0, Vec::new());
    for host in &site.hosts {
        texts.push(host.log().unwrap());
        texts.push(get_text(&host.metrics_address, "/metrics").await);
        texts.push(get_text(&host.call_address, "/figway/status").await);
        for run in host.backend.runs() {
            assert!(run.headers.get("authorization").is_none(), "{run:?}");
            texts.push(format!("{run:?}"));
            run_count += 1;
        }
    }
    assert!(run_count >= 16, "{run_count}");
    for text in &texts {
        for secret in &secrets {
            assert!(!text.contains(secret.as_str()), "{secret} in {text}");
        }
    }
}

/// Guards against a key that a node passes on to the node beside the target, which gets the name of the
/// customer and the beginning of the key's digest. A listener takes the place of that node.
#[ntex::test]
async fn a_key_does_not_pass_from_node_to_node() {
    let mut site = start_customer_site("keys-hop").await;
    let peer = site.hosts[1].node.take().unwrap();
    peer.signal(Signal::Kill).unwrap();
    drop(peer);
    let address = site.hosts[1].call_address.clone();
    let listener = tokio::net::TcpListener::bind(address).await.unwrap();
    let listening = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = vec![0; 64 * 1_024];
        let count = stream.read(&mut received).await.unwrap();
        String::from_utf8_lossy(&received[..count]).into_owned()
    });
    let forged = b"x-figway-tenant: bob\r\nx-figway-admit-customer: bob\r\n";
    let lines = [&key_line(ANN_KEY)[..], forged].concat();
    let status = ask(&site, 0, "POST /orders/1", &new_id(), &lines).await;
    assert!(matches!(status, 502 | 504), "{status}");
    let received = tokio::time::timeout(REFUSAL_MAX, listening).await;
    let received = received.unwrap().unwrap();
    let own: Vec<&str> = received
        .lines()
        .filter(|line| line.starts_with("x-figway-admit-customer:"))
        .collect();
    assert_eq!(own, ["x-figway-admit-customer: ann"], "{received}");
    assert!(received.contains("x-figway-admit-key: 2,"), "{received}");
    for secret in [ANN_KEY, "authorization", "x-figway-tenant"] {
        assert!(!received.contains(secret), "{secret} in {received}");
    }
}

/// Guards against a caller that names the customer of its request itself.
#[ntex::test]
async fn a_customer_named_by_a_caller_is_replaced() {
    let site = start_customer_site("keys-named").await;
    let forged = "x-figway-tenant: bob\r\nX-Figway-Tenant: mallory\r\nx-figway-admit-customer: bob\r\n\
                  x-figway-admit-key: 9,0000000000000000\r\nx-figway-e2e-x-figway-admit-customer: bob\r\n";
    let by_ann = [forged.as_bytes(), &key_line(ANN_KEY)].concat();
    let by_nobody = [forged.as_bytes(), &key_line("unknown")].concat();
    for index in [0, 1] {
        for (path, lines, expected) in [
            ("POST /orders/1", &by_ann, &["ann"][..]),
            ("GET /reads/1", &by_ann, &["ann"][..]),
            ("POST /open/1", &by_ann, &["ann"][..]),
            ("POST /open/1", &by_nobody, &[][..]),
            ("POST /open/1", &forged.as_bytes().to_vec(), &[][..]),
        ] {
            let id = new_id();
            assert_eq!(ask(&site, index, path, &id, lines).await, 200, "{path}");
            assert_eq!(named_customers(&site, &id), expected, "host {index} {path}");
        }
    }
    let (parent_id, index) = start_parent(&site, &key_line(ANN_KEY)).await;
    let id = format!("{parent_id}.1");
    assert_eq!(
        ask(&site, index, "GET /reads/1", &id, forged.as_bytes()).await,
        200
    );
    assert_eq!(named_customers(&site, &id), ["ann"]);
}

/// Guards against a node that refuses valid keys since it has no routes yet.
#[ntex::test]
async fn a_node_without_a_table_answers_503() {
    let mut site = start_customer_site("keys-no-table").await;
    for host in &site.hosts {
        host.store_link.set_link_state(LinkState {
            blocked: true,
            ..LinkState::default()
        });
    }
    let peer = site.hosts[1].node.take().unwrap();
    peer.signal(Signal::Kill).unwrap();
    drop(peer);
    restart_node(&mut site, 0).await;
    for lines in [Vec::new(), key_line(ANN_KEY), key_line("unknown")] {
        for path in ["GET /reads/1", "POST /open/1"] {
            assert_eq!(ask(&site, 0, path, &new_id(), &lines).await, 503, "{path}");
        }
    }
}
