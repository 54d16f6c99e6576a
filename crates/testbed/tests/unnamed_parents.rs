//! End-to-end tests of the calls that a target makes while it runs a call, with ids that don't tell which
//! call that is. Nodes run as real processes; store and back ends are emulated.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::process::Signal;
use figway_testbed::site::wire::WireState;
use figway_testbed::site::{
    config_with_customers,
    Site, //
};
use serde_json::json;

use crate::common::customers::{
    named_customers,
    runs_of,
    start_customer_site,
    start_parent,
    wait_runs,
    ANN_KEY,
    BOB_KEY,
    ROUTE_TIMEOUT_MS, //
};
use crate::common::raw::{
    ask,
    ask_keyless,
    key_line,
    new_id, //
};
use crate::common::{
    get_text,
    wait_site_ready, //
};

/// Time within which versions of the configuration are in force.
const CONFIG_MAX: Duration = Duration::from_secs(3);

/// Time that a nested call may take, in milliseconds. It is less than the parents have left.
const NESTED_BUDGET_MS: u64 = 900;

/// Time after its deadline within which the answer to a call reaches its caller.
const DEADLINE_SLACK: Duration = Duration::from_millis(200);

/// Number of calls that let a node retry one.
const SERVED_COUNT: usize = 60;

/// Sends a request to the orders service that takes `run_ms`, and calls `during` while it runs. An empty
/// key is left out. Returns the status of the request.
async fn during_run(site: &Site, key: &str, run_ms: u64, during: impl AsyncFnOnce()) -> u16 {
    let id = new_id();
    let orders = &site.hosts[1].backend;
    orders.slow_ms.set(run_ms);
    let lines = match key {
        "" => Vec::new(),
        key => key_line(key),
    };
    let parent = ask(site, 0, "POST /orders/parent", &id, &lines);
    let nested = async {
        wait_runs(site, &id, 1).await;
        orders.slow_ms.set(0);
        during().await;
    };
    futures::future::join(parent, nested).await.0
}

/// Asserts that the host's node serves a nested call whose id names no parent, for no customer.
async fn assert_nested_served(site: &Site, index: usize, id: &str) {
    let status = ask_keyless(site, index, "GET /reads/nested", id, NESTED_BUDGET_MS).await;
    assert_eq!(status, 200, "{id}");
    assert!(named_customers(site, id).is_empty(), "{id}");
}

/// Guards against calls of back ends that are denied since their ids have the form of any other id.
#[ntex::test]
async fn a_nested_call_with_an_id_of_any_form_is_served() {
    let site = start_customer_site("unnamed-forms").await;
    let (parent_id, index) = start_parent(&site, &key_line(ANN_KEY)).await;
    for id in [
        new_id(),
        "8f14e45f-ceea-467f-a8d8-3b1f5c2e9d07".to_owned(),
        "70250181".to_owned(),
        format!("run-{parent_id}-1"),
        format!("{}.1", new_id()),
        "a.b.c".to_owned(),
    ] {
        assert_nested_served(&site, index, &id).await;
    }
    let metrics = get_text(&site.hosts[index].metrics_address, "/metrics").await;
    let counted = metrics
        .lines()
        .find(|line| line.contains("keyless_requests") && line.contains("one-of"));
    assert!(
        counted.is_some_and(|line| line.ends_with(" 6")),
        "{metrics}"
    );
}

/// Guards against nested calls that run for one of several customers by a guess, or are denied since it is
/// not known for whom they run.
#[ntex::test]
async fn a_nested_call_beside_runs_of_two_customers_is_served_for_neither() {
    let site = start_customer_site("unnamed-customers").await;
    let status = during_run(&site, ANN_KEY, 900, async || {
        let status = during_run(&site, BOB_KEY, 400, async || {
            for _ in 0..10 {
                assert_nested_served(&site, 1, &new_id()).await;
            }
        });
        assert_eq!(status.await, 200);
    });
    assert_eq!(status.await, 200);
}

/// Guards against requests without a key that run though the back end beside them runs nothing, whatever
/// their ids look like and however soon they expire.
#[ntex::test]
async fn a_request_without_a_key_at_an_idle_back_end_gets_401_and_does_not_run() {
    let site = start_customer_site("unnamed-idle").await;
    let ids = || [new_id(), format!("{}.1", new_id())];
    let status = during_run(&site, ANN_KEY, 400, async || {
        for id in ids() {
            // The parent runs beside the other node.
            assert_eq!(ask_keyless(&site, 0, "GET /reads/1", &id, 100).await, 401);
            assert!(runs_of(&site, &id).is_empty());
        }
    });
    assert_eq!(status.await, 200);
    for index in [0, 1] {
        for id in ids() {
            let status = ask_keyless(&site, index, "GET /reads/1", &id, 100).await;
            assert_eq!(status, 401, "host {index}");
            assert!(runs_of(&site, &id).is_empty());
        }
    }
}

/// Guards against clients without a key that run as if they were nested in a run that ends long before, and
/// against wrong keys that pass at a busy back end.
#[ntex::test]
async fn a_request_beside_a_run_is_refused_if_it_outlives_it_or_its_key_is_wrong() {
    let site = start_customer_site("unnamed-outlived").await;
    let status = during_run(&site, ANN_KEY, 400, async || {
        let id = new_id();
        let budget_ms = 2 * ROUTE_TIMEOUT_MS;
        let status = ask_keyless(&site, 1, "GET /reads/1", &id, budget_ms).await;
        assert_eq!(status, 503);
        assert!(runs_of(&site, &id).is_empty());
        let lines = key_line("unknown");
        assert_eq!(ask(&site, 1, "GET /reads/1", &id, &lines).await, 401);
        assert!(runs_of(&site, &id).is_empty());
    });
    assert_eq!(status.await, 200);
}

/// Guards against a nested call that goes on when all runs that may have made it have expired.
#[ntex::test]
async fn a_nested_call_expires_with_the_last_run_that_may_have_made_it() {
    let site = start_customer_site("unnamed-expired").await;
    let started_at = Instant::now();
    let (_, index) = start_parent(&site, &key_line(ANN_KEY)).await;
    for host in &site.hosts {
        host.backend.slow_ms.set(2 * ROUTE_TIMEOUT_MS);
    }
    // A nested call is late by the time that it takes to its node.
    let late_ms = 60;
    let left = (started_at + Duration::from_millis(ROUTE_TIMEOUT_MS + late_ms)) - Instant::now();
    let budget_ms = left.as_millis() as u64;
    let status = ask_keyless(&site, index, "GET /reads/1", &new_id(), budget_ms).await;
    assert_eq!(status, 504);
    let took = started_at.elapsed();
    assert!(
        took < Duration::from_millis(ROUTE_TIMEOUT_MS) + DEADLINE_SLACK,
        "{took:?}"
    );
}

/// Guards against calls of nested calls that are denied, since the run that makes them belongs to nobody.
#[ntex::test]
async fn a_call_of_a_nested_call_is_served() {
    let site = start_customer_site("unnamed-deep").await;
    let status = during_run(&site, ANN_KEY, 900, async || {
        let reads = &site.hosts[0].backend;
        reads.slow_ms.set(400);
        let id = new_id();
        let nested = ask_keyless(&site, 1, "GET /reads/nested", &id, NESTED_BUDGET_MS);
        let inner = async {
            wait_runs(&site, &id, 1).await;
            reads.slow_ms.set(0);
            assert_nested_served(&site, 0, &new_id()).await;
        };
        assert_eq!(futures::future::join(nested, inner).await.0, 200);
    });
    assert_eq!(status.await, 200);
}

/// Guards against a run whose calls are denied since the node of its caller has ended.
#[ntex::test]
async fn a_run_that_outlives_the_node_of_its_caller_makes_its_calls() {
    let mut site = start_customer_site("unnamed-outliving").await;
    site.hosts[1].backend.slow_ms.set(900);
    let id = new_id();
    let lines = key_line(ANN_KEY);
    let parent = ask(&site, 0, "POST /orders/parent", &id, &lines);
    assert!(tokio::time::timeout(Duration::from_millis(150), async {
        futures::future::join(parent, wait_runs(&site, &id, 1)).await
    })
    .await
    .is_err());
    let node = site.hosts[0].node.take().unwrap();
    node.signal(Signal::Kill).unwrap();
    drop(node);
    site.hosts[1].backend.slow_ms.set(0);
    assert_eq!(runs_of(&site, &id).len(), 1);
    let nested_id = new_id();
    let status = ask_keyless(
        &site,
        1,
        "POST /orders/nested",
        &nested_id,
        NESTED_BUDGET_MS,
    )
    .await;
    assert_eq!(status, 200);
    assert!(named_customers(&site, &nested_id).is_empty());
}

/// Guards against calls of a run that are denied since its connection broke and its request was repeated at
/// another back end.
#[ntex::test]
async fn a_run_that_was_repeated_elsewhere_makes_its_calls() {
    let site = Site::start_first("unnamed-repeated", 4).await.unwrap();
    wait_site_ready(&site).await;
    let tenants = json!({"ann": {"apiKeys": [ANN_KEY]}});
    site.store
        .publish(&config_with_customers(2, &tenants, ROUTE_TIMEOUT_MS));
    tokio::time::sleep(CONFIG_MAX).await;
    let lines = key_line(ANN_KEY);
    for _ in 0..SERVED_COUNT {
        assert_eq!(ask(&site, 1, "GET /reads/1", &new_id(), &lines).await, 200);
    }
    let reads = [&site.hosts[0], &site.hosts[2]];
    for host in reads {
        host.backend.slow_ms.set(600);
    }
    let id = new_id();
    let parent = ask(&site, 1, "GET /reads/parent", &id, &lines);
    let nested = async {
        wait_runs(&site, &id, 1).await;
        let first = usize::from(reads[0].backend.runs().iter().all(|run| run.id != id));
        for host in reads {
            host.backend.slow_ms.set(0);
        }
        let wire = &reads[first].wire;
        wire.set_state(WireState::Reset);
        tokio::time::sleep(Duration::from_millis(50)).await;
        wire.set_state(WireState::Up);
        let nested_id = new_id();
        let index = 2 * first;
        let path = "POST /orders/nested";
        let status = ask_keyless(&site, index, path, &nested_id, NESTED_BUDGET_MS).await;
        assert_eq!(status, 200);
        assert!(named_customers(&site, &nested_id).is_empty());
    };
    let (status, ()) = futures::future::join(parent, nested).await;
    assert_eq!(status, 200);
    assert_eq!(runs_of(&site, &id).len(), 2);
}

/// Guards against runs whose calls are denied since the first table with customers came into force while
/// they were open.
#[ntex::test]
async fn runs_that_began_before_requests_needed_keys_make_their_calls() {
    let site = Site::start_first("unnamed-before", 2).await.unwrap();
    wait_site_ready(&site).await;
    let tenants = json!({"ann": {"apiKeys": [ANN_KEY]}});
    let mut open = config_with_customers(2, &tenants, 9_000);
    open.as_object_mut().unwrap().remove("tenants");
    site.store.publish(&open);
    tokio::time::sleep(CONFIG_MAX).await;
    let run_ms = 2 * CONFIG_MAX.as_millis() as u64;
    let status = during_run(&site, "", run_ms, async || {
        site.store
            .publish(&config_with_customers(3, &tenants, 9_000));
        tokio::time::sleep(CONFIG_MAX).await;
        assert_eq!(
            ask_keyless(&site, 0, "GET /reads/1", &new_id(), 100).await,
            401
        );
        assert_nested_served(&site, 1, &new_id()).await;
    });
    assert_eq!(status.await, 200);
}
