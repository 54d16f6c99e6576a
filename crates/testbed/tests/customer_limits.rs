//! End-to-end tests of the limits of customers over several nodes. Nodes run as real processes; store and
//! back ends are emulated.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::process::Signal;
use figway_testbed::site::caller::CallResult;
use figway_testbed::site::{
    config,
    Site, //
};
use serde_json::json;
use tokio::task::JoinHandle;

use crate::common::{
    get_text,
    wait_site_joined,
    wait_site_ready, //
};

/// Time within which a configuration is in force, and the coordinators of its limits have begun.
const BEGUN_MAX: Duration = Duration::from_millis(4_500);

const RATE_PER_S: f64 = 40.0;

/// Span of time over which requests of a customer are summed.
const WINDOW: Duration = Duration::from_secs(5);

/// Publishes customers with the same limit and one without.
fn publish_customers(site: &Site) {
    let customer = |key: &str, rate_per_s: f64| {
        json!({
            "apiKeys": [key], "priority": 1, "ratePerS": rate_per_s, "burstSize": rate_per_s,
        })
    };
    let mut limited = config(2, "/reads/");
    limited["tenants"] = json!({
        "over": customer("key-over", RATE_PER_S),
        "within": customer("key-within", RATE_PER_S),
        "free": customer("key-free", 0.0),
    });
    site.store.publish(&limited);
}

/// Starts a caller of a customer at a host, with a request in each `period`.
fn start_caller(
    site: &Site,
    index: usize,
    key: &str,
    period: Duration,
    duration: Duration,
) -> JoinHandle<Vec<CallResult>> {
    let caller = std::rc::Rc::new(site.caller(index).with_key(key));
    tokio::task::spawn_local(async move {
        let started_at = Instant::now();
        let mut calls = Vec::new();
        let mut count = 0;
        while started_at.elapsed() < duration {
            let caller = std::rc::Rc::clone(&caller);
            calls.push(tokio::task::spawn_local(async move {
                caller.call("GET", "/reads/1").await
            }));
            count += 1;
            tokio::time::sleep_until((started_at + period * count).into()).await;
        }
        let mut results = Vec::new();
        for call in calls {
            results.push(call.await.unwrap());
        }
        results
    })
}

/// Returns the most requests that were served among those sent in any window.
fn busiest_window_count(results: &[CallResult]) -> usize {
    let mut sent_at: Vec<Instant> = results
        .iter()
        .filter(|call| call.status != 429)
        .map(|call| call.sent_at)
        .collect();
    sent_at.sort();
    let mut busiest = 0;
    for (index, end) in sent_at.iter().enumerate() {
        let first = sent_at.partition_point(|start| *start + WINDOW <= *end);
        busiest = busiest.max(index + 1 - first);
    }
    busiest
}

fn permitted_count() -> usize {
    ((RATE_PER_S * WINDOW.as_secs_f64() + RATE_PER_S) * 1.1) as usize + 20
}

/// Returns the index of the host whose node coordinates, by the log of another node.
fn coordinator_index(site: &Site) -> usize {
    let mut found = None;
    for host in &site.hosts {
        for line in host.log().unwrap().lines() {
            let Ok(line) = serde_json::from_str::<serde_json::Value>(line) else {
                continue;
            };
            if line["event"] == "limit coordinator changed" && line["coordinator"] != "none" {
                found = line["coordinator"].as_str().map(str::to_owned);
            }
        }
    }
    let name = found.expect("a node has logged its coordinator");
    site.hosts
        .iter()
        .position(|host| host.name == name)
        .expect("the coordinator is a host")
}

/// Guards against a limit that each node applies by itself, so that a customer gets it once for each node,
/// and against one whose sum over the nodes grows when its coordinator dies.
#[ntex::test]
async fn a_customer_has_its_limit_at_all_nodes_together_even_if_the_coordinator_dies() {
    let mut site = Site::start("customer-limit", 6).await.unwrap();
    wait_site_ready(&site).await;
    wait_site_joined(&site).await;
    publish_customers(&site);
    tokio::time::sleep(BEGUN_MAX).await;
    let killed = coordinator_index(&site);
    let callers: Vec<usize> = (0..6).filter(|index| *index != killed).collect();
    let duration = Duration::from_secs(12);
    // Two nodes together see 4 times the limit of one customer and 0.6 of that of the other.
    let mut over = Vec::new();
    let mut others = Vec::new();
    for index in &callers[..2] {
        let fast = Duration::from_micros(12_500);
        let slow = Duration::from_millis(83);
        over.push(start_caller(&site, *index, "key-over", fast, duration));
        others.push(start_caller(&site, *index, "key-within", slow, duration));
        others.push(start_caller(&site, *index, "key-free", slow, duration));
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let node = site.hosts[killed].node.take().unwrap();
    node.signal(Signal::Kill).unwrap();
    drop(node);
    let mut over_results = Vec::new();
    for caller in over {
        over_results.extend(caller.await.unwrap());
    }
    let mut other_results = Vec::new();
    for caller in others {
        other_results.extend(caller.await.unwrap());
    }
    let busiest = busiest_window_count(&over_results);
    let refused: Vec<&CallResult> = over_results
        .iter()
        .filter(|call| call.status == 429)
        .collect();
    eprintln!(
        "busiest window {busiest} of {}, {} of {} refused",
        permitted_count(),
        refused.len(),
        over_results.len()
    );
    assert!(busiest <= permitted_count(), "{busiest} requests in 5 s");
    let least = (RATE_PER_S * WINDOW.as_secs_f64() * 0.8) as usize;
    assert!(busiest >= least, "only {busiest} requests in 5 s");
    for call in &refused {
        let wait = call.retry_after.expect("429 says when to come back");
        assert!(wait >= Duration::from_millis(500), "{call:?}");
    }
    let others_refused = other_results
        .iter()
        .filter(|call| call.status == 429)
        .count();
    assert_eq!(others_refused, 0, "of {}", other_results.len());
    let metrics = get_text(&site.hosts[callers[0]].metrics_address, "/metrics").await;
    assert!(
        metrics.contains("figway_customer_limited") && metrics.contains("customer=\"over\""),
        "{metrics}"
    );
}

/// Guards against a limit that nodes forget in a restart.
#[ntex::test]
async fn a_node_that_has_just_started_is_no_hole_in_a_limit() {
    let mut site = Site::start("customer-restart", 4).await.unwrap();
    wait_site_ready(&site).await;
    wait_site_joined(&site).await;
    publish_customers(&site);
    tokio::time::sleep(BEGUN_MAX).await;
    let fast = Duration::from_millis(10);
    let mut callers = Vec::new();
    for index in 0..4 {
        let duration = Duration::from_secs(10);
        callers.push(start_caller(&site, index, "key-over", fast, duration));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    for index in [1, 2] {
        common::restart_node(&mut site, index).await;
    }
    let mut results = Vec::new();
    for caller in callers {
        results.extend(caller.await.unwrap());
    }
    results.retain(|call| call.status != 0 && call.status != 503);
    let busiest = busiest_window_count(&results);
    eprintln!("busiest window {busiest} of {}", permitted_count());
    assert!(busiest <= permitted_count(), "{busiest} requests in 5 s");
}
