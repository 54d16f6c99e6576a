//! Ending runs of targets on one node: who has to hold them before they are acknowledged, and what is
//! believed of a node that has forgotten them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_control::Mesh;
use figway_test_support::live_member;
use figway_types::{
    Member,
    MemberState,
    RunStage,
    Target, //
};

/// Time for which the tests wait for holders that never come.
const WAIT: Duration = Duration::from_millis(50);

/// Longest time for which a node that has just started waits for its peers.
const INFORM_MAX: Duration = Duration::from_millis(1_000);

fn run(started_at_ms: u64) -> Target {
    Target {
        service: "reads".to_owned(),
        instance: "i-1".to_owned(),
        started_at_ms,
        address: "127.0.0.1:1".to_owned(),
        slot_count: 1,
        labels: BTreeMap::new(),
        draining: false,
    }
}

fn mesh_with(peers: &[Member]) -> Arc<Mesh> {
    let mesh = Mesh::new("mesh", live_member("node-0", "land", "east"), None, 1);
    mesh.merge_members(peers);
    mesh
}

async fn is_held(mesh: &Mesh) -> bool {
    mesh.wait_until_replicated("i-1", Instant::now() + WAIT)
        .await
}

#[tokio::test]
async fn an_end_is_not_acknowledged_while_a_known_peer_could_hold_it_and_none_does() {
    let peer = live_member("node-1", "land", "east");
    let suspect = Member {
        state: MemberState::Suspect,
        ..peer.clone()
    };
    for peer in [peer, suspect] {
        let mesh = mesh_with(&[peer]);
        assert!(is_held(&mesh).await, "there is nothing to hold");
        mesh.end_own_run("i-1", 1, RunStage::Departed);
        assert!(!is_held(&mesh).await, "nobody holds it");
    }
}

#[tokio::test]
async fn an_end_is_acknowledged_where_there_is_nobody_to_hold_it() {
    let left = Member {
        state: MemberState::Left,
        ..live_member("node-1", "land", "east")
    };
    let mesh = mesh_with(&[left]);
    mesh.end_own_run("i-1", 1, RunStage::Departed);
    assert!(is_held(&mesh).await);
}

#[tokio::test]
async fn a_node_without_peers_believes_its_target_after_a_short_wait() {
    let mesh = mesh_with(&[]);
    let started_at = Instant::now();
    assert!(mesh.wait_until_informed().await);
    assert!(started_at.elapsed() < INFORM_MAX);
    // The wait belongs to the start of the process.
    let asked_at = Instant::now();
    assert!(mesh.wait_until_informed().await);
    assert!(asked_at.elapsed() < WAIT);
}

#[test]
fn calls_are_not_routed_to_a_leaving_run_whatever_its_node_says() {
    let mut peer = live_member("node-1", "land", "east");
    peer.target = Some(run(5));
    let mesh = mesh_with(std::slice::from_ref(&peer));
    mesh.learn_draining(&peer.node_id, "i-1", 5);
    // The node starts again and gives out what a late heartbeat says.
    peer.generation_ms += 1;
    mesh.merge_members(std::slice::from_ref(&peer));
    mesh.rebuild_view();
    assert!(mesh.view().targets["reads"][0].serving_target().is_none());
    // The next run of the target is not leaving, nor does an earlier one come back.
    for (started_at_ms, is_served) in [(6, true), (4, false)] {
        peer.generation_ms += 1;
        peer.target = Some(run(started_at_ms));
        mesh.merge_members(std::slice::from_ref(&peer));
        mesh.rebuild_view();
        let view = mesh.view();
        let mut targets = view.targets["reads"].iter();
        let is_routed = targets.any(|member| member.serving_target().is_some());
        assert_eq!(is_routed, is_served, "start {started_at_ms}");
    }
}

#[test]
fn an_own_run_never_goes_back_to_an_earlier_stage() {
    let mesh = mesh_with(&[]);
    assert_eq!(mesh.own_run_stage(&run(5)), None);
    mesh.end_own_run("i-1", 5, RunStage::Departed);
    mesh.end_own_run("i-1", 5, RunStage::Draining);
    assert_eq!(mesh.own_run_stage(&run(5)), Some(RunStage::Departed));
    assert_eq!(mesh.own_run_stage(&run(6)), None);
}
