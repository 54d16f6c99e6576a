//! End-to-end tests of requests that crash back ends while the nodes beside these are paused. Nodes run
//! as real processes; store and back ends are emulated.

mod common;

use std::time::Duration;

use figway_testbed::process::Signal;
use figway_testbed::site::crash::{
    CrashRule,
    Crashes, //
};
use figway_testbed::site::wire::WireState;
use figway_testbed::site::Site;

use crate::common::crash::{
    assert_few_crashes,
    prompt_crash,
    send_crashing,
    start_site,
    Arrivals,
    CRASHING,
    HOST_COUNT,
    PROMPT_ARRIVALS, //
};

/// Time for which a node is paused. The crash comes in its midst.
const NODE_PAUSE: Duration = Duration::from_millis(500);

/// Pauses the node beside each back end that starts the crashing request, for `pause`.
async fn pause_nodes_of_crashing_runs(site: &Site, pause: Duration) {
    let mut seen_counts = vec![0; site.hosts.len()];
    loop {
        for (host, seen_count) in site.hosts.iter().zip(&mut seen_counts) {
            while let Some(run) = host.backend.run_at(*seen_count) {
                *seen_count += 1;
                if !run.request_line.ends_with(CRASHING) {
                    continue;
                }
                let node = host.node.as_ref().expect("the node runs");
                node.signal(Signal::Stop).unwrap();
                tokio::time::sleep(pause).await;
                node.signal(Signal::Continue).unwrap();
            }
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Plays the arrivals on a new site and checks how many back ends crash.
async fn assert_quarantined(name: &str, ends_as: WireState, down_for: Duration) {
    let site = start_site(name, HOST_COUNT).await;
    for host in &site.hosts {
        host.backend.slow_ms.set(400);
    }
    let rule = CrashRule {
        after: Duration::from_millis(100),
        ends_as,
        down_for,
        ..prompt_crash()
    };
    let arrivals = Arrivals {
        pause: Duration::from_millis(1_800),
        ..PROMPT_ARRIVALS
    };
    let crashes = Crashes::start(&site, &rule);
    tokio::select! {
        () = send_crashing(&site, arrivals) => {}
        () = pause_nodes_of_crashing_runs(&site, NODE_PAUSE) => {}
    }
    assert_few_crashes(&crashes);
}

#[ntex::test]
async fn a_crash_beside_a_paused_node_counts() {
    let down_for = Duration::from_millis(700);
    assert_quarantined("frozen-closed", WireState::Closed, down_for).await;
}

#[ntex::test]
async fn a_crash_beside_a_paused_node_that_finds_the_back_end_back_counts() {
    let down_for = Duration::from_millis(60);
    assert_quarantined("frozen-back", WireState::Reset, down_for).await;
}

#[ntex::test]
async fn a_crash_beside_a_paused_node_that_finds_silent_connections_counts() {
    let down_for = Duration::from_millis(1_500);
    assert_quarantined("frozen-silent", WireState::Silent, down_for).await;
}
