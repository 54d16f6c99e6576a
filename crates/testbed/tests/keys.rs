//! End-to-end tests of API keys and customers: who is let in, and what leaves the node of the caller.
//! Nodes run as real processes; store and back ends are emulated.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_customers::KeyDigest;
use figway_testbed::process::Signal;
use figway_testbed::relay::LinkState;
use figway_testbed::site::backend::Run;
use figway_testbed::site::{
    config_with_customers,
    Site, //
};
use serde_json::json;
use tokio::io::AsyncReadExt as _;

use crate::common::raw::{
    ask,
    key_line,
    new_id, //
};
use crate::common::{
    get_text,
    restart_node,
    wait_site_ready, //
};

/// Key of the customer `ann`.
const ANN_KEY: &str = "mgjqnirth5mgjy5rcpih";

/// Key of the customer `bob`.
const BOB_KEY: &str = "w2tyqcfxq7ud0bmgxbob";

/// Key that two customers hold.
const SHARED_KEY: &str = "held-by-ann-and-bob";

/// Time within which a request without a valid key is answered.
const REFUSAL_MAX: Duration = Duration::from_millis(250);

/// Time after its start during which a node lets calls of an unknown parent through.
const LOST_CALL_MAX: Duration = Duration::from_secs(10);

/// Starts a site of two hosts with customers. Orders of the first host pass two nodes.
async fn start_site(name: &str) -> Site {
    let site = Site::start(name, 2).await.unwrap();
    wait_site_ready(&site).await;
    let tenants = json!({
        "ann": {"apiKeys": [ANN_KEY, SHARED_KEY], "priority": 0},
        "bob": {"apiKeys": [BOB_KEY, SHARED_KEY]},
    });
    site.store
        .publish(&config_with_customers(2, &tenants, 2_000));
    wait_refused(&site).await;
    site
}

/// Waits until requests without a key are refused at each node.
async fn wait_refused(site: &Site) {
    let deadline = Instant::now() + Duration::from_secs(5);
    for index in 0..site.hosts.len() {
        while ask(site, index, "GET /reads/1", &new_id(), b"").await != 401 {
            assert!(Instant::now() < deadline, "host {index} needs no key");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns the runs of the request at all back ends.
fn runs_of(site: &Site, id: &str) -> Vec<Run> {
    let mut runs = Vec::new();
    for host in &site.hosts {
        runs.extend(host.backend.runs().into_iter().filter(|run| run.id == id));
    }
    runs
}

/// Returns the customers that the one run of the request names.
fn named_customers(site: &Site, id: &str) -> Vec<String> {
    let runs = runs_of(site, id);
    assert_eq!(runs.len(), 1, "{id}");
    let headers = runs[0].headers.iter();
    headers
        .filter(|(name, _)| *name == "x-figway-tenant")
        .map(|(_, value)| value.to_owned())
        .collect()
}

/// Sends a request whose back end takes 600 ms, and returns its id and the host whose back end runs it.
async fn start_parent(site: &Site, lines: &[u8]) -> (String, usize) {
    for host in &site.hosts {
        host.backend.slow_ms.set(600);
    }
    let id = new_id();
    let asking = ask(site, 0, "POST /orders/parent", &id, lines);
    assert!(tokio::time::timeout(Duration::from_millis(150), asking)
        .await
        .is_err());
    for (index, host) in site.hosts.iter().enumerate() {
        host.backend.slow_ms.set(0);
        if host.backend.runs().iter().any(|run| run.id == id) {
            return (id, index);
        }
    }
    panic!("no back end runs the parent");
}

/// Guards against a request that runs, or waits for its refusal, although its credentials don't tell
/// whose it is.
#[ntex::test]
async fn a_request_without_a_valid_key_gets_401_at_once_and_never_runs() {
    let site = start_site("keys-refused").await;
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
    let site = start_site("keys-leak").await;
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
    let mut site = start_site("keys-hop").await;
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
    let site = start_site("keys-named").await;
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

/// Guards against nested calls that are refused for want of a key, or belong to nobody.
#[ntex::test]
async fn a_nested_call_belongs_to_the_customer_of_its_parent() {
    let started_at = Instant::now();
    let site = start_site("keys-nested").await;
    for (lines, path, expected) in [
        (key_line(ANN_KEY), "GET /reads/1", &["ann"][..]),
        (key_line(BOB_KEY), "POST /orders/1", &["bob"][..]),
        (key_line(BOB_KEY), "POST /open/1", &["bob"][..]),
    ] {
        let (parent_id, index) = start_parent(&site, &lines).await;
        for suffix in ["1", "2", "2.1"] {
            let id = format!("{parent_id}.{suffix}");
            assert_eq!(ask(&site, index, path, &id, b"").await, 200, "{path}");
            assert_eq!(named_customers(&site, &id), expected, "{path}");
        }
        // Its own key goes before that of the parent, and a wrong one is refused.
        let id = format!("{parent_id}.3");
        assert_eq!(
            ask(&site, index, "GET /reads/1", &id, &key_line("unknown")).await,
            401
        );
        // The parent runs beside another node than this one.
        let id = format!("{parent_id}.4");
        let is_young = started_at.elapsed() < LOST_CALL_MAX - Duration::from_secs(1);
        let status = ask(&site, 1 - index, "GET /reads/1", &id, b"").await;
        assert!(status == 503 || is_young, "{status}");
    }
}

/// Guards against nested calls that are refused with 401 because their node was started again, and
/// against unknown parents that open the routes for good.
#[ntex::test]
async fn a_call_of_an_unknown_parent_is_let_through_for_ten_seconds_and_gets_503_later() {
    let mut site = start_site("keys-orphans").await;
    let started_at = Instant::now();
    restart_node(&mut site, 1).await;
    let id = format!("{}.1", new_id());
    let mut status = 0;
    while status != 200 && started_at.elapsed() < LOST_CALL_MAX / 2 {
        status = ask(&site, 1, "GET /reads/1", &id, b"").await;
        assert_ne!(status, 401);
    }
    assert_eq!(status, 200);
    assert!(named_customers(&site, &id).is_empty());
    tokio::time::sleep(LOST_CALL_MAX + Duration::from_secs(1) - started_at.elapsed()).await;
    let id = format!("{}.1", new_id());
    assert_eq!(ask(&site, 1, "GET /reads/1", &id, b"").await, 503);
    assert!(runs_of(&site, &id).is_empty());
    assert_eq!(ask(&site, 1, "GET /reads/1", &new_id(), b"").await, 401);
    assert_eq!(ask(&site, 1, "POST /open/1", &id, b"").await, 200);
}

/// Guards against a node that refuses valid keys since it has no routes yet.
#[ntex::test]
async fn a_node_without_a_table_answers_503() {
    let mut site = start_site("keys-no-table").await;
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
