//! End-to-end tests of the calls that a target makes while it runs a call, where requests need keys. They
//! carry none. Nodes run as real processes; store and back ends are emulated.

mod common;

use std::time::{
    Duration,
    Instant, //
};

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
    key_line,
    new_id, //
};
use crate::common::{
    get_text,
    restart_node, //
};

/// Time after its start during which a node lets calls of an unknown parent through.
const LOST_CALL_MAX: Duration = Duration::from_secs(10);

/// Longest time from sending a parent until its node takes it.
const PARENT_START_MAX: Duration = Duration::from_millis(100);

/// Time after its deadline within which the answer to a call reaches its caller.
const DEADLINE_SLACK: Duration = Duration::from_millis(90);

/// Number of parents whose nested calls are refused. They fit the slots of a back end.
const REFUSED_PARENT_COUNT: usize = 10;

/// Guards against nested calls that are refused for want of a key, or belong to nobody.
#[ntex::test]
async fn a_nested_call_belongs_to_the_customer_of_its_parent() {
    let site = start_customer_site("keys-nested").await;
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
        // The parent runs beside another node than this one, whose back end runs nothing.
        let id = format!("{parent_id}.4");
        let status = ask(&site, 1 - index, "GET /reads/1", &id, b"").await;
        assert_eq!(status, 401);
        assert!(runs_of(&site, &id).is_empty());
    }
}

/// Guards against nested calls that are refused with 401 because their node was started again, and
/// against unknown parents that open the routes for good.
#[ntex::test]
async fn a_call_of_an_unknown_parent_is_let_through_for_ten_seconds_and_gets_401_later() {
    let mut site = start_customer_site("keys-orphans").await;
    let started_at = Instant::now();
    restart_node(&mut site, 1).await;
    for id in [format!("{}.1", new_id()), new_id()] {
        let mut status = 0;
        while status != 200 && started_at.elapsed() < LOST_CALL_MAX / 2 {
            status = ask(&site, 1, "GET /reads/1", &id, b"").await;
            assert_ne!(status, 401);
        }
        assert_eq!(status, 200);
        assert!(named_customers(&site, &id).is_empty());
    }
    tokio::time::sleep(LOST_CALL_MAX + Duration::from_secs(1) - started_at.elapsed()).await;
    for id in [format!("{}.1", new_id()), new_id()] {
        assert_eq!(ask(&site, 1, "GET /reads/1", &id, b"").await, 401);
        assert!(runs_of(&site, &id).is_empty());
        assert_eq!(ask(&site, 1, "POST /open/1", &id, b"").await, 200);
    }
}

/// Returns the rank in the log line about the end of the call.
fn logged_rank(log: &str, id: &str) -> u32 {
    let is_end = |line: &&str| line.contains("call ended") && line.contains(id);
    let line = log.lines().find(is_end).expect("the call is logged");
    let (_, rank) = line.split_once("\"rank\":").expect("it has a rank");
    let (rank, _) = rank.split_once(',').expect("fields follow");
    rank.parse().expect("it is a number")
}

/// Guards against nested calls that displace more urgent calls than their parent, and against ones that
/// wait behind calls of the same priority while their parent holds a slot.
#[ntex::test]
async fn a_nested_call_ranks_just_before_calls_of_its_parents_priority() {
    let site = start_customer_site("keys-ranks").await;
    let (parent_id, index) = start_parent(&site, &key_line(ANN_KEY)).await;
    let nested_id = format!("{parent_id}.1");
    let inner_id = format!("{parent_id}.1.1");
    let direct_id = new_id();
    for id in [&nested_id, &inner_id] {
        assert_eq!(ask(&site, index, "GET /reads/1", id, b"").await, 200);
    }
    let key = key_line(ANN_KEY);
    assert_eq!(
        ask(&site, index, "GET /reads/1", &direct_id, &key).await,
        200
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    let log = site.hosts[index].log().unwrap();
    let direct_rank = logged_rank(&log, &direct_id);
    assert!(direct_rank > 1, "{direct_rank}");
    assert_eq!(
        logged_rank(&log, &format!("{nested_id}\"")),
        direct_rank - 1
    );
    assert_eq!(logged_rank(&log, &inner_id), direct_rank - 1);
}

/// Guards against a nested call that runs on, or begins, when nobody waits for its parent any more.
#[ntex::test]
async fn a_nested_call_expires_at_the_deadline_of_its_parent() {
    let site = start_customer_site("keys-expired").await;
    let started_at = Instant::now();
    let expires_at = started_at + Duration::from_millis(ROUTE_TIMEOUT_MS);
    let (parent_id, index) = start_parent(&site, &key_line(ANN_KEY)).await;
    for host in &site.hosts {
        host.backend.slow_ms.set(2 * ROUTE_TIMEOUT_MS);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let id = format!("{parent_id}.1");
    assert_eq!(ask(&site, index, "GET /reads/1", &id, b"").await, 504);
    let late = Instant::now().saturating_duration_since(expires_at);
    assert!(late < DEADLINE_SLACK + PARENT_START_MAX, "{late:?}");
    tokio::time::sleep_until((expires_at + PARENT_START_MAX).into()).await;
    let id = format!("{parent_id}.2");
    let status = ask(&site, index, "GET /reads/1", &id, b"").await;
    assert_eq!(status, 503);
    assert!(runs_of(&site, &id).is_empty());
}

/// Guards against a call that is forgotten when another one with the same id at the same target ends, so
/// that its nested calls belong to nobody.
#[ntex::test]
async fn the_end_of_a_call_leaves_another_one_with_the_same_id_running() {
    let site = start_customer_site("keys-same-id").await;
    let id = new_id();
    let lines = key_line(ANN_KEY);
    let set_slow = |slow_ms| {
        for host in &site.hosts {
            host.backend.slow_ms.set(slow_ms);
        }
    };
    set_slow(300);
    let first = ask(&site, 0, "POST /orders/first", &id, &lines);
    let second = async {
        wait_runs(&site, &id, 1).await;
        set_slow(1_200);
        ask(&site, 0, "POST /orders/second", &id, &lines).await
    };
    let nested = async {
        wait_runs(&site, &id, 2).await;
        set_slow(0);
        tokio::time::sleep(Duration::from_millis(600)).await;
        let nested_id = format!("{id}.1");
        let status = ask(&site, 1, "GET /reads/1", &nested_id, b"").await;
        (status, named_customers(&site, &nested_id))
    };
    let (first, second, nested) = futures::future::join3(first, second, nested).await;
    assert_eq!((first, second), (200, 200));
    assert_eq!(nested, (200, vec!["ann".to_owned()]));
}

/// Guards against refused nested calls that count for no running call, since their direct parent runs
/// elsewhere: the calls that depend on them would go on being started.
#[ntex::test]
async fn a_refused_nested_call_counts_for_the_running_call_that_it_belongs_to() {
    let site = start_customer_site("keys-refused").await;
    site.hosts[0].backend.set_rate_limit("0");
    let lines = key_line(ANN_KEY);
    // The answer states the limit.
    assert_eq!(ask(&site, 0, "GET /reads/1", &new_id(), &lines).await, 200);
    let orders = &site.hosts[1].backend;
    orders.slow_ms.set(400);
    orders.fails.set(true);
    let run_parent = async || {
        let id = new_id();
        let parent = ask(&site, 0, "POST /orders/1", &id, &lines);
        let nested = async {
            wait_runs(&site, &id, 1).await;
            ask(&site, 1, "GET /reads/1", &format!("{id}.1.1"), b"").await
        };
        futures::future::join(parent, nested).await
    };
    let parents = (0..REFUSED_PARENT_COUNT).map(|_| run_parent());
    for (parent, nested) in futures::future::join_all(parents).await {
        assert_eq!(parent, 500);
        assert!(matches!(nested, 429 | 503), "{nested}");
    }
    orders.slow_ms.set(0);
    for _ in 0..REFUSED_PARENT_COUNT {
        ask(&site, 0, "POST /orders/1", &new_id(), &lines).await;
    }
    let metrics = get_text(&site.hosts[1].metrics_address, "/metrics").await;
    assert!(metrics.contains("figway_refused_for_nested_calls"));
}
