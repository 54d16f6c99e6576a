//! Change stream while the nodes that usually read it can't.
//!
//! The test guards against a region that follows no change because the few nodes of the first ranks
//! are live but can't reach the log.

mod common;

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_control::{
    ControlBuilder,
    ControlPlane, //
};
use figway_log_client::{
    LogService as _,
    CHANGE_STREAM, //
};
use figway_test_support::live_member;
use figway_types::rendezvous_weight;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::common::{
    live_count,
    GatedLog,
    MemoryLog, //
};

/// Region of all nodes.
const REGION: &str = "muscat";

/// Number of nodes.
const NODE_COUNT: usize = 6;

/// Time within which a change is in force everywhere.
const IN_FORCE_MAX: Duration = Duration::from_secs(20);

fn node_id(index: usize) -> String {
    format!("muscat-a-{index}")
}

async fn start_node(index: usize, log: &GatedLog) -> ControlPlane {
    let own = live_member(&node_id(index), REGION, "muscat-a");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    ControlBuilder::new("blind", own, Rc::new(log.clone()))
        .log_region(REGION)
        .seed(index as u64 + 1)
        .start(listener)
        .unwrap()
}

/// Waits until all nodes have applied as many records as `count`.
async fn wait_applied(nodes: &[ControlPlane], count: u64) {
    let deadline = Instant::now() + IN_FORCE_MAX;
    for node in nodes {
        while node.mesh.applied_offset().index() < count {
            assert!(
                Instant::now() < deadline,
                "a node has applied {}",
                node.mesh.applied_offset()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Waits until each node sees all nodes as live.
async fn wait_joined(nodes: &[ControlPlane]) {
    let deadline = Instant::now() + IN_FORCE_MAX;
    for node in nodes {
        while live_count(node) < NODE_COUNT {
            assert!(
                Instant::now() < deadline,
                "a node sees {}",
                live_count(node)
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_change_is_in_force_in_time_when_only_the_last_rank_reaches_the_log() {
    let run = async {
        let log = MemoryLog::default();
        let mut links = Vec::new();
        let mut nodes = Vec::new();
        for index in 0..NODE_COUNT {
            let link = GatedLog::new(&log);
            nodes.push(start_node(index, &link).await);
            links.push(link);
        }
        let deadline = Instant::now() + Duration::from_secs(2);
        log.append(CHANGE_STREAM, "one", deadline).await.unwrap();
        wait_applied(&nodes, 1).await;
        wait_joined(&nodes).await;
        let last_rank = (0..NODE_COUNT)
            .max_by_key(|index| Reverse(rendezvous_weight(REGION, &node_id(*index))))
            .unwrap();
        for (index, link) in links.iter().enumerate() {
            link.reachable.set(index == last_rank);
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        log.append(CHANGE_STREAM, "two", deadline).await.unwrap();
        wait_applied(&nodes, 2).await;
    };
    LocalSet::new().run_until(run).await;
}
