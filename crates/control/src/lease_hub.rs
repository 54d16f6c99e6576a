//! Extends the lease on the route table through a peer that hears from the log sooner, so that few
//! nodes have to ask the log.
//!
//! The first nodes of a zone by rank are its hubs. The other nodes ask a hub, a hub asks the first
//! one, and that one asks the node that follows the table. A hub that does not answer costs nothing
//! but calls to the log: a node whose lease runs out asks the log in any case.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use figway_types::{
    rendezvous_weight,
    Member,
    MemberState,
    NodeId, //
};

use crate::dial::{
    dial,
    handshake, //
};
use crate::link::ping_peer;
use crate::mesh::Mesh;

/// Age of the last confirmation from which on a node asks its hub.
const ASK_HUB_AFTER: Duration = Duration::from_millis(600);

/// Shortest pause between two requests to a hub.
const ASK_HUB_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of a request to a hub, and of connecting to it.
const HUB_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before a hub that did not answer is asked again.
const REDIAL_PAUSE: Duration = Duration::from_millis(700);

/// Number of nodes of a zone for each of its hubs.
const HUB_NODE_COUNT: usize = 32;

/// Asks the hub of this node whenever the lease is about to run out. Runs until the process ends.
pub(crate) async fn follow_hub(mesh: Arc<Mesh>) {
    loop {
        if let Some(hub) = hub_of(&mesh) {
            if let Err(error) = ask_while_hub(&mesh, &hub).await {
                log::debug!("hub did not answer node={} why={error:#}", hub.node_id);
            }
        }
        tokio::time::sleep(REDIAL_PAUSE + mesh.jitter(REDIAL_PAUSE)).await;
    }
}

/// Asks `hub` until it fails or another node is the hub.
async fn ask_while_hub(mesh: &Mesh, hub: &Member) -> anyhow::Result<()> {
    let cross_region = hub.region != mesh.members().own().region;
    let client = tokio::time::timeout(HUB_TIMEOUT, async {
        let client = dial(mesh, &hub.control_address, cross_region).await?;
        handshake(mesh, &client, Some(&hub.node_id)).await?;
        anyhow::Ok(client)
    })
    .await??;
    while hub_of(mesh).is_some_and(|current| current.node_id == hub.node_id) {
        let age = mesh.route_lease_age().unwrap_or(ASK_HUB_AFTER);
        let left = ASK_HUB_AFTER.saturating_sub(age);
        if !left.is_zero() {
            tokio::time::sleep(left).await;
            continue;
        }
        let ping = ping_peer(mesh, hub, &client, Duration::ZERO);
        tokio::time::timeout(HUB_TIMEOUT, ping).await??;
        tokio::time::sleep(ASK_HUB_PAUSE).await;
    }
    Ok(())
}

/// Returns the node that this one asks, if it asks any. The node that follows the table does not.
fn hub_of(mesh: &Mesh) -> Option<Member> {
    if mesh.log_rank()? == 0 {
        return None;
    }
    let members = mesh.members();
    let own = members.own();
    let mut zone: Vec<&Member> = members
        .members()
        .filter(|member| member.state == MemberState::Live && member.zone == own.zone)
        .collect();
    zone.sort_by_key(|member| Reverse(rendezvous_weight(&own.zone, &member.node_id.0)));
    let hub_count = zone.len().div_ceil(HUB_NODE_COUNT);
    let hubs = &zone[..hub_count];
    let first = hubs.first()?;
    if first.node_id == own.node_id {
        drop(members);
        return mesh.first_log_reader();
    }
    let is_hub = hubs.iter().any(|hub| hub.node_id == own.node_id);
    let hub = match is_hub {
        true => first,
        false => hubs[hub_index(&own.node_id, hub_count)],
    };
    Some((*hub).clone())
}

fn hub_index(node_id: &NodeId, hub_count: usize) -> usize {
    (figway_types::stable_hash(&node_id.0) % hub_count as u64) as usize
}
