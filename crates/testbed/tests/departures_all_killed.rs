//! End-to-end tests of back ends that leave before all nodes are killed at once. Nodes run as real
//! processes; store and back ends are emulated.
//!
//! The tests guard against a heartbeat that was sent before the leaving and arrives when no process is
//! left that acknowledged it, so that the back end is given out again.

mod common;

use std::rc::Rc;
use std::time::Instant;

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
    restart_all_nodes,
    wait_site_ready, //
};

#[ntex::test]
async fn a_late_heartbeat_does_not_revive_a_back_end_that_left_before_all_nodes_were_killed() {
    for how in [Leaving::Deregisters, Leaving::Drains] {
        let mut site = Site::start(&format!("all-killed-{how:?}"), 4)
            .await
            .unwrap();
        wait_site_ready(&site).await;
        let backend = Rc::clone(&site.hosts[0].backend);
        let late_sequence = leave(&backend, how).await;
        let left_at = Instant::now();
        for late_count in 0..2 {
            restart_all_nodes(&mut site);
            deliver_late_heartbeat(&backend, late_sequence + late_count).await;
            tokio::time::sleep_until((left_at + DRAIN_MAX).into()).await;
            wait_site_ready(&site).await;
            assert_unused(&site, &backend).await;
        }
        backend.restart_under_same_name();
        assert_returns(&site, &backend).await;
    }
}
