//! Sites whose requests need API keys.

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::site::backend::Run;
use figway_testbed::site::{
    config_with_customers,
    Site, //
};
use serde_json::json;

use super::raw::{
    ask,
    new_id, //
};
use super::wait_site_ready;

/// Key of the customer `ann`.
pub(crate) const ANN_KEY: &str = "mgjqnirth5mgjy5rcpih";

/// Key of the customer `bob`.
pub(crate) const BOB_KEY: &str = "w2tyqcfxq7ud0bmgxbob";

/// Key that two customers hold.
pub(crate) const SHARED_KEY: &str = "held-by-ann-and-bob";

/// Time that the routes allow for a call, in milliseconds.
pub(crate) const ROUTE_TIMEOUT_MS: u64 = 2_000;

/// Starts a site of two hosts with customers. Orders of the first host pass two nodes.
pub(crate) async fn start_customer_site(name: &str) -> Site {
    let site = Site::start_first(name, 2).await.unwrap();
    wait_site_ready(&site).await;
    let tenants = json!({
        "ann": {"apiKeys": [ANN_KEY, SHARED_KEY], "priority": 0},
        "bob": {"apiKeys": [BOB_KEY, SHARED_KEY]},
    });
    site.store
        .publish(&config_with_customers(2, &tenants, ROUTE_TIMEOUT_MS));
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
pub(crate) fn runs_of(site: &Site, id: &str) -> Vec<Run> {
    let mut runs = Vec::new();
    for host in &site.hosts {
        runs.extend(host.backend.runs().into_iter().filter(|run| run.id == id));
    }
    runs
}

/// Waits until back ends have started `count` runs of requests with the id.
pub(crate) async fn wait_runs(site: &Site, id: &str, count: usize) {
    let deadline = Instant::now() + Duration::from_secs(2);
    while runs_of(site, id).len() < count {
        assert!(Instant::now() < deadline, "{id} runs fewer times");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the customers that the one run of the request names.
pub(crate) fn named_customers(site: &Site, id: &str) -> Vec<String> {
    let runs = runs_of(site, id);
    assert_eq!(runs.len(), 1, "{id}");
    let headers = runs[0].headers.iter();
    headers
        .filter(|(name, _)| *name == "x-figway-tenant")
        .map(|(_, value)| value.to_owned())
        .collect()
}

/// Sends a request whose back end takes 600 ms, and returns its id and the host whose back end runs it.
pub(crate) async fn start_parent(site: &Site, lines: &[u8]) -> (String, usize) {
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
