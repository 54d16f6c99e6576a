//! End-to-end test of customers that share a service which can't take all their calls. Nodes run as real
//! processes; store and back ends are emulated.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::site::{
    config,
    Site, //
};
use futures::future::join_all;
use serde_json::json;

use crate::common::{
    wait_site_joined,
    wait_site_ready, //
};

/// Time within which a configuration is in force.
const IN_FORCE_MAX: Duration = Duration::from_millis(4_500);

/// Additional run time, so that the targets of the service take about 160 calls a second.
const SLOW_MS: u64 = 140;

const DURATION: Duration = Duration::from_secs(8);

/// Share of its calls that a customer far below its share gets at least.
const SHARE_MIN_RATIO: f64 = 0.8;

/// Sends a call each `period` to a node and returns the share that was served.
async fn served_ratio(site: &Site, index: usize, key: &str, period: Duration) -> f64 {
    let caller = Rc::new(site.caller(index).with_key(key));
    let started_at = Instant::now();
    let mut calls = Vec::new();
    while started_at.elapsed() < DURATION {
        let caller = Rc::clone(&caller);
        calls.push(tokio::task::spawn_local(async move {
            caller.call("GET", "/reads/1").await.status
        }));
        tokio::time::sleep_until((started_at + period * calls.len() as u32).into()).await;
    }
    let statuses = join_all(calls).await;
    let served = statuses
        .iter()
        .filter(|status| matches!(status, Ok(200)))
        .count();
    served as f64 / statuses.len() as f64
}

/// Guards against a customer without a limit that crowds out the others of its priority, at its node and at
/// others.
#[ntex::test]
async fn a_customer_that_floods_a_service_leaves_the_others_their_shares() {
    let site = Site::start("customer-shares", 4).await.unwrap();
    wait_site_ready(&site).await;
    wait_site_joined(&site).await;
    for host in &site.hosts {
        host.backend.slow_ms.set(SLOW_MS);
    }
    let customer = |key: &str, rate_per_s: u32| {
        json!({
            "apiKeys": [key], "priority": 1, "ratePerS": rate_per_s, "burstSize": rate_per_s,
        })
    };
    let mut configuration = config(2, "/reads/");
    configuration["tenants"] = json!({
        "flood": customer("key-flood", 0),
        "beside": customer("key-beside", 60),
        "elsewhere": customer("key-elsewhere", 60),
    });
    site.store.publish(&configuration);
    tokio::time::sleep(IN_FORCE_MAX).await;
    let (fast, slow) = (Duration::from_millis(3), Duration::from_millis(40));
    let (flood, beside, elsewhere) = futures::join!(
        served_ratio(&site, 0, "key-flood", fast),
        served_ratio(&site, 0, "key-beside", slow),
        served_ratio(&site, 1, "key-elsewhere", slow),
    );
    eprintln!("served: flood {flood:.2}, beside {beside:.2}, elsewhere {elsewhere:.2}");
    assert!(flood < 0.7, "the service was not full: {flood:.2}");
    assert!(beside >= SHARE_MIN_RATIO, "{beside:.2}");
    assert!(elsewhere >= SHARE_MIN_RATIO, "{elsewhere:.2}");
}
