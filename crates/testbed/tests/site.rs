//! End-to-end tests on the users' platform: nodes run as real processes, and the store and the back
//! ends are emulated.
//!
//! The tests guard against requests that are lost, misrouted or run at the wrong back end,
//! configurations that come into force late, and answers that contradict what back ends ran.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::process::Signal;
use figway_testbed::relay::LinkState;
use figway_testbed::site::store::StoreFaults;
use figway_testbed::site::{
    config,
    Site, //
};
use figway_testbed::soak::{
    soak,
    Scenarios, //
};

use crate::common::{
    assert_served,
    get_text,
    wait_site_ready, //
};

/// Longest time that the platform allows until a published configuration is in force.
const IN_FORCE_MAX: Duration = Duration::from_millis(2_000);

/// Guards against a request that runs at the wrong service or more than once, and against a caller
/// that forges the service from which it calls. The callers send a forged caller service, which the
/// node must replace by the service of its own host.
#[ntex::test]
async fn requests_reach_their_service_with_the_caller_service_of_their_host() {
    let site = Site::start("path", 4).await.unwrap();
    wait_site_ready(&site).await;
    for (index, origin) in ["reads", "orders"].iter().enumerate() {
        let result = site.caller(index).call("POST", "/orders/7").await;
        assert!(result.status == 200 && result.sealed, "{result:?}");
        let runs: Vec<_> = site
            .hosts
            .iter()
            .flat_map(|host| host.backend.runs())
            .filter(|run| run.id == result.id)
            .collect();
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].origin, *origin);
        assert_eq!(runs[0].request_line, "POST /orders/7");
    }
    let unknown = site.caller(0).call("GET", "/nowhere/").await;
    assert_eq!(unknown.status, 404);
}

/// Guards against a raised body limit that only some parts apply. A body below the limit must pass
/// both nodes and the connection between them, and a body above it must get 413.
#[ntex::test]
async fn a_body_within_the_configured_limit_is_forwarded_across_two_nodes() {
    let site = Site::start("body", 4).await.unwrap();
    wait_site_ready(&site).await;
    let mut large = config(2, "/large/");
    large["limits"]["maxBodyBytes"] = 4_194_304.into();
    site.store.publish(&large);
    tokio::time::sleep(IN_FORCE_MAX).await;
    // The back end on host 0 belongs to the other service, so the node forwards the request.
    let result = site
        .caller(0)
        .call_with_padding("POST", "/orders/1", 2_000_000)
        .await;
    assert!(result.status == 200 && result.sealed, "{result:?}");
    let too_large = site
        .caller(0)
        .call_with_padding("POST", "/orders/1", 5_000_000)
        .await;
    assert_eq!(too_large.status, 413);
}

/// Guards against nodes that stop applying configurations. This happens when they cannot decode a
/// record of the operator's topic, or when the offset from which they read on is truncated.
#[ntex::test]
async fn a_configuration_is_in_force_in_time_despite_damaged_records_and_truncated_history() {
    let site = Site::start("config", 4).await.unwrap();
    wait_site_ready(&site).await;
    site.store
        .append_operator_record("config", b"{\"version\":\"000000ff\",\"routes\":");
    site.store.append_operator_record("notes", b"\xff\x00");
    site.store.truncate_history();
    for version in 2..6 {
        site.store
            .publish(&config(version, &format!("/v{version}/")));
        tokio::time::sleep(IN_FORCE_MAX).await;
        for index in 0..site.hosts.len() {
            let caller = site.caller(index);
            let new = caller.call("GET", &format!("/v{version}/1")).await;
            assert_eq!(new.status, 200, "host {index} version {version}");
            let old = caller.call("GET", "/reads/1").await;
            assert_eq!(old.status, 404, "host {index} version {version}");
        }
    }
    // An older version that arrives late must not be applied.
    site.store.publish(&config(3, "/old/"));
    tokio::time::sleep(IN_FORCE_MAX).await;
    assert_eq!(site.caller(1).call("GET", "/old/1").await.status, 404);
}

/// Guards against a configuration that is refused whole for one word. A route of a kind that the nodes
/// do not know is served as one that may run once, named in the log and counted, and all other
/// routes are served as before.
#[ntex::test]
async fn a_route_of_an_unknown_kind_is_served_at_most_once_and_takes_no_other_route_away() {
    let site = Site::start("kind", 4).await.unwrap();
    wait_site_ready(&site).await;
    let mut unknown = config(2, "/new/");
    unknown["routes"]["r-reads"]["kind"] = "streaming".into();
    site.store.publish(&unknown);
    assert_served(&site, "/new/1", IN_FORCE_MAX).await;
    for host in [&site.hosts[0], &site.hosts[2]] {
        host.backend.fails.set(true);
    }
    let result = site.caller(1).call("GET", "/new/2").await;
    assert_eq!(result.status, 500, "{result:?}");
    let mut run_count = 0;
    for host in &site.hosts {
        run_count += host
            .backend
            .runs()
            .iter()
            .filter(|run| run.id == result.id)
            .count();
    }
    assert_eq!(run_count, 1);
    // Log lines are written in batches.
    tokio::time::sleep(Duration::from_millis(500)).await;
    for host in &site.hosts {
        let log = host.log().unwrap();
        let line = log
            .lines()
            .find(|line| line.contains("route of unknown kind"));
        assert!(
            line.is_some_and(|line| line.contains("r-reads") && line.contains("streaming")),
            "{line:?}"
        );
        let metrics = get_text(&host.metrics_address, "/metrics").await;
        assert!(
            metrics.contains("figway_routes_unknown_kind 1"),
            "{metrics}"
        );
    }
    let metrics = get_text(&site.hosts[1].metrics_address, "/metrics").await;
    assert!(metrics.contains("figway_unknown_kind_calls"), "{metrics}");
    let order = site.caller(0).call("POST", "/orders/1").await;
    assert_eq!(order.status, 200, "{order:?}");
    // A version that can't be decoded keeps the last good one whole.
    let mut broken = config(3, "/broken/");
    broken["routes"]["r-orders"]["timeout"] = 900.into();
    site.store.publish(&broken);
    tokio::time::sleep(IN_FORCE_MAX).await;
    assert_eq!(site.caller(0).call("GET", "/broken/1").await.status, 404);
    assert_eq!(site.caller(0).call("POST", "/orders/1").await.status, 200);
}

/// Guards against readers that compare offsets of two histories of the store.
#[ntex::test]
async fn a_configuration_is_in_force_in_time_after_the_store_came_back_older() {
    let site = Site::start("restored", 4).await.unwrap();
    wait_site_ready(&site).await;
    // The end of the restored log, against that of the lost one: before it, at it, and after it.
    for (round, rewritten_count) in [0, 1, 2, 3].into_iter().enumerate() {
        let version = 10 * (round as u32 + 1);
        let path = |version: u32| format!("/v{version}/");
        let copy = site.store.copy();
        for lost in version..version + 3 {
            site.store.publish(&config(lost, &path(lost)));
        }
        assert_served(&site, &format!("{}1", path(version + 2)), IN_FORCE_MAX).await;
        site.store.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.store.restore(&copy);
        // The operator writes its newest versions again.
        for rewritten in version + 3 - rewritten_count..version + 3 {
            site.store.publish(&config(rewritten, &path(rewritten)));
        }
        site.store.publish(&config(version + 5, &path(version + 5)));
        site.store.set_faults(StoreFaults::default());
        assert_served(&site, &format!("{}1", path(version + 5)), IN_FORCE_MAX).await;
        let old = site
            .caller(0)
            .call("GET", &format!("{}1", path(version + 2)))
            .await;
        assert_eq!(old.status, 404, "round {round}");
    }
}

/// Guards against an older version that is put in force while the store has only that one.
#[ntex::test]
async fn a_restored_store_does_not_bring_an_older_configuration_back() {
    let mut site = Site::start("older", 4).await.unwrap();
    wait_site_ready(&site).await;
    let copy = site.store.copy();
    site.store.publish(&config(2, "/new/"));
    assert_served(&site, "/new/1", IN_FORCE_MAX).await;
    let request_count = site.store.request_count();
    site.store.restore(&copy);
    let restarted = &mut site.hosts[3];
    restarted.node = None;
    restarted.start_node().unwrap();
    tokio::time::sleep(IN_FORCE_MAX).await;
    for _ in 0..20 {
        for index in 0..site.hosts.len() {
            let result = site.caller(index).call("GET", "/new/1").await;
            assert_eq!(result.status, 200, "host {index}");
        }
    }
    // Readers that meet the older log must not ask it again and again.
    let asked_count = site.store.request_count() - request_count;
    assert!(asked_count < 60, "{asked_count} requests in 2 s");
}

/// Guards against a node that stays out of the mesh. This happens when it restarts while it cannot
/// reach the store, where it would read the contacts and the configuration.
#[ntex::test]
async fn a_restarted_node_without_the_store_is_found_by_its_peers() {
    let mut site = Site::start("alone", 4).await.unwrap();
    wait_site_ready(&site).await;
    let host = &mut site.hosts[3];
    host.node.as_ref().unwrap().signal(Signal::Kill).unwrap();
    let blocked_link = LinkState {
        blocked: true,
        ..LinkState::default()
    };
    host.store_link.set_link_state(blocked_link);
    host.node = None;
    host.start_node().unwrap();
    let deadline = Instant::now() + Duration::from_secs(8);
    loop {
        let result = site.caller(3).call("GET", "/reads/1").await;
        // Until the node has a configuration it may refuse a request or not answer, but must not
        // report that the request has no route.
        assert!(matches!(result.status, 0 | 200 | 503 | 504), "{result:?}");
        if result.status == 200 {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "the peers did not find the node: {result:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against requests that are sent to a back end long after it announced that it drains. This
/// happens when its draining state does not reach all nodes.
#[ntex::test]
async fn a_draining_back_end_gets_no_request_after_two_seconds() {
    let site = Site::start("drain", 4).await.unwrap();
    wait_site_ready(&site).await;
    let draining = &site.hosts[1].backend;
    assert!(draining.set_draining(true).await);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let after = Instant::now();
    for _ in 0..50 {
        let result = site.caller(1).call("POST", "/orders/1").await;
        assert_eq!(result.status, 200, "{result:?}");
    }
    assert!(draining.runs().iter().all(|run| run.started_at < after));
}

/// Guards against a request that runs but is not answered because its node stops. This happens when
/// a caller keeps its connection open and sends requests until the node closes it.
#[ntex::test]
async fn a_graceful_shutdown_interrupts_no_request_on_a_kept_connection() {
    let mut site = Site::start("stop", 4).await.unwrap();
    wait_site_ready(&site).await;
    let caller = site.caller(0);
    let stopping = site.hosts[0].node.as_ref().unwrap();
    stopping.signal(Signal::Terminate).unwrap();
    let stopped_at = Instant::now();
    while stopped_at.elapsed() < Duration::from_millis(5_900) {
        let result = caller.call("GET", "/reads/1").await;
        let ran = site
            .hosts
            .iter()
            .any(|host| host.backend.runs().iter().any(|run| run.id == result.id));
        assert!(
            result.status == 200 || !ran,
            "interrupted {} ms after the stop request: {result:?}",
            stopped_at.elapsed().as_millis()
        );
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    let mut node = site.hosts[0].node.take().unwrap();
    assert!(
        node.has_ended(),
        "the node still runs after its grace period"
    );
}

/// Guards against a request that a stopping node takes so late that a long run can't end before the
/// process does. The platform allows that only for requests sent up to 3 s after the stop request.
#[ntex::test]
async fn a_stopping_node_passes_on_no_request_sent_later_than_three_seconds_after_the_stop_request()
{
    let site = Site::start("late-stop", 4).await.unwrap();
    wait_site_ready(&site).await;
    let caller = site.caller(0);
    let stopping = site.hosts[0].node.as_ref().unwrap();
    stopping.signal(Signal::Terminate).unwrap();
    let stopped_at = Instant::now();
    while stopped_at.elapsed() < Duration::from_millis(3_400) {
        let result = caller.call("GET", "/reads/1").await;
        let sent_after = result.sent_at - stopped_at;
        assert!(
            result.status != 200 || sent_after <= Duration::from_millis(3_000),
            "passed on {sent_after:?} after the stop request: {result:?}"
        );
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
}

/// Guards against a request that runs but is not answered because its node stops. This happens when
/// the node has read the request but does not yet count it as in flight when the drain ends.
#[ntex::test]
async fn a_graceful_shutdown_answers_requests_read_just_before_connections_close() {
    let site = Site::start("last-moment", 4).await.unwrap();
    wait_site_ready(&site).await;
    let callers: Vec<_> = (0..8).map(|_| Rc::new(site.caller(0))).collect();
    for caller in &callers {
        assert_eq!(caller.call("GET", "/reads/1").await.status, 200);
    }
    for host in &site.hosts {
        host.backend.slow_ms.set(700);
    }
    let node = site.hosts[0].node.as_ref().unwrap();
    node.signal(Signal::Terminate).unwrap();
    // The node closes idle connections 2.8 s after the stop request. It is paused just before that,
    // so that requests arrive on connections that are still open.
    tokio::time::sleep(Duration::from_millis(2_700)).await;
    node.signal(Signal::Stop).unwrap();
    let mut calls = Vec::new();
    for caller in callers {
        calls.push(tokio::task::spawn_local(async move {
            caller.call("GET", "/reads/1").await
        }));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    node.signal(Signal::Continue).unwrap();
    for call in calls {
        let result = call.await.unwrap();
        let mut ran = false;
        for host in &site.hosts {
            ran |= host.backend.runs().iter().any(|run| run.id == result.id);
        }
        assert!(
            result.status != 0 || !ran,
            "interrupted while it ran: {result:?}"
        );
    }
}

/// Guards against requests to a deregistered back end. This happens when its node restarted and got
/// no heartbeat before the deregistration. Without the start time of the back end, the node
/// mistakes a late heartbeat for that of a restarted back end.
#[ntex::test]
async fn a_late_heartbeat_does_not_revive_a_back_end_that_deregistered_after_a_node_restart() {
    let mut site = Site::start("late-beat", 4).await.unwrap();
    wait_site_ready(&site).await;
    let backend = Rc::clone(&site.hosts[0].backend);
    backend.heartbeat_paused.set(true);
    site.hosts[0]
        .node
        .take()
        .unwrap()
        .signal(Signal::Kill)
        .unwrap();
    site.hosts[0].start_node().unwrap();
    let deadline = Instant::now() + Duration::from_secs(5);
    while !backend.deregister().await {
        assert!(
            Instant::now() < deadline,
            "the deregistration is not acknowledged"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    backend.send_heartbeat().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ran_count = backend.runs().len();
    for _ in 0..10 {
        let result = site.caller(0).call("GET", "/reads/1").await;
        assert_eq!(result.status, 200, "{result:?}");
    }
    assert_eq!(
        backend.runs().len(),
        ran_count,
        "the back end ran a request after it deregistered"
    );
    // A back end that has started again gets requests.
    backend.restart();
    assert!(backend.send_heartbeat().await);
    let deadline = Instant::now() + Duration::from_secs(5);
    while backend.runs().len() == ran_count {
        assert!(
            Instant::now() < deadline,
            "the back end gets no request after its restart"
        );
        site.caller(0).call("GET", "/reads/1").await;
    }
}

/// Guards against an answer that denies that a request ran. This happens when the first attempt ran
/// and failed, the retry goes to a node that is down, and the outcome of the retry replaces that of
/// the first attempt.
#[ntex::test]
async fn a_request_that_ran_and_failed_is_answered_500_when_the_next_node_is_down() {
    let mut site = Site::start("failed", 4).await.unwrap();
    wait_site_ready(&site).await;
    site.hosts[0].backend.fails.set(true);
    site.hosts[2].backend.fails.set(true);
    let killed = site.hosts[2].node.take().unwrap();
    killed.signal(Signal::Kill).unwrap();
    for _ in 0..20 {
        let result = site.caller(1).call("GET", "/reads/1").await;
        let runs = site.hosts[0].backend.runs();
        let ran = runs.iter().any(|run| run.id == result.id);
        assert!(ran && result.status == 500, "ran: {ran}, {result:?}");
    }
}

/// Guards against an outage of the store that stops calls, and against nodes that stay without a
/// configuration after they restarted during the outage.
#[ntex::test]
async fn calls_are_served_while_the_store_is_down_and_restarted_nodes_recover_after_it() {
    let mut site = Site::start("down", 4).await.unwrap();
    wait_site_ready(&site).await;
    site.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    for index in 0..4 {
        let result = site.caller(index).call("POST", "/orders/1").await;
        assert_eq!(result.status, 200, "{result:?}");
    }
    for host in &mut site.hosts {
        host.node = None;
    }
    for host in &mut site.hosts {
        host.start_node().unwrap();
    }
    let result = site.caller(0).call("GET", "/reads/1").await;
    assert_eq!(result.status, 503, "without a configuration: {result:?}");
    site.store.set_faults(StoreFaults::default());
    wait_site_ready(&site).await;
}

/// Runs the randomized soak for 18 s with seed 11. Guards against failures that only a combination
/// of faults causes.
#[ntex::test]
async fn a_short_soak_finds_no_violation() {
    let report = soak(11, Duration::from_secs(18), Scenarios::default())
        .await
        .unwrap();
    assert!(
        report.violations.is_empty(),
        "{:#?} after {:?}",
        report.violations,
        report.faults
    );
    assert!(report.served_count * 2 > report.call_count, "{report:?}");
}
