//! End-to-end tests of headers of callers and back ends that have the names of headers between nodes.
//! Nodes run as real processes; store, back ends and callers are emulated.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    Answer,
    Bytes,
    Headers,
    OutboundRequest,
    Transport as _, //
};
use figway_testbed::site::backend::Run;
use figway_testbed::site::{
    Site,
    HOST_HEADER, //
};

use crate::common::{
    single_use_client,
    wait_site_ready, //
};

/// Headers that nodes write to each other with a call.
const CALL_HEADERS: [(&str, &str); 13] = [
    ("x-figway-request-id", "00000000000000ff"),
    ("x-figway-budget-ms", "1"),
    ("x-figway-admit-kind", "r-reads"),
    ("x-figway-admit-service", "nobody"),
    ("x-figway-admit-worth", "0"),
    ("x-figway-admit-long", "true"),
    ("x-figway-admit-idempotent", "true"),
    ("x-figway-admit-fingerprint", "00000000000000aa"),
    ("x-figway-admit-origin", "somebody"),
    ("x-figway-admit-host", "other.example"),
    ("x-figway-admit-rank", "99"),
    ("x-figway-e2e-x-figway-admit-rank", "98"),
    ("x-figway-unknown", "kept"),
];

/// Headers that nodes write to each other with the outcome of a call.
const OUTCOME_HEADERS: [(&str, &str); 11] = [
    ("x-figway-outcome", "not-run"),
    ("x-figway-reason", "draining"),
    ("x-figway-sent", "false"),
    ("x-figway-request-id", "00000000000000ff"),
    ("x-figway-busy", "50"),
    ("x-figway-wait-ms", "5000"),
    ("x-figway-crash-id", "00000000000000cc"),
    ("x-figway-spent-ms", "1,1"),
    ("x-figway-routes", "99,0"),
    ("x-figway-e2e-x-figway-outcome", "unknown"),
    ("x-figway-unknown", "kept"),
];

fn headers_of(list: &[(&str, &str)]) -> Headers {
    let mut headers = Headers::default();
    for (name, value) in list {
        headers.push(name, *value);
    }
    headers
}

/// Sends an order at the host at `index` with `headers`. Returns its id and the answer.
async fn send_order(site: &Site, index: usize, headers: &Headers) -> (String, Answer) {
    let client = single_use_client(64 * 1_024);
    let id = format!("{:016x}", figway_types::entropy());
    let mut headers = headers.clone();
    headers.push("host", HOST_HEADER);
    headers.push("x-figway-attempt-id", id.as_str());
    headers.push("x-figway-deadline-ms", "1000");
    let outbound = OutboundRequest {
        address: &site.hosts[index].caller_address,
        method: "POST",
        path: "/orders/1",
        headers: &headers,
        body: &Bytes::new(),
        body_bytes_per_s: None,
        deadline: Instant::now() + Duration::from_secs(1),
        echo_header: None,
        idempotent: false,
    };
    let answer = client.send(&outbound).await.unwrap();
    (id, answer)
}

/// Returns the runs of the order with the given id at all back ends.
fn runs_of(site: &Site, id: &str) -> Vec<Run> {
    let mut runs = Vec::new();
    for host in &site.hosts {
        runs.extend(host.backend.runs().into_iter().filter(|run| run.id == id));
    }
    runs
}

fn assert_contains(headers: &Headers, expected: &[(&str, &str)]) {
    for (name, value) in expected {
        let values: Vec<&str> = headers
            .iter()
            .filter(|(other, _)| other == name)
            .map(|(_, value)| value)
            .collect();
        assert_eq!(values, [*value], "{name}");
    }
}

/// Guards against a caller that sets the id, the service, the deadline or the kind of a call between
/// nodes. Orders run beside the hosts with an odd index, so that those of host 0 pass two nodes.
#[ntex::test]
async fn headers_of_a_caller_with_names_of_ours_reach_the_back_end_and_change_nothing() {
    let site = Site::start("foreign-request", 2).await.unwrap();
    wait_site_ready(&site).await;
    for index in [0, 1] {
        let (id, answer) = send_order(&site, index, &headers_of(&CALL_HEADERS)).await;
        assert_eq!(answer.status, 200, "host {index}");
        assert_eq!(answer.header("x-figway-attempt-id"), Some(id.as_str()));
        let runs = runs_of(&site, &id);
        assert_eq!(runs.len(), 1, "host {index}");
        assert_eq!(runs[0].origin, ["reads", "orders"][index]);
        assert_contains(&runs[0].headers, &CALL_HEADERS);
        assert_contains(&runs[0].headers, &[("host", HOST_HEADER)]);
    }
}

/// Guards against a back end whose answer says, in the words of nodes, that the call did not run: the
/// order would run again.
#[ntex::test]
async fn headers_of_a_back_end_with_names_of_ours_reach_the_caller_and_change_nothing() {
    let site = Site::start("foreign-answer", 4).await.unwrap();
    wait_site_ready(&site).await;
    for host in &site.hosts {
        *host.backend.extra_headers.borrow_mut() = headers_of(&OUTCOME_HEADERS);
    }
    for index in [0, 1] {
        for _ in 0..5 {
            let (id, answer) = send_order(&site, index, &Headers::default()).await;
            assert_eq!(answer.status, 200, "host {index}: {answer:?}");
            assert_eq!(runs_of(&site, &id).len(), 1, "host {index}");
            assert_contains(&answer.headers, &OUTCOME_HEADERS);
        }
    }
}
