//! Probes of lost members: a member that is suspect or has left is contacted for a while, so that
//! one that restarts alone, without a connection to the platform, joins again and catches up.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    FastMap,
    Member,
    MemberState,
    NodeId, //
};

use crate::dial::{
    dial,
    handshake, //
};
use crate::mesh::Mesh;

/// Mean interval between two probes of a lost member by one node.
const PROBE_EVERY: Duration = Duration::from_millis(700);

/// Time for which a lost member is probed.
const PROBE_FOR: Duration = Duration::from_secs(60);

/// Number of members of a lost member's zone, chosen by rendezvous hashing, that probe it.
const PROBER_COUNT: usize = 2;

/// Probes lost members until the process ends. If the zone of a lost member has no live member,
/// every node probes it.
pub(crate) async fn probe_lost_members(mesh: Arc<Mesh>) {
    let mut lost_at: FastMap<NodeId, Instant> = FastMap::default();
    loop {
        tokio::time::sleep(PROBE_EVERY / 2 + mesh.jitter(PROBE_EVERY)).await;
        for member in lost_members(&mesh, &mut lost_at) {
            let rank = mesh.own_rank(&member.node_id.0, &|other| other.zone == member.zone);
            let no_live_in_zone = !has_live_in(&mesh, &member.zone);
            if !no_live_in_zone && rank.is_none_or(|rank| rank >= PROBER_COUNT) {
                continue;
            }
            tokio::task::spawn_local(probe(Arc::clone(&mesh), member));
        }
    }
}

fn lost_members(mesh: &Mesh, lost_at: &mut FastMap<NodeId, Instant>) -> Vec<Member> {
    let now = Instant::now();
    let members = mesh.members();
    let mut lost = Vec::new();
    for member in members.members() {
        if member.node_id == members.own().node_id {
            continue;
        }
        if !matches!(member.state, MemberState::Left | MemberState::Suspect) {
            lost_at.remove(&member.node_id);
            continue;
        }
        let since = *lost_at.entry(member.node_id.clone()).or_insert(now);
        if since + PROBE_FOR > now {
            lost.push(member.clone());
        }
    }
    lost
}

fn has_live_in(mesh: &Mesh, zone: &str) -> bool {
    let members = mesh.members();
    let mut list = members.members();
    list.any(|member| member.state == MemberState::Live && member.zone == zone)
}

async fn probe(mesh: Arc<Mesh>, member: Member) {
    let cross_region = member.region != mesh.members().own().region;
    let joined = async {
        let client = dial(&mesh, &member.control_address, cross_region).await?;
        handshake(&mesh, &client, Some(&member.node_id)).await
    };
    match joined.await {
        Ok(found) => log::info!(
            "lost member found node={} generation_ms={}",
            found.node_id,
            found.generation_ms
        ),
        Err(error) => log::debug!("lost member did not answer: {error:#}"),
    }
}
