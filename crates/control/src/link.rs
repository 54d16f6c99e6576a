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
    NodeId, //
};
use tokio::sync::oneshot;

use crate::dial::{
    context_until,
    dial,
    introduce,
    prompt_context,
    PEER_WAIT, //
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

/// Longest pause before a peer is asked again while another link fetches.
const FETCH_PAUSE: Duration = Duration::from_millis(100);

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
    let dialled_at = Instant::now();
    let client = dial(mesh, &peer.control_address, far).await?;
    mesh.note_round_trip(&peer.zone, dialled_at.elapsed());
    introduce(mesh, &client).await?;
    let mut news = mesh.watch_gossip();
    exchange_news(mesh, peer, &client, Duration::ZERO).await?;
    loop {
        let wait = ping_every / 2 + mesh.jitter(ping_every);
        let subscription = exchange_news(mesh, peer, &client, wait);
        tokio::pin!(subscription);
        loop {
            tokio::select! {
                result = &mut subscription => {
                    if result? {
                        // Another link fetches; asking again at once would be answered at once.
                        tokio::time::sleep(mesh.jitter(FETCH_PAUSE)).await;
                    }
                    break;
                }
                // Everyone hears of news from those it subscribes to; where news begin they are told
                // to this node's own peers too, since nobody may subscribe to it.
                _ = news.changed() => {
                    news.borrow_and_update();
                    if mesh.begins_news() && mesh.has_news_for(&peer.node_id) {
                        exchange_news(mesh, peer, &client, Duration::ZERO).await?;
                    }
                }
            }
        }
    }
}

/// Exchanges news with the peer, whose answer may wait for news, and evens out what either lacks.
/// Returns whether this node is still behind the peer.
async fn exchange_news(
    mesh: &Mesh,
    peer: &Member,
    client: &PeerClient,
    wait: Duration,
) -> anyhow::Result<bool> {
    let own = mesh.members().own().clone();
    let ping = Ping {
        news: mesh.news_for(&peer.node_id),
        wait_ms: wait.as_millis() as u64,
        node_id: own.node_id,
    };
    let context = context_until(Instant::now() + wait + PEER_WAIT);
    let pong = client.ping(context, ping).await?;
    let same_region = peer.region == own.region;
    let lacks_routes = mesh.take_news(&peer.node_id, &pong.news, same_region);
    if lacks_routes {
        if let Some(_fetch) = mesh.begin_route_fetch() {
            let missing = client.pull_routes(prompt_context(), mesh.routes().version);
            mesh.take_missing_routes(missing.await?);
        }
    }
    let theirs = pong.news.applied_offset;
    if pong.wants_delivery {
        let missing = mesh.missing_after(theirs);
        client.deliver(prompt_context(), missing).await?;
    } else if theirs > mesh.applied_offset() && mesh.try_begin_fetch() {
        let missing = client.pull(prompt_context(), mesh.applied_offset()).await;
        mesh.take_missing(missing.unwrap_or(Missing::Busy));
    }
    if tables_are_far_apart(mesh, &pong.news) {
        sync_members(mesh, client).await?;
    }
    Ok(theirs > mesh.applied_offset() || pong.news.routes.version > mesh.routes().version)
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
