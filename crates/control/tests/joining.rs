//! Joining of nodes that start at the same moment.
//!
//! The test guards against zones that stay strangers to each other: each node finds its own zone's
//! contacts first and has peers then, so that none looks further.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_control::{
    ControlBuilder,
    ControlPlane, //
};
use figway_test_support::live_member;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::common::{
    live_count,
    MemoryLog, //
};

const ZONES: [&str; 3] = ["muscat-a", "muscat-b", "muscat-c"];

const ZONE_NODE_COUNT: usize = 4;

/// Time within which all nodes know each other.
const JOINED_MAX: Duration = Duration::from_secs(5);

async fn start_node(zone: &str, index: usize, seed: u64, log: &MemoryLog) -> ControlPlane {
    let own = live_member(&format!("{zone}-{index}"), "muscat", zone);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    ControlBuilder::new("joining", own, Rc::new(log.clone()))
        .log_region("muscat")
        .seed(seed)
        .start(listener)
        .unwrap()
}

#[tokio::test(flavor = "current_thread")]
async fn zones_whose_nodes_all_start_at_once_know_each_other_soon() {
    for seed in 0..10 {
        let run = async {
            let log = MemoryLog::default();
            let mut nodes = Vec::new();
            for zone in ZONES {
                for index in 0..ZONE_NODE_COUNT {
                    let node_seed = 100 * seed + nodes.len() as u64;
                    nodes.push(start_node(zone, index, node_seed, &log).await);
                }
            }
            let deadline = Instant::now() + JOINED_MAX;
            for node in &nodes {
                while live_count(node) < nodes.len() {
                    let count = live_count(node);
                    assert!(Instant::now() < deadline, "seed {seed}: {count} known");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        };
        LocalSet::new().run_until(run).await;
    }
}
