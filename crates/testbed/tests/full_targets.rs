//! End-to-end tests of targets that reset every connection above the number of their slots. Nodes run as
//! real processes; store, back ends and callers are emulated.

mod common;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::site::caller::{
    CallResult,
    Caller, //
};
use figway_testbed::site::{
    config,
    config_with_customers,
    Site, //
};
use serde_json::json;

use crate::common::{
    wait_site_joined,
    wait_site_ready, //
};

/// Number of slots that each back end announces.
const SLOT_COUNT: usize = 12;

/// Number of hosts. Each service has half of them.
const HOST_COUNT: usize = 4;

/// Delay that is added to each request at a back end, and the run time that results, in milliseconds.
const SLOW_MS: u64 = 185;
const RUN_MS: u64 = 200;

/// Requests that the two targets of a service can run in a second.
const CAPACITY_PER_S: u64 = (HOST_COUNT / 2 * SLOT_COUNT) as u64 * 1_000 / RUN_MS;

/// Time for which callers send.
const DURATION: Duration = Duration::from_secs(6);

/// Time after which a configuration is in force and back ends have closed the connections of the start.
const SETTLE: Duration = Duration::from_millis(5_000);

/// Pause after which idle connections are too old for requests that must not run twice, but not for others.
const IDLE_PERIOD: Duration = Duration::from_millis(1_000);

/// Time for which callers wait for an answer.
const CALLER_DEADLINE: Duration = Duration::from_millis(1_000);

const KEY: &str = "key-of-ann";

/// Starts a site whose targets reset connections above their slots, with `configuration` in force.
async fn start_site(name: &str, configuration: &serde_json::Value) -> Site {
    let site = Site::start(name, HOST_COUNT).await.unwrap();
    wait_site_ready(&site).await;
    wait_site_joined(&site).await;
    for host in &site.hosts {
        host.backend.slow_ms.set(SLOW_MS);
        host.wire.connection_max_count.set(SLOT_COUNT);
    }
    site.store.publish(configuration);
    tokio::time::sleep(SETTLE).await;
    site
}

fn keyed_caller(site: &Site, index: usize) -> Caller {
    site.caller(index).with_key(KEY)
}

/// Sends requests of both services at each node, at twice the rate that the targets can take. Returns
/// whether each was an order, and its result.
async fn call_at_twice_the_capacity(site: &Site) -> Vec<(bool, CallResult)> {
    let period = Duration::from_secs(1) * HOST_COUNT as u32 / (2 * CAPACITY_PER_S) as u32;
    let mut calls = Vec::new();
    let callers: Vec<Rc<Caller>> = (0..HOST_COUNT)
        .map(|index| Rc::new(keyed_caller(site, index)))
        .collect();
    let started_at = Instant::now();
    let mut round = 0;
    while started_at.elapsed() < DURATION {
        for caller in &callers {
            for is_order in [false, true] {
                let caller = Rc::clone(caller);
                calls.push(tokio::task::spawn_local(async move {
                    let (method, path) = if is_order {
                        ("POST", "/orders/1")
                    } else {
                        ("GET", "/reads/1")
                    };
                    (is_order, caller.call(method, path).await)
                }));
            }
        }
        round += 1;
        tokio::time::sleep_until((started_at + period * round).into()).await;
    }
    let mut results = Vec::new();
    for call in calls {
        results.push(call.await.unwrap());
    }
    results
}

/// Returns how often each request ran.
fn run_counts(site: &Site) -> BTreeMap<String, usize> {
    let mut run_counts = BTreeMap::new();
    for host in &site.hosts {
        for run in host.backend.runs() {
            *run_counts.entry(run.id).or_default() += 1;
        }
    }
    run_counts
}

fn reset_counts(site: &Site) -> Vec<usize> {
    let wires = site.hosts.iter().map(|host| &host.wire);
    wires.map(|wire| wire.reset_count.get()).collect()
}

/// Checks that no call saw a reset or ran twice, and that the targets had no cause for a reset.
fn assert_no_resets(site: &Site, results: &[(bool, CallResult)]) {
    let run_counts = run_counts(site);
    let mut counts: BTreeMap<(bool, u16), usize> = BTreeMap::new();
    let mut repeated_count = 0;
    for (is_order, result) in results {
        *counts.entry((*is_order, result.status)).or_default() += 1;
        let run_count = run_counts.get(&result.id).copied().unwrap_or(0);
        repeated_count += usize::from(run_count > 1);
        assert!(
            !is_order || run_count <= 1,
            "{result:?} ran {run_count} times"
        );
        assert!(result.status != 503 || run_count == 0, "{result:?} ran");
    }
    eprintln!(
        "answers by service and status {counts:?}, {repeated_count} ran twice, resets {:?}",
        reset_counts(site)
    );
    for (is_order, result) in results {
        // A call that is late after its run began ends with 504 or, on a busy machine, at the deadline of
        // its caller. A reset shows as 502, or as no answer before that.
        let is_late = result.status == 0 && result.took >= CALLER_DEADLINE;
        let is_expected = is_late || [200, 503, 504].contains(&result.status);
        assert!(is_expected, "{is_order} {result:?}");
    }
    assert_eq!(repeated_count, 0);
    assert_eq!(reset_counts(site), [0; HOST_COUNT]);
    for is_order in [false, true] {
        let served_count = counts.get(&(is_order, 200)).copied().unwrap_or(0) as u64;
        let least_count = CAPACITY_PER_S * DURATION.as_secs() / 2;
        assert!(served_count >= least_count, "{counts:?}");
        assert!(counts.contains_key(&(is_order, 503)), "{counts:?}");
    }
}

/// Guards against calls above the slots of a target, which it resets, so that they fail or run twice. The
/// route table calls for overload control.
#[ntex::test]
async fn full_targets_reset_no_call_with_overload_control() {
    let tenants = json!({"ann": {"apiKeys": [KEY]}});
    let site = start_site("full", &config_with_customers(2, &tenants, 900)).await;
    let results = call_at_twice_the_capacity(&site).await;
    assert_no_resets(&site, &results);
}

/// Guards against the same with a route table that does not call for overload control.
#[ntex::test]
async fn full_targets_reset_no_call_without_overload_control() {
    let site = start_site("full-plain", &config(2, "/reads/")).await;
    let results = call_at_twice_the_capacity(&site).await;
    assert_no_resets(&site, &results);
}

/// Guards against idle connections that are kept beside those that calls open: after a burst that used
/// each slot and a pause, the next orders use new connections.
#[ntex::test]
async fn idle_connections_of_a_burst_leave_room_for_later_calls() {
    let site = start_site("full-idle", &config(2, "/reads/")).await;
    let caller = keyed_caller(&site, 1);
    for count in [2 * SLOT_COUNT, 1, SLOT_COUNT] {
        let calls = (0..count).map(|_| caller.call("POST", "/orders/1"));
        for result in futures::future::join_all(calls).await {
            assert_eq!(result.status, 200, "{result:?} of {count}");
        }
        tokio::time::sleep(IDLE_PERIOD).await;
    }
    assert_eq!(reset_counts(&site), [0; HOST_COUNT]);
}
