//! End-to-end tests of back ends that leave while the nodes that acknowledged it are killed. Nodes
//! run as real processes; store and back ends are emulated.
//!
//! The tests guard against a heartbeat that was sent before the leaving and arrives at a new process,
//! which does not know of the leaving and gives the back end out again.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::site::backend::Backend;
use figway_testbed::site::Site;

use crate::common::{
    restart_node,
    results_of,
    run_count_since,
    start_reader,
    start_readers,
    wait_site_ready, //
};

/// Longest time from an acknowledged leaving to the start of the last request at the back end.
const DRAIN_MAX: Duration = Duration::from_secs(2);

/// Longest time from the first heartbeat of a new run to its first request.
const RETURN_MAX: Duration = Duration::from_secs(2);

/// How a back end leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    /// It reports that it is draining.
    Drains,
    /// It deregisters at once.
    Deregisters,
}

/// Lets the back end leave. Returns the sequence number of the first of three heartbeats that it sent
/// before, which have not arrived yet.
async fn leave(backend: &Backend, how: Leaving) -> u64 {
    backend.heartbeat_paused.set(true);
    let late_sequence = backend.next_sequence();
    backend.next_sequence();
    backend.next_sequence();
    let acknowledged = match how {
        Leaving::Drains => backend.set_draining(true).await,
        Leaving::Deregisters => backend.deregister().await,
    };
    assert!(acknowledged, "{how:?} was not acknowledged");
    late_sequence
}

/// Sends a heartbeat that says ready until the node acknowledges it, at most for 2 s.
async fn deliver_late_heartbeat(backend: &Backend, sequence: u64) {
    let deadline = Instant::now() + Duration::from_secs(2);
    while !backend.send_heartbeat_of(sequence, false).await {
        assert!(Instant::now() < deadline, "the late heartbeat finds nobody");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Asserts that requests from all hosts are served and none of them runs at `backend`.
async fn assert_unused(site: &Site, backend: &Backend) {
    let since = Instant::now();
    let readers = start_readers(site, site.hosts.len(), Duration::from_secs(1));
    let results = results_of(readers).await;
    assert_eq!(run_count_since(backend, since), 0, "requests reached it");
    let served_count = results.iter().filter(|call| call.status == 200).count();
    assert!(
        served_count * 100 >= results.len() * 95,
        "{served_count} of {} were served",
        results.len()
    );
}

/// Asserts that the back end gets requests soon after the first heartbeat of its new run.
async fn assert_returns(site: &Site, backend: &Backend) {
    assert!(backend.send_heartbeat().await);
    let since = Instant::now();
    while run_count_since(backend, since) == 0 {
        assert!(since.elapsed() < RETURN_MAX, "it gets no request");
        results_of(start_readers(site, 4, Duration::from_millis(100))).await;
    }
}

#[ntex::test]
async fn a_late_heartbeat_does_not_revive_a_back_end_whose_node_was_killed_after_its_acknowledgement(
) {
    for how in [Leaving::Deregisters, Leaving::Drains] {
        let mut site = Site::start(&format!("departed-{how:?}"), 4).await.unwrap();
        wait_site_ready(&site).await;
        let backend = Rc::clone(&site.hosts[0].backend);
        let late_sequence = leave(&backend, how).await;
        let left_at = Instant::now();
        restart_node(&mut site, 0).await;
        deliver_late_heartbeat(&backend, late_sequence).await;
        tokio::time::sleep_until((left_at + DRAIN_MAX).into()).await;
        // The node counts a target without heartbeats as lost after a while, so each check follows
        // one at once.
        deliver_late_heartbeat(&backend, late_sequence + 1).await;
        assert_unused(&site, &backend).await;
        restart_node(&mut site, 0).await;
        deliver_late_heartbeat(&backend, late_sequence + 2).await;
        assert_unused(&site, &backend).await;
        backend.restart_under_same_name();
        assert_returns(&site, &backend).await;
    }
}

#[ntex::test]
async fn a_departure_is_kept_when_every_process_that_acknowledged_it_was_restarted_in_turn() {
    let mut site = Site::start("departed-turn", 4).await.unwrap();
    wait_site_ready(&site).await;
    let backend = Rc::clone(&site.hosts[0].backend);
    let late_sequence = leave(&backend, Leaving::Deregisters).await;
    for index in [1, 2, 3, 0] {
        restart_node(&mut site, index).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    deliver_late_heartbeat(&backend, late_sequence).await;
    assert_unused(&site, &backend).await;
}

#[ntex::test]
async fn a_back_end_that_stated_its_leaving_in_answers_alone_is_not_revived_after_a_node_restart() {
    let mut site = Site::start("departed-stated", 4).await.unwrap();
    wait_site_ready(&site).await;
    let backend = Rc::clone(&site.hosts[0].backend);
    backend.leaving.set(true);
    let told = start_reader(&site, 1, Duration::from_secs(1));
    results_of(vec![told]).await;
    // Its heartbeats still say ready.
    restart_node(&mut site, 0).await;
    tokio::time::sleep(DRAIN_MAX).await;
    assert_unused(&site, &backend).await;
    backend.restart();
    assert_returns(&site, &backend).await;
}
