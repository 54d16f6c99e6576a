//! Links to peers: one task for each peer, and the keeper that chooses them.

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
    Member,
    NodeId,
    Offset, //
};
use tokio::sync::oneshot;

use crate::dial::{
    dial,
    introduce,
    prompt_context, //
};
use crate::mesh::Mesh;
use crate::rpc::{
    Missing,
    News,
    PeerClient,
    Ping, //
};

/// How long a choice of links holds before some of it is rotated.
const ROTATE_EVERY: Duration = Duration::from_secs(120);

/// Pause before a link to a peer that failed is opened again.
const REOPEN_AFTER: Duration = Duration::from_secs(1);

/// Spread of announcements, so that a peer that hears a change elsewhere is not told twice.
const ANNOUNCE_JITTER: Duration = Duration::from_millis(10);

/// Wait after a peer was told and is not yet up to date.
const SETTLE_WAIT: Duration = Duration::from_millis(200);

/// While rumours are under way, one in this many exchanges compares the tables all the same.
const SYNC_SAMPLE: u64 = 32;

/// The same, while one table has members that the other lacks.
const GAP_SYNC_SAMPLE: u64 = 4;

/// Difference of member counts above which two tables are compared at once.
const SYNC_GAP_COUNT: usize = 8;

/// What all links share.
#[derive(Clone, Copy, Debug)]
pub struct LinkPlan {
    /// Links by distance.
    pub counts: LinkCounts,
    /// Period in which this node pings one of its links.
    pub ping_period: Duration,
}

/// Keeps a task for each chosen peer until the process ends.
pub(crate) async fn keep_links(mesh: Arc<Mesh>, plan: LinkPlan) {
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
        result = follow_peer(&mesh, &peer, ping_every) => {
            let Err(error) = result;
            mesh.suspect(&peer.node_id, &format!("{error:#}"));
            // The receiver stays until then, so that the keeper does not reopen the link at once.
            tokio::time::sleep(REOPEN_AFTER + mesh.jitter(REOPEN_AFTER)).await;
        }
    }
}

async fn follow_peer(
    mesh: &Mesh,
    peer: &Member,
    ping_every: Duration,
) -> anyhow::Result<std::convert::Infallible> {
    let own = mesh.members().own().clone();
    let far = peer.region != own.region;
    let client = dial(mesh, &peer.control_address, far).await?;
    introduce(mesh, &client).await?;
    let mut head = mesh.watch_head();
    let mut ping_at = Instant::now() + mesh.jitter(ping_every);
    let mut told = Offset(0);
    exchange_news(mesh, peer, &client, far).await?;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(ping_at.into()) => {}
            // The paid link between regions waits for the periodic ping: each region reads the log.
            _ = head.changed(), if !far => {
                tokio::time::sleep(mesh.jitter(ANNOUNCE_JITTER)).await;
                let applied = *head.borrow_and_update();
                if mesh.peer_offset(&peer.node_id) >= applied || told >= applied {
                    continue;
                }
                told = applied;
            }
        }
        let behind = exchange_news(mesh, peer, &client, far).await?;
        ping_at = Instant::now() + ping_every;
        if behind {
            ping_at = Instant::now() + SETTLE_WAIT;
        }
    }
}

/// Exchanges news with the peer and evens out what either lacks; returns whether one is still
/// behind the other.
async fn exchange_news(
    mesh: &Mesh,
    peer: &Member,
    client: &PeerClient,
    far: bool,
) -> anyhow::Result<bool> {
    let own_id = mesh.members().own().node_id.clone();
    let ping = Ping {
        news: mesh.news_for(&peer.node_id),
        node_id: own_id,
    };
    let pong = client.ping(prompt_context(), ping).await?;
    mesh.take_news(&peer.node_id, &pong.news, !far);
    let theirs = pong.news.applied_offset;
    if pong.wants_delivery {
        let missing = mesh.missing_after(theirs);
        client.deliver(prompt_context(), missing).await?;
    } else if theirs > mesh.applied_offset() && mesh.begin_fetch() {
        let missing = client.pull(prompt_context(), mesh.applied_offset()).await;
        mesh.take_missing(missing.unwrap_or(Missing::Busy));
    }
    if tables_are_far_apart(mesh, &pong.news) {
        sync_members(mesh, client).await?;
    }
    let applied = mesh.applied_offset();
    Ok(theirs != applied)
}

/// Returns whether two member tables differ by more than the rumours under way will even out.
fn tables_are_far_apart(mesh: &Mesh, theirs: &News) -> bool {
    let members = mesh.members();
    if theirs.member_digest == members.digest().total() {
        return false;
    }
    let gap_count = members.present_count().abs_diff(theirs.member_count);
    if theirs.rumours.is_empty() || gap_count > SYNC_GAP_COUNT {
        return true;
    }
    let sample = if gap_count > 0 {
        GAP_SYNC_SAMPLE
    } else {
        SYNC_SAMPLE
    };
    mesh.random().is_multiple_of(sample)
}

/// Evens out two member tables.
async fn sync_members(mesh: &Mesh, client: &PeerClient) -> anyhow::Result<()> {
    let buckets = mesh.members().digest().buckets().to_vec();
    let theirs = client.sync_members(prompt_context(), buckets).await?;
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
        client.tell_members(prompt_context(), newer).await?;
    }
    Ok(())
}
