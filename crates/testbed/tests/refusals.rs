//! Measures how long a refusal takes. Nodes run as real processes; store, back ends and callers are
//! emulated.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::site::caller::CallResult;
use figway_testbed::site::{
    config,
    Site, //
};
use serde_json::json;
use tokio::task::JoinHandle;

use crate::common::{
    wait_site_joined,
    wait_site_ready, //
};

/// Time within which a refusal reaches the caller, for [`IN_TIME_SHARE`] of the refusals.
const REFUSED_MAX: Duration = Duration::from_millis(20);

const IN_TIME_SHARE: f64 = 0.95;

/// Time by which each request runs longer than usual, in milliseconds. With it the two back ends of the
/// reads complete 160 requests a second.
const SLOW_MS: u64 = 135;

/// Pause between two requests of the customer without a limit at each host; together they send twice what
/// the back ends complete.
const FREE_PERIOD: Duration = Duration::from_micros(12_500);

/// Pause between two requests of the limited customer at each host; they send four times its limit.
const LIMITED_PERIOD: Duration = Duration::from_millis(50);

const LIMIT_PER_S: f64 = 20.0;

/// Time of load before refusals are measured.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time of load while refusals are measured.
const MEASURED: Duration = Duration::from_secs(5);

/// Starts a caller of a customer at a host, with a request in each `period`.
fn start_caller(
    site: &Site,
    index: usize,
    key: &str,
    period: Duration,
) -> JoinHandle<Vec<CallResult>> {
    let caller = Rc::new(site.caller(index).with_key(key));
    tokio::task::spawn_local(async move {
        let started_at = Instant::now();
        let mut calls = Vec::new();
        let mut count = 0;
        while started_at.elapsed() < WARM_UP + MEASURED {
            let caller = Rc::clone(&caller);
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

/// Prints how long refusals took, and returns the share of those in time.
fn in_time_share(name: &str, mut took: Vec<Duration>) -> f64 {
    assert!(!took.is_empty(), "nothing was refused: {name}");
    took.sort();
    let in_time_count = took.partition_point(|took| *took <= REFUSED_MAX);
    let share = in_time_count as f64 / took.len() as f64;
    let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
    println!(
        "{name}: {} refused, {share:.3} within {REFUSED_MAX:?}, median {:?}, 95 in 100 {:?}, most {:?}",
        took.len(),
        at(0.5),
        at(0.95),
        at(1.0)
    );
    share
}

/// Guards against refusals that come late, so that a caller can't use the time that is left elsewhere.
#[ntex::test]
async fn ninety_five_in_a_hundred_refusals_reach_the_caller_within_20_ms() {
    let site = Site::start("refusals", 4).await.unwrap();
    wait_site_ready(&site).await;
    wait_site_joined(&site).await;
    let mut configuration = config(2, "/reads/");
    configuration["tenants"] = json!({
        "free": {"apiKeys": ["key-free"]},
        "limited": {"apiKeys": ["key-limited"], "ratePerS": LIMIT_PER_S, "burstSize": LIMIT_PER_S},
    });
    site.store.publish(&configuration);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for host in &site.hosts {
        host.backend.slow_ms.set(SLOW_MS);
    }
    let measured_from = Instant::now() + WARM_UP;
    let mut callers = Vec::new();
    for index in 0..site.hosts.len() {
        callers.push(start_caller(&site, index, "key-free", FREE_PERIOD));
        callers.push(start_caller(&site, index, "key-limited", LIMITED_PERIOD));
    }
    let (mut overloaded, mut limited, mut served_count) = (Vec::new(), Vec::new(), 0);
    for caller in callers {
        for result in caller.await.unwrap() {
            if result.sent_at < measured_from {
                continue;
            }
            match result.status {
                429 => limited.push(result.took),
                503 => overloaded.push(result.took),
                200 => served_count += 1,
                _ => {}
            }
        }
    }
    println!("{served_count} served");
    let limited_share = in_time_share("429", limited);
    let overloaded_share = in_time_share("503", overloaded);
    assert!(limited_share >= IN_TIME_SHARE);
    assert!(overloaded_share >= IN_TIME_SHARE);
}
