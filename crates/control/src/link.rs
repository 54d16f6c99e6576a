//! Gossip links to peers: one task for each linked peer, and the task that chooses the peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_membership::{
    choose_links,
    LinkCounts, //
};
use figway_types::{
    BootInstant,
    Member,
    NodeId, //
};
use tokio::sync::oneshot;

use crate::dial::{
    context_until,
    dial,
    handshake,
    peer_timeout_context,
    PEER_TIMEOUT, //
};
use crate::mesh::Mesh;
use crate::rpc::{
    Gossip,
    MissingRecords,
    PeerClient,
    Ping,
    Pong, //
};

/// Shortest time between two rotations, which replace links by others at random.
const ROTATE_EVERY: Duration = Duration::from_secs(120);

/// Shortest pause before a failed link is opened again.
const REOPEN_AFTER: Duration = Duration::from_secs(1);

/// Longest pause before the next exchange while another link fetches missing records or routes.
const FETCH_PAUSE: Duration = Duration::from_millis(100);

/// While gossip still carries member changes, only one in this many exchanges also compares the
/// member tables.
const SYNC_SAMPLE_PERIOD: u64 = 32;

/// Value used instead of [`SYNC_SAMPLE_PERIOD`] if the tables have different member counts.
const GAP_SYNC_SAMPLE_PERIOD: u64 = 4;

/// Difference of member counts above which an exchange always compares the tables.
const SYNC_GAP_COUNT: usize = 8;

/// Settings of all links of a node.
#[derive(Clone, Copy, Debug)]
pub struct LinkPlan {
    /// Number of links by distance.
    pub counts: LinkCounts,
    /// Mean time between two pings of this node, over all its links.
    pub ping_period: Duration,
}

/// Runs a task for each chosen peer until the process ends.
pub(crate) async fn maintain_links(mesh: Arc<Mesh>, plan: LinkPlan) {
    let mut open: BTreeMap<NodeId, oneshot::Sender<()>> = BTreeMap::new();
    let mut changes = mesh.watch_members();
    let mut seed = mesh.random();
    let mut rotate_at = Instant::now() + ROTATE_EVERY;
    loop {
        if rotate_at <= Instant::now() {
            seed = mesh.random();
            rotate_at = Instant::now() + ROTATE_EVERY + mesh.jitter(ROTATE_EVERY);
        }
        let wanted = wanted_peers(&mesh, plan.counts, seed);
        open.retain(|node_id, stop| !stop.is_closed() && wanted.contains_key(node_id));
        let ping_every = plan.ping_period * wanted.len().max(1) as u32;
        for (node_id, peer) in wanted {
            if open.contains_key(&node_id) {
                continue;
            }
            let (stop, stopped) = oneshot::channel();
            open.insert(node_id, stop);
            tokio::task::spawn_local(run_link(Arc::clone(&mesh), peer, ping_every, stopped));
        }
        tokio::select! {
            _ = changes.changed() => tokio::time::sleep(Duration::from_millis(100)).await,
            () = tokio::time::sleep(REOPEN_AFTER) => {}
        }
    }
}

fn wanted_peers(mesh: &Mesh, counts: LinkCounts, seed: u64) -> BTreeMap<NodeId, Member> {
    let members = mesh.members();
    let mut wanted = BTreeMap::new();
    for node_id in choose_links(members.own(), members.members(), counts, seed) {
        if let Some(member) = members.get(node_id) {
            wanted.insert(node_id.clone(), member.clone());
        }
    }
    wanted
}

async fn run_link(
    mesh: Arc<Mesh>,
    peer: Member,
    ping_every: Duration,
    mut stopped: oneshot::Receiver<()>,
) {
    tokio::select! {
        _ = &mut stopped => {}
        result = gossip_with_peer(&mesh, &peer, ping_every) => {
            let Err(error) = result;
            mesh.suspect(&peer.node_id, &format!("{error:#}"));
            // While this task holds the receiver, `maintain_links` does not open the link again.
            tokio::time::sleep(REOPEN_AFTER + mesh.jitter(REOPEN_AFTER)).await;
        }
    }
}

async fn gossip_with_peer(
    mesh: &Mesh,
    peer: &Member,
    ping_every: Duration,
) -> anyhow::Result<std::convert::Infallible> {
    let own = mesh.members().own().clone();
    let cross_region = peer.region != own.region;
    let dialled_at = Instant::now();
    let client = dial(mesh, &peer.control_address, cross_region).await?;
    mesh.record_round_trip(&peer.zone, dialled_at.elapsed());
    handshake(mesh, &client, Some(&peer.node_id)).await?;
    let mut changes = mesh.watch_gossip();
    exchange_gossip(mesh, peer, &client, Duration::ZERO).await?;
    loop {
        let wait = ping_every / 2 + mesh.jitter(ping_every);
        let long_poll = exchange_gossip(mesh, peer, &client, wait);
        tokio::pin!(long_poll);
        loop {
            tokio::select! {
                result = &mut long_poll => {
                    if result? {
                        // Another link fetches. The peer would answer a new ping immediately.
                        tokio::time::sleep(mesh.jitter(FETCH_PAUSE)).await;
                    }
                    break;
                }
                // A node receives updates from the peers that it polls. The origin of an update
                // also pushes it to its own peers, since it may be that no node polls the origin.
                _ = changes.changed() => {
                    changes.borrow_and_update();
                    let mut pushes = mesh.has_own_news_for(&peer.node_id)
                        || mesh.is_gossip_origin() && mesh.has_updates_for(&peer.node_id);
                    while pushes {
                        exchange_gossip(mesh, peer, &client, Duration::ZERO).await?;
                        pushes = mesh.has_own_news_for(&peer.node_id);
                    }
                }
            }
        }
    }
}

/// Exchanges gossip with the peer, which may hold its answer back for up to `wait` while it has no
/// update, and then transfers the records, routes and members that either side lacks. Returns
/// whether this node is still behind the peer.
async fn exchange_gossip(
    mesh: &Mesh,
    peer: &Member,
    client: &PeerClient,
    wait: Duration,
) -> anyhow::Result<bool> {
    let answer = ping_peer(mesh, peer, client, wait).await?;
    if answer.lacks_routes {
        if let Some(_fetch) = mesh.try_begin_route_fetch() {
            let missing = client.pull_routes(peer_timeout_context(), mesh.routes().version);
            mesh.apply_missing_routes(missing.await?);
        }
    }
    let pong = answer.pong;
    let peer_offset = pong.news.applied_offset;
    if pong.wants_delivery {
        let missing = mesh.missing_records_after(peer_offset);
        client.deliver(peer_timeout_context(), missing).await?;
    } else if peer_offset > mesh.applied_offset() && mesh.try_begin_fetch() {
        let missing = client
            .pull(peer_timeout_context(), mesh.applied_offset())
            .await;
        mesh.apply_missing_records(missing.unwrap_or(MissingRecords::Busy));
    }
    if needs_member_sync(mesh, &pong.news) {
        sync_members(mesh, client).await?;
    }
    Ok(peer_offset > mesh.applied_offset() || pong.news.routes.version > mesh.routes().version)
}

/// Answer of a peer to a ping.
pub(crate) struct PingAnswer {
    pong: Pong,
    /// Whether this node still lacks some of the peer's routes.
    lacks_routes: bool,
}

/// Sends the peer this node's gossip, and merges that of the answer, which may be held back for up to
/// `wait`.
pub(crate) async fn ping_peer(
    mesh: &Mesh,
    peer: &Member,
    client: &PeerClient,
    wait: Duration,
) -> anyhow::Result<PingAnswer> {
    let own = mesh.members().own().clone();
    let ping = Ping {
        news: mesh.gossip_for(&peer.node_id),
        wait_ms: wait.as_millis() as u64,
        node_id: own.node_id,
    };
    let context = context_until(Instant::now() + wait + PEER_TIMEOUT);
    let (sent_at, boot_sent_at) = (Instant::now(), BootInstant::now());
    let pong = client.ping(context, ping).await?;
    // The answer was not written before this time.
    let held = Duration::from_millis(pong.held_ms).min(sent_at.elapsed());
    let head_from = (peer.region == own.region).then_some(sent_at + held);
    let lacks_routes = mesh.merge_gossip(&peer.node_id, &pong.news, head_from);
    if let Some(confirmation) = pong.news.routes.confirmation() {
        mesh.merge_route_confirmation(&confirmation, boot_sent_at + held);
    }
    Ok(PingAnswer { pong, lacks_routes })
}

/// Returns whether to compare the member tables bucket by bucket, because they differ by more than
/// the member changes in the gossip are likely to resolve, or because this exchange is sampled.
fn needs_member_sync(mesh: &Mesh, peer_gossip: &Gossip) -> bool {
    let members = mesh.members();
    if peer_gossip.member_digest == members.digest().total() {
        return false;
    }
    let gap_count = members.present_count().abs_diff(peer_gossip.member_count);
    if peer_gossip.rumours.is_empty() || gap_count > SYNC_GAP_COUNT {
        return true;
    }
    let sample = if gap_count > 0 {
        GAP_SYNC_SAMPLE_PERIOD
    } else {
        SYNC_SAMPLE_PERIOD
    };
    mesh.random().is_multiple_of(sample)
}

/// Runs one round of anti-entropy: fetches the peer's members of the buckets that differ, merges
/// them, and sends back this node's entry of each of these members where it is newer.
async fn sync_members(mesh: &Mesh, client: &PeerClient) -> anyhow::Result<()> {
    let buckets = mesh.members().digest().buckets().to_vec();
    let theirs = client.sync_members(peer_timeout_context(), buckets).await?;
    let mut newer = Vec::new();
    {
        let members = mesh.members();
        for their in &theirs {
            let Some(own) = members.get(&their.node_id) else {
                continue;
            };
            if own.rank() > their.rank() {
                newer.push(own.clone());
            }
        }
    }
    mesh.merge_members(&theirs);
    if !newer.is_empty() {
        client.tell_members(peer_timeout_context(), newer).await?;
    }
    Ok(())
}
