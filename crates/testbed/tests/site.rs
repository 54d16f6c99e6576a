//! The whole path on the users' platform, with real nodes as processes and stand-ins of the store
//! and of back ends.

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
use figway_testbed::soak::soak;

/// Bound of the platform for a configuration to be in force.
const APPLY_MAX: Duration = Duration::from_millis(2_000);

/// Waits until every node serves both services.
async fn ready(site: &Site) {
    let deadline = Instant::now() + Duration::from_secs(10);
    for index in 0..site.hosts.len() {
        let caller = site.caller(index);
        for (method, path) in [("GET", "/reads/1"), ("POST", "/orders/1")] {
            loop {
                let seen = caller.call(method, path).await;
                if seen.status == 200 {
                    break;
                }
                assert!(Instant::now() < deadline, "host {index} {path}: {seen:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

#[ntex::test]
async fn requests_reach_their_service_with_the_origin_of_their_host() {
    let site = Site::start("path", 4).await.unwrap();
    ready(&site).await;
    for (index, origin) in ["reads", "orders"].iter().enumerate() {
        let seen = site.caller(index).call("POST", "/orders/7").await;
        assert!(seen.status == 200 && seen.sealed, "{seen:?}");
        let runs: Vec<_> = site
            .hosts
            .iter()
            .flat_map(|host| host.backend.runs())
            .filter(|run| run.id == seen.id)
            .collect();
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].origin, *origin);
        assert_eq!(runs[0].request_line, "POST /orders/7");
    }
    let unknown = site.caller(0).call("GET", "/nowhere/").await;
    assert_eq!(unknown.status, 404);
}

#[ntex::test]
async fn a_body_that_the_operator_allows_crosses_two_nodes() {
    let site = Site::start("body", 4).await.unwrap();
    ready(&site).await;
    let mut large = config(2, "/large/");
    large["limits"]["maxBodyBytes"] = 4_194_304.into();
    site.store.publish(&large);
    tokio::time::sleep(APPLY_MAX).await;
    // Host 0 is beside a back end of the other service.
    let seen = site
        .caller(0)
        .call_with_padding("POST", "/orders/1", 2_000_000)
        .await;
    assert!(seen.status == 200 && seen.sealed, "{seen:?}");
    let beyond = site
        .caller(0)
        .call_with_padding("POST", "/orders/1", 5_000_000)
        .await;
    assert_eq!(beyond.status, 413);
}

#[ntex::test]
async fn a_configuration_is_in_force_in_time_through_damage_and_lost_history() {
    let site = Site::start("config", 4).await.unwrap();
    ready(&site).await;
    site.store
        .append_operator_record("config", b"{\"version\":\"000000ff\",\"routes\":");
    site.store.append_operator_record("notes", b"\xff\x00");
    site.store.truncate_history();
    for version in 2..6 {
        site.store
            .publish(&config(version, &format!("/v{version}/")));
        tokio::time::sleep(APPLY_MAX).await;
        for index in 0..site.hosts.len() {
            let caller = site.caller(index);
            let new = caller.call("GET", &format!("/v{version}/1")).await;
            assert_eq!(new.status, 200, "host {index} version {version}");
            let old = caller.call("GET", "/reads/1").await;
            assert_eq!(old.status, 404, "host {index} version {version}");
        }
    }
    // An older version that comes late changes nothing.
    site.store.publish(&config(3, "/old/"));
    tokio::time::sleep(APPLY_MAX).await;
    assert_eq!(site.caller(1).call("GET", "/old/1").await.status, 404);
}

#[ntex::test]
async fn a_node_alone_that_the_store_refuses_is_found_by_its_peers() {
    let mut site = Site::start("alone", 4).await.unwrap();
    ready(&site).await;
    let host = &mut site.hosts[3];
    host.node.as_ref().unwrap().signal(Signal::Kill).unwrap();
    let cut = LinkState {
        blocked: true,
        ..LinkState::default()
    };
    host.store_link.set_link_state(cut);
    host.node = None;
    host.start_node().unwrap();
    let deadline = Instant::now() + Duration::from_secs(8);
    loop {
        let seen = site.caller(3).call("GET", "/reads/1").await;
        // It knows nothing yet: it may refuse, but never deny.
        assert!(matches!(seen.status, 0 | 200 | 503 | 504), "{seen:?}");
        if seen.status == 200 {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "the node was not found: {seen:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[ntex::test]
async fn a_leaving_back_end_gets_no_request_after_its_drain() {
    let site = Site::start("drain", 4).await.unwrap();
    ready(&site).await;
    let leaving = &site.hosts[1].backend;
    assert!(leaving.set_draining(true).await);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let after = Instant::now();
    for _ in 0..50 {
        let seen = site.caller(1).call("POST", "/orders/1").await;
        assert_eq!(seen.status, 200, "{seen:?}");
    }
    assert!(leaving.runs().iter().all(|run| run.started_at < after));
}

#[ntex::test]
async fn a_stop_cuts_no_request_of_a_caller_that_keeps_its_connection() {
    let mut site = Site::start("stop", 4).await.unwrap();
    ready(&site).await;
    let caller = site.caller(0);
    let stopping = site.hosts[0].node.as_ref().unwrap();
    stopping.signal(Signal::Terminate).unwrap();
    let stopped_at = Instant::now();
    while stopped_at.elapsed() < Duration::from_millis(5_900) {
        let seen = caller.call("GET", "/reads/1").await;
        let ran = site
            .hosts
            .iter()
            .any(|host| host.backend.runs().iter().any(|run| run.id == seen.id));
        assert!(
            seen.status == 200 || !ran,
            "cut {} ms after the stop request: {seen:?}",
            stopped_at.elapsed().as_millis()
        );
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    let mut node = site.hosts[0].node.take().unwrap();
    assert!(node.has_ended(), "the node outlived its grace");
}

#[ntex::test]
async fn a_stop_answers_what_it_read_at_the_last_moment() {
    let site = Site::start("last-moment", 4).await.unwrap();
    ready(&site).await;
    let callers: Vec<_> = (0..8).map(|_| Rc::new(site.caller(0))).collect();
    for caller in &callers {
        assert_eq!(caller.call("GET", "/reads/1").await.status, 200);
    }
    for host in &site.hosts {
        host.backend.slow_ms.set(700);
    }
    let node = site.hosts[0].node.as_ref().unwrap();
    node.signal(Signal::Terminate).unwrap();
    // The node is paused as it closes idle connections, 3.2 s after the stop request; meanwhile
    // requests come in on connections that it still keeps.
    tokio::time::sleep(Duration::from_millis(3_100)).await;
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
        let seen = call.await.unwrap();
        let mut ran = false;
        for host in &site.hosts {
            ran |= host.backend.runs().iter().any(|run| run.id == seen.id);
        }
        assert!(seen.status != 0 || !ran, "cut while it ran: {seen:?}");
    }
}

#[ntex::test]
async fn a_late_heartbeat_does_not_bring_back_what_left_after_its_node_had_started_again() {
    let mut site = Site::start("late-beat", 4).await.unwrap();
    ready(&site).await;
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
        assert!(Instant::now() < deadline, "the leave is not acknowledged");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    backend.send_heartbeat().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ran_count = backend.runs().len();
    for _ in 0..10 {
        let seen = site.caller(0).call("GET", "/reads/1").await;
        assert_eq!(seen.status, 200, "{seen:?}");
    }
    assert_eq!(backend.runs().len(), ran_count, "it ran after it had left");
    // A new start is used again.
    backend.restart();
    assert!(backend.send_heartbeat().await);
    let deadline = Instant::now() + Duration::from_secs(5);
    while backend.runs().len() == ran_count {
        assert!(Instant::now() < deadline, "the new start gets no request");
        site.caller(0).call("GET", "/reads/1").await;
    }
}

#[ntex::test]
async fn a_request_that_ran_and_failed_is_not_called_unrun_since_the_next_node_is_gone() {
    let mut site = Site::start("failed", 4).await.unwrap();
    ready(&site).await;
    site.hosts[0].backend.fails.set(true);
    site.hosts[2].backend.fails.set(true);
    let gone = site.hosts[2].node.take().unwrap();
    gone.signal(Signal::Kill).unwrap();
    for _ in 0..20 {
        let seen = site.caller(1).call("GET", "/reads/1").await;
        let runs = site.hosts[0].backend.runs();
        let ran = runs.iter().any(|run| run.id == seen.id);
        assert!(ran && seen.status == 500, "ran: {ran}, {seen:?}");
    }
}

#[ntex::test]
async fn calls_go_on_and_restarts_recover_while_the_store_is_down() {
    let mut site = Site::start("down", 4).await.unwrap();
    ready(&site).await;
    site.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    for index in 0..4 {
        let seen = site.caller(index).call("POST", "/orders/1").await;
        assert_eq!(seen.status, 200, "{seen:?}");
    }
    for host in &mut site.hosts {
        host.node = None;
    }
    for host in &mut site.hosts {
        host.start_node().unwrap();
    }
    let seen = site.caller(0).call("GET", "/reads/1").await;
    assert_eq!(seen.status, 503, "without a configuration: {seen:?}");
    site.store.set_faults(StoreFaults::default());
    ready(&site).await;
}

#[ntex::test]
async fn a_short_soak_breaks_no_promise() {
    let report = soak(11, Duration::from_secs(18)).await.unwrap();
    assert!(
        report.violations.is_empty(),
        "{:#?} after {:?}",
        report.violations,
        report.faults
    );
    assert!(report.served_count * 2 > report.call_count, "{report:?}");
}
