//! Members that were lost are called for a while, so that one that starts again alone, with no way
//! to the platform, is found and told what it missed.

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
    introduce, //
};
use crate::mesh::Mesh;

/// How often lost members are called.
const CALL_EVERY: Duration = Duration::from_millis(700);

/// How long a lost member is called.
const CALL_FOR: Duration = Duration::from_secs(60);

/// Members of its zone, by rendezvous hash, that call a lost member.
const CALLER_COUNT: usize = 2;

/// Calls lost members until the process ends.
pub(crate) async fn reach_lost(mesh: Arc<Mesh>) {
    let mut lost_at: FastMap<NodeId, Instant> = FastMap::default();
    loop {
        tokio::time::sleep(CALL_EVERY / 2 + mesh.jitter(CALL_EVERY)).await;
        for member in lost_members(&mesh, &mut lost_at) {
            let rank = mesh.own_rank(&member.node_id.0, &|other| other.zone == member.zone);
            let nobody_near = !has_live_in(&mesh, &member.zone);
            if !nobody_near && rank.is_none_or(|rank| rank >= CALLER_COUNT) {
                continue;
            }
            tokio::task::spawn_local(call(Arc::clone(&mesh), member));
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
        if since + CALL_FOR > now {
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

async fn call(mesh: Arc<Mesh>, member: Member) {
    let far = member.region != mesh.members().own().region;
    let answered = async {
        let client = dial(&mesh, &member.control_address, far).await?;
        introduce(&mesh, &client).await
    };
    match answered.await {
        Ok(found) => log::info!(
            "lost member found node={} generation_ms={}",
            found.node_id,
            found.generation_ms
        ),
        Err(error) => log::debug!("lost member did not answer: {error:#}"),
    }
}
