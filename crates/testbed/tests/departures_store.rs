//! End-to-end tests of back ends that leave, or are ready, while the platform's store is in trouble and
//! nodes are killed. Nodes run as real processes; store and back ends are emulated.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::process::Signal;
use figway_testbed::relay::LinkState;
use figway_testbed::site::backend::Backend;
use figway_testbed::site::store::StoreFaults;
use figway_testbed::site::Site;

use crate::common::leaving::{
    assert_unused,
    deliver_late_heartbeat,
    deregister_until_acknowledged,
    leave,
    Leaving,
    ACK_MAX, //
};
use crate::common::{
    restart_all_nodes,
    restart_node,
    results_of,
    run_count_since,
    start_readers,
    wait_site_ready, //
};

/// Longest time from the restart of nodes until their back ends are in service again.
const RECOVERY_MAX: Duration = Duration::from_secs(15);

/// Longest time until a node has recorded again what the store lost.
const RESTORE_MAX: Duration = Duration::from_secs(5);

/// Line in the log of a node that does not know whether its back end had left.
const REFUSED_HEARTBEAT: &str = "heartbeat not acknowledged";

/// Asserts that a back end that has left stays unused after all nodes were killed.
async fn assert_unused_after_kill_of_all(site: &mut Site, backend: &Backend, late_sequence: u64) {
    restart_all_nodes(site);
    deliver_late_heartbeat(backend, late_sequence).await;
    wait_site_ready(site).await;
    assert_unused(site, backend).await;
}

/// Asserts that a ready back end gets requests within `RECOVERY_MAX`.
async fn assert_in_service_again(site: &Site, backend: &Backend) {
    let since = Instant::now();
    while run_count_since(backend, since) == 0 {
        assert!(since.elapsed() < RECOVERY_MAX, "it gets no request");
        results_of(start_readers(site, 4, Duration::from_millis(100))).await;
    }
}

/// Guards against an acknowledgement of a leaving that only processes know, which all may be killed.
#[ntex::test]
async fn a_leaving_is_acknowledged_only_once_the_store_has_recorded_it() {
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    let drops_answers = StoreFaults {
        drops_answers: true,
        ..StoreFaults::default()
    };
    for (name, faults) in [("down", down), ("drops", drops_answers)] {
        let mut site = Site::start(&format!("ack-{name}"), 4).await.unwrap();
        wait_site_ready(&site).await;
        let backend = Rc::clone(&site.hosts[0].backend);
        backend.heartbeat_paused.set(true);
        let late_sequence = backend.next_sequence();
        site.store.set_faults(faults);
        assert!(!backend.deregister().await, "acknowledged while {name}");
        // It gets no requests all the same.
        assert_unused(&site, &backend).await;
        site.store.set_faults(StoreFaults::default());
        deregister_until_acknowledged(&backend).await;
        assert_unused_after_kill_of_all(&mut site, &backend, late_sequence).await;
    }
}

/// Guards against a leaving that is never acknowledged because the store is slow.
#[ntex::test]
async fn a_leaving_is_acknowledged_while_the_store_answers_late() {
    let site = Site::start("ack-slow", 4).await.unwrap();
    wait_site_ready(&site).await;
    let backend = Rc::clone(&site.hosts[0].backend);
    backend.heartbeat_paused.set(true);
    site.store.set_faults(StoreFaults {
        slow_ms: 900,
        ..StoreFaults::default()
    });
    let left_at = Instant::now();
    deregister_until_acknowledged(&backend).await;
    assert!(left_at.elapsed() < ACK_MAX);
}

/// Guards against a leaving that is lost with the records of a store that came back from an older copy.
#[ntex::test]
async fn a_leaving_that_the_store_lost_is_recorded_again() {
    let mut site = Site::start("ack-restored", 4).await.unwrap();
    wait_site_ready(&site).await;
    let backend = Rc::clone(&site.hosts[0].backend);
    let copy = site.store.copy();
    let late_sequence = leave(&backend, Leaving::Deregisters).await;
    assert_eq!(site.store.ending_run_count(), 1);
    site.store.restore(&copy);
    let restored_at = Instant::now();
    while site.store.ending_run_count() == 0 {
        assert!(restored_at.elapsed() < RESTORE_MAX, "it is not recorded");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_unused_after_kill_of_all(&mut site, &backend, late_sequence).await;
}

/// Guards against a store that grows, and a back end that waits, with each heartbeat of one that leaves.
#[ntex::test]
async fn the_end_of_a_run_is_recorded_once() {
    let site = Site::start("ack-once", 4).await.unwrap();
    wait_site_ready(&site).await;
    let backend = Rc::clone(&site.hosts[0].backend);
    leave(&backend, Leaving::Drains).await;
    let recorded_count = site.store.append_count();
    for _ in 0..5 {
        assert!(backend.send_heartbeat().await);
    }
    assert!(backend.deregister().await);
    assert_eq!(site.store.append_count(), recorded_count);
    assert_eq!(site.store.ending_run_count(), 1);
}

/// Guards against a ready back end that waits for a store that its node does not reach, although peers
/// know that it did not leave.
#[ntex::test]
async fn a_back_end_returns_after_its_node_restarted_without_the_store() {
    let mut site = Site::start("ready-blocked", 4).await.unwrap();
    wait_site_ready(&site).await;
    let left = Rc::clone(&site.hosts[0].backend);
    let ready = Rc::clone(&site.hosts[2].backend);
    let late_sequence = leave(&left, Leaving::Deregisters).await;
    for index in [0, 2] {
        site.hosts[index].store_link.set_link_state(LinkState {
            blocked: true,
            ..LinkState::default()
        });
        restart_node(&mut site, index).await;
    }
    assert_in_service_again(&site, &ready).await;
    left.send_heartbeat_of(late_sequence, false).await;
    assert_unused(&site, &left).await;
}

/// Guards against back ends that stay out of service because no record can be read.
#[ntex::test]
async fn back_ends_return_although_the_ends_of_runs_can_not_be_read() {
    let mut site = Site::start("ready-unread", 4).await.unwrap();
    wait_site_ready(&site).await;
    site.store.set_faults(StoreFaults {
        ending_runs_down: true,
        ..StoreFaults::default()
    });
    restart_all_nodes(&mut site);
    let ready = Rc::clone(&site.hosts[0].backend);
    assert_in_service_again(&site, &ready).await;
}

/// Guards against a ready back end that waits for its next heartbeat, since its node had just started
/// without the store and knew no peer yet when the last one came.
#[ntex::test]
async fn a_heartbeat_that_came_before_its_node_knew_any_peer_puts_its_back_end_in_service() {
    let mut site = Site::start("ready-deferred", 4).await.unwrap();
    wait_site_ready(&site).await;
    let ready = Rc::clone(&site.hosts[0].backend);
    ready.heartbeat_paused.set(true);
    site.hosts[0].store_link.set_link_state(LinkState {
        blocked: true,
        ..LinkState::default()
    });
    signal_others(&site, Signal::Stop);
    restart_node(&mut site, 0).await;
    let restarted_at = Instant::now();
    while !site.hosts[0].log().unwrap().contains(REFUSED_HEARTBEAT) {
        assert!(restarted_at.elapsed() < RECOVERY_MAX, "none is refused");
        ready.send_heartbeat().await;
    }
    signal_others(&site, Signal::Continue);
    assert_in_service_again(&site, &ready).await;
}

/// Sends a signal to all nodes but the first.
fn signal_others(site: &Site, signal: Signal) {
    for host in &site.hosts[1..] {
        host.node.as_ref().unwrap().signal(signal).unwrap();
    }
}
