//! End-to-end tests of keys that the operator removes and adds. Nodes run as real processes; store and
//! back ends are emulated.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::relay::LinkState;
use figway_testbed::site::{
    config_with_customers,
    Site, //
};
use serde_json::json;

use crate::common::raw::{
    ask,
    key_line,
    new_id,
    request,
    RawConnection, //
};
use crate::common::{
    restart_node,
    wait_site_joined,
    wait_site_ready, //
};

/// Key that stays valid.
const KEPT_KEY: &str = "key-that-is-kept";

/// Key that is removed.
const REMOVED_KEY: &str = "key-that-is-removed";

/// Key that comes with the version that removes the other one.
const NEW_KEY: &str = "key-that-is-new";

/// Time after the acknowledgement of a version from which on a removed key is refused.
const REMOVED_MAX: Duration = Duration::from_millis(3_000);

/// Run time of requests that are still at work when the removal is in force everywhere.
const LONG_RUN_MS: u64 = 3_300;

/// Time after which the log line of a call is written.
const LOG_DELAY: Duration = Duration::from_millis(400);

/// Longest time until a log line is written.
const LOG_MAX: Duration = Duration::from_secs(5);

/// Number of calls that let the nodes retry some.
const SERVED_COUNT: usize = 60;

/// Number of slots of each back end.
const SLOT_COUNT: usize = 12;

/// Starts a site whose customers hold the kept and the removed key.
async fn start_site(name: &str, host_count: usize) -> Site {
    let site = Site::start(name, host_count).await.unwrap();
    wait_site_ready(&site).await;
    wait_site_joined(&site).await;
    let tenants = json!({
        "ann": {"apiKeys": [KEPT_KEY]},
        "bob": {"apiKeys": [REMOVED_KEY]},
    });
    site.store
        .publish(&config_with_customers(2, &tenants, 9_000));
    tokio::time::sleep(REMOVED_MAX).await;
    site
}

/// Publishes the version that removes the key and brings a new one.
fn remove_key(site: &Site) -> Instant {
    let tenants = json!({
        "ann": {"apiKeys": [KEPT_KEY]},
        "bob": {"apiKeys": [NEW_KEY]},
    });
    site.store
        .publish(&config_with_customers(3, &tenants, 9_000));
    Instant::now()
}

async fn wait_removed(removed_at: Instant) {
    tokio::time::sleep_until((removed_at + REMOVED_MAX).into()).await;
}

fn run_count(site: &Site, id: &str) -> usize {
    let mut count = 0;
    for host in &site.hosts {
        count += host
            .backend
            .runs()
            .iter()
            .filter(|run| run.id == id)
            .count();
    }
    count
}

fn set_slow(site: &Site, slow_ms: u64) {
    for host in &site.hosts {
        host.backend.slow_ms.set(slow_ms);
    }
}

/// Checks at a node that the removed key is refused, and the others are not.
async fn assert_removed(site: &Site, index: usize) {
    for (key, expected) in [(REMOVED_KEY, 401), (KEPT_KEY, 200), (NEW_KEY, 200)] {
        let id = new_id();
        let status = ask(site, index, "POST /orders/1", &id, &key_line(key)).await;
        assert_eq!(status, expected, "host {index}: {key}");
        assert_eq!(run_count(site, &id), usize::from(expected == 200), "{key}");
    }
}

/// Guards against a connection whose key is read once.
#[ntex::test]
async fn a_removed_key_is_refused_on_kept_connections_and_for_pipelined_requests() {
    let site = start_site("removed-kept", 2).await;
    for index in [0, 1] {
        assert_eq!(
            ask(&site, index, "GET /reads/1", &new_id(), &key_line(NEW_KEY)).await,
            401
        );
    }
    let mut kept = Vec::new();
    for index in [0, 1] {
        let mut connection = RawConnection::open(&site, index).await;
        let bytes = request("POST /orders/1", &new_id(), &key_line(REMOVED_KEY));
        connection.write(&bytes).await;
        assert_eq!(connection.read_status().await, 200);
        kept.push(connection);
    }
    set_slow(&site, LONG_RUN_MS);
    let mut pipelined = Vec::new();
    for index in [0, 1] {
        let mut connection = RawConnection::open(&site, index).await;
        let (first, second) = (new_id(), new_id());
        for id in [&first, &second] {
            let bytes = request("POST /orders/1", id, &key_line(REMOVED_KEY));
            connection.write(&bytes).await;
        }
        pipelined.push((connection, second));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let removed_at = remove_key(&site);
    wait_removed(removed_at).await;
    set_slow(&site, 0);
    for connection in &mut kept {
        let id = new_id();
        let bytes = request("POST /orders/1", &id, &key_line(REMOVED_KEY));
        connection.write(&bytes).await;
        assert_eq!(connection.read_status().await, 401);
        assert_eq!(run_count(&site, &id), 0);
    }
    for (connection, second) in &mut pipelined {
        assert_eq!(connection.read_status().await, 200);
        assert_eq!(connection.read_status().await, 401);
        assert_eq!(run_count(&site, second), 0);
    }
    for index in [0, 1] {
        assert_removed(&site, index).await;
    }
}

/// Guards against a call that waits beside its target while its key is removed, and is started then.
/// The node beside the target gets the name of the customer and the beginning of the key's digest.
#[ntex::test]
async fn a_call_that_waits_in_the_queue_of_the_target_is_not_started_after_its_key_was_removed() {
    let site = start_site("removed-queue", 2).await;
    set_slow(&site, LONG_RUN_MS);
    let mut running = Vec::new();
    for _ in 0..SLOT_COUNT {
        let mut connection = RawConnection::open(&site, 1).await;
        let bytes = request("POST /orders/1", &new_id(), &key_line(KEPT_KEY));
        connection.write(&bytes).await;
        running.push(connection);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut waiting = Vec::new();
    for (index, key, expected) in [
        (0, REMOVED_KEY, 401),
        (1, REMOVED_KEY, 401),
        (0, KEPT_KEY, 200),
        (1, KEPT_KEY, 200),
    ] {
        let (mut connection, id) = (RawConnection::open(&site, index).await, new_id());
        let bytes = request("POST /orders/1", &id, &key_line(key));
        connection.write(&bytes).await;
        waiting.push((connection, id, expected));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    for (_, id, _) in &waiting {
        assert_eq!(run_count(&site, id), 0, "the call does not wait");
    }
    wait_removed(remove_key(&site)).await;
    set_slow(&site, 0);
    for connection in &mut running {
        assert_eq!(connection.read_status().await, 200);
    }
    for (connection, id, expected) in &mut waiting {
        assert_eq!(connection.read_status().await, *expected);
        assert_eq!(run_count(&site, id), usize::from(*expected == 200));
    }
    // Log lines are written in groups, later on a busy machine.
    let until = Instant::now() + LOG_MAX;
    while !site.hosts[1].log().unwrap().contains("removed-key") {
        assert!(Instant::now() < until, "the refusal is not logged");
        tokio::time::sleep(LOG_DELAY).await;
    }
}

/// Guards against a second attempt with a key that was removed during the first one. With a key that
/// is kept the second one is made.
#[ntex::test]
async fn a_call_is_not_sent_to_a_second_target_after_its_key_was_removed() {
    let site = start_site("removed-between", 4).await;
    // Retries are a share of the calls that were served.
    for _ in 0..SERVED_COUNT {
        let status = ask(&site, 0, "POST /orders/1", &new_id(), &key_line(KEPT_KEY)).await;
        assert_eq!(status, 200);
    }
    set_slow(&site, LONG_RUN_MS);
    for host in &site.hosts {
        host.backend.refuses_late.set(true);
    }
    let mut calls = Vec::new();
    for (key, expected) in [(REMOVED_KEY, 401), (KEPT_KEY, 503)] {
        let mut connection = RawConnection::open(&site, 0).await;
        let bytes = request("POST /orders/1", &new_id(), &key_line(key));
        connection.write(&bytes).await;
        calls.push((connection, expected));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    wait_removed(remove_key(&site)).await;
    for (connection, expected) in &mut calls {
        let status = connection.read_status().await;
        tokio::time::sleep(LOG_DELAY).await;
        assert_eq!(status, *expected, "{}", site.hosts[0].log().unwrap());
    }
    let mut refusal_count = 0;
    for host in &site.hosts {
        refusal_count += host.backend.late_refusal_count.get();
    }
    assert_eq!(refusal_count, 3);
}

/// Guards against a call that was routed before requests needed keys, and whose next attempt takes its
/// credentials to a back end, or runs without a customer.
#[ntex::test]
async fn a_call_that_was_routed_before_requests_needed_keys_is_identified_before_its_next_attempt()
{
    let site = Site::start_first("removed-before", 4).await.unwrap();
    wait_site_ready(&site).await;
    let tenants = json!({"ann": {"apiKeys": [KEPT_KEY]}});
    let mut open = config_with_customers(2, &tenants, 9_000);
    open.as_object_mut().unwrap().remove("tenants");
    site.store.publish(&open);
    tokio::time::sleep(REMOVED_MAX).await;
    for _ in 0..SERVED_COUNT {
        assert_eq!(ask(&site, 0, "POST /orders/1", &new_id(), b"").await, 200);
    }
    set_slow(&site, LONG_RUN_MS);
    for host in &site.hosts {
        host.backend.refuses_late.set(true);
    }
    let mut calls = Vec::new();
    for (lines, expected) in [
        (key_line(KEPT_KEY), 200),
        (key_line("unknown"), 401),
        (Vec::new(), 401),
    ] {
        let (mut connection, id) = (RawConnection::open(&site, 0).await, new_id());
        let bytes = request("POST /orders/1", &id, &lines);
        connection.write(&bytes).await;
        calls.push((connection, id, expected));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.store
        .publish(&config_with_customers(3, &tenants, 9_000));
    tokio::time::sleep(REMOVED_MAX).await;
    set_slow(&site, 0);
    for host in &site.hosts {
        host.backend.refuses_late.set(false);
    }
    for (connection, id, expected) in &mut calls {
        assert_eq!(connection.read_status().await, *expected);
        assert_eq!(run_count(&site, id), usize::from(*expected == 200));
    }
    let served = &calls[0].1;
    for host in &site.hosts {
        for run in host.backend.runs().iter().filter(|run| run.id == *served) {
            assert_eq!(run.headers.get("x-figway-tenant"), Some("ann"));
            assert!(run.headers.get("authorization").is_none());
        }
    }
}

/// Guards against a node that serves by the keys of the last table that it read itself: no request and
/// no answer shows it the new one.
#[ntex::test]
async fn a_node_that_does_not_reach_the_store_learns_of_a_removed_key_from_its_peers() {
    let site = start_site("removed-cut", 4).await;
    for index in [1, 2] {
        site.hosts[index].store_link.set_link_state(LinkState {
            blocked: true,
            ..LinkState::default()
        });
    }
    tokio::time::sleep(REMOVED_MAX).await;
    wait_removed(remove_key(&site)).await;
    for index in [1, 2, 0, 3] {
        assert_removed(&site, index).await;
    }
}

/// Guards against a node that starts with the keys of an older table.
#[ntex::test]
async fn a_node_that_starts_again_refuses_a_removed_key() {
    let mut site = start_site("removed-restart", 2).await;
    let removed_at = remove_key(&site);
    wait_removed(removed_at).await;
    for index in [0, 1] {
        restart_node(&mut site, index).await;
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let id = new_id();
            let status = ask(&site, index, "POST /orders/1", &id, &key_line(REMOVED_KEY)).await;
            assert_eq!(run_count(&site, &id), 0, "host {index}: {status}");
            if status == 401 {
                break;
            }
            assert_eq!(status, 503, "host {index}");
            assert!(Instant::now() < until, "host {index} does not start");
        }
    }
    // Its target announces itself to the node within half a second.
    tokio::time::sleep(REMOVED_MAX).await;
    for index in [0, 1] {
        assert_removed(&site, index).await;
    }
}
