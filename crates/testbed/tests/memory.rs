//! End-to-end tests of the memory that nodes take for bodies. Nodes run as real processes; store, back
//! ends and callers are emulated.
//!
//! The tests guard against a platform that kills a node for its memory, with all calls that are on
//! their way through it.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    Bytes,
    Headers,
    OutboundRequest,
    Transport as _, //
};
use figway_testbed::process::Usage;
use figway_testbed::site::caller::CallResult;
use figway_testbed::site::{
    config,
    Site,
    HOST_HEADER,
    MEMORY_MAX_MB, //
};
use tokio::task::JoinHandle;

use crate::common::{
    single_use_client,
    wait_site_ready, //
};

/// Size limit of bodies in the configuration, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// Size limit of answers in the settings of the nodes, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Timeout of the routes, in milliseconds.
const TIMEOUT_MS: u64 = 8_000;

/// Number of callers with small requests at each host.
const SMALL_CALLER_COUNT: usize = 4;

/// Starts a site whose configuration allows bodies of [`BODY_MAX_BYTES`].
async fn start_site(name: &str) -> Site {
    let site = Site::start(name, 4).await.unwrap();
    wait_site_ready(&site).await;
    let mut large = config(2, "/reads/");
    large["limits"]["maxBodyBytes"] = BODY_MAX_BYTES.into();
    for route in ["r-reads", "r-orders"] {
        large["routes"][route]["timeout"] = format!("{TIMEOUT_MS}ms").into();
    }
    site.store.publish(&large);
    for host in &site.hosts {
        host.backend.echo_max_bytes.set(1_000);
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    for index in 0..site.hosts.len() {
        while send_large(&site, index, "/reads/1", 2 * 1_024 * 1_024).await != 200 {
            assert!(
                Instant::now() < deadline,
                "host {index} keeps the old limit"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    site
}

/// Sends a request with a body of `len` bytes to the node at `index`, and returns the status of its
/// answer, or 0 if there is none.
async fn send_large(site: &Site, index: usize, path: &str, len: usize) -> u16 {
    let client = single_use_client(BODY_MAX_BYTES);
    let mut headers = Headers::default();
    headers.push("host", HOST_HEADER);
    let id = format!("{:016x}", figway_types::entropy());
    headers.push("x-figway-attempt-id", id);
    headers.push("x-figway-deadline-ms", TIMEOUT_MS.to_string());
    let outbound = OutboundRequest {
        address: &site.hosts[index].caller_address,
        method: "POST",
        path,
        headers: &headers,
        body: &Bytes::from(vec![b'x'; len]),
        body_bytes_per_s: None,
        deadline: Instant::now() + Duration::from_millis(TIMEOUT_MS),
        echo_header: None,
        idempotent: false,
    };
    client
        .send(&outbound)
        .await
        .map_or(0, |answer| answer.status)
}

/// Starts callers that send small orders to every node, one after the other, for `duration`.
fn start_small_callers(site: &Site, duration: Duration) -> Vec<JoinHandle<Vec<CallResult>>> {
    let ends_at = Instant::now() + duration;
    let mut callers = Vec::new();
    for index in 0..site.hosts.len() {
        for _ in 0..SMALL_CALLER_COUNT {
            let caller = Rc::new(site.caller(index));
            callers.push(tokio::task::spawn_local(async move {
                let mut results = Vec::new();
                while Instant::now() < ends_at {
                    results.push(caller.call("POST", "/orders/1").await);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                results
            }));
        }
    }
    callers
}

/// Checks that all small requests were served, and returns how many there were.
async fn assert_all_served(callers: Vec<JoinHandle<Vec<CallResult>>>) -> usize {
    let mut count = 0;
    for caller in callers {
        for result in caller.await.unwrap() {
            assert_eq!(result.status, 200, "{result:?}");
            count += 1;
        }
    }
    count
}

fn assert_within_memory(site: &Site) {
    for host in &site.hosts {
        let usage = Usage::of(host.node.as_ref().unwrap()).unwrap();
        assert!(
            usage.peak_resident_bytes <= MEMORY_MAX_MB * 1_000_000,
            "{} took {} bytes",
            host.name,
            usage.peak_resident_bytes
        );
    }
}

#[ntex::test]
async fn a_body_at_the_limit_passes_two_nodes_within_their_memory() {
    let site = start_site("body-at-limit").await;
    let small = start_small_callers(&site, Duration::from_secs(3));
    for (path, index) in [("/orders/1", 0), ("/reads/1", 1), ("/orders/2", 0)] {
        assert_eq!(send_large(&site, index, path, BODY_MAX_BYTES).await, 200);
    }
    assert!(assert_all_served(small).await > 100);
    assert_within_memory(&site);
}

#[ntex::test]
async fn bodies_that_do_not_fit_together_are_served_or_refused_beside_small_requests() {
    let site = start_site("bodies-together").await;
    let small = start_small_callers(&site, Duration::from_secs(3));
    let sending = (0..6).map(|_| send_large(&site, 0, "/orders/1", 40_000_000));
    let statuses = futures::future::join_all(sending).await;
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 503)),
        "{statuses:?}"
    );
    assert_all_served(small).await;
    assert_within_memory(&site);
}

#[ntex::test]
async fn answers_that_do_not_fit_together_wait_for_each_other() {
    let site = start_site("answers-together").await;
    for host in &site.hosts {
        host.backend.filler_bytes.set(ANSWER_MAX_BYTES - 100_000);
    }
    let sending = (0..12).map(|index| send_large(&site, index % 2, "/orders/1", 10));
    let statuses = futures::future::join_all(sending).await;
    assert_eq!(statuses, [200; 12]);
    assert_within_memory(&site);
}
