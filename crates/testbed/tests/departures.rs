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

use figway_testbed::site::Site;

use crate::common::leaving::{
    assert_returns,
    assert_unused,
    deliver_late_heartbeat,
    leave,
    Leaving,
    DRAIN_MAX, //
};
use crate::common::{
    restart_node,
    results_of,
    start_reader,
    wait_site_ready, //
};

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
