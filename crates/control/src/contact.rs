//! Joining the mesh through contacts, which are the peers from the settings and the entries of a
//! short stream on the platform's log.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_log_client::{
    read_retained,
    LogService,
    ReadError,
    CONTACT_STREAM, //
};
use figway_types::{
    Backoff,
    LogEra,
    MemberState,
    Offset, //
};
use futures::StreamExt as _;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::dial::{
    dial,
    handshake,
    peer_timeout_context, //
};
use crate::mesh::Mesh;

/// Age up to which a contact is used.
const CONTACT_TTL_MS: u64 = 600_000;

/// Minimum number of fresh contacts that each zone should have.
const ZONE_CONTACT_MIN_COUNT: usize = 2;

/// Mean interval at which the node of the first rank in a zone checks the zone's contacts.
const CONTACT_CHECK_EVERY: Duration = Duration::from_secs(60);

/// Timeout for appending a contact.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of contacts that are tried in one round.
const ATTEMPT_MAX_COUNT: usize = 8;

/// Number of contacts that are tried concurrently, so that one that is down does not delay the
/// others.
const ATTEMPT_CONCURRENCY: usize = 3;

/// Number of contacts after which joining the own zone is complete. Their member tables and the links
/// opened afterwards bring the remaining members.
const JOIN_PEER_COUNT: usize = 2;

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Contact {
    cluster: String,
    zone: String,
    control_address: String,
}

/// Joins the mesh at `start_at` and then maintains the zone's contacts until the process ends.
/// Joins again when no peer is live any more. Checks the contacts at once when the log enters another
/// era, since it may have lost them.
pub(crate) async fn maintain_contact(
    mesh: Arc<Mesh>,
    log: Rc<dyn LogService>,
    peers: Vec<String>,
    start_at: Instant,
) {
    tokio::time::sleep_until(start_at.into()).await;
    let mut backoff = Backoff::new(100, 2_000, mesh.random());
    loop {
        let applied_era = mesh.applied_offset().era();
        let round = join(&mesh, log.as_ref(), &peers).await;
        let next_at = if round.joined || has_live_peer(&mesh) {
            backoff.reset();
            Instant::now() + CONTACT_CHECK_EVERY / 2 + mesh.jitter(CONTACT_CHECK_EVERY)
        } else {
            backoff.next_attempt_at(Instant::now())
        };
        let contacts_era = round.contacts_era.unwrap_or(applied_era);
        wait_until_due(&mesh, next_at, contacts_era).await;
    }
}

/// Result of one round of joining.
struct JoinRound {
    /// Whether any contact answered.
    joined: bool,
    /// Era of the log in which the contacts were read, if they were.
    contacts_era: Option<LogEra>,
}

/// Waits until `next_at`, until the last live peer is lost, or until the log is of a later era than
/// `contacts_era`.
async fn wait_until_due(mesh: &Mesh, next_at: Instant, contacts_era: LogEra) {
    let was_alone = !has_live_peer(mesh);
    while Instant::now() < next_at {
        let step = Duration::from_millis(500);
        let until = next_at.min(Instant::now() + step);
        tokio::time::sleep_until(until.into()).await;
        if !was_alone && !has_live_peer(mesh) {
            return;
        }
        if mesh.applied_offset().era() > contacts_era {
            return;
        }
    }
}

/// Joins through some contacts that are not known as live members yet, and appends a contact if the
/// zone needs one. A zone of which no live member is known is joined by a contact of its own, since
/// zones that start together know only themselves.
async fn join(mesh: &Mesh, log: &dyn LogService, peers: &[String]) -> JoinRound {
    let own = mesh.members().own().clone();
    let alone = !has_live_peer(mesh);
    let mut near_addresses: Vec<&str> = Vec::new();
    if alone {
        near_addresses.extend(peers.iter().map(String::as_str));
    }
    let mut fresh = None;
    if alone || maintains_zone_contacts(mesh) {
        match fresh_contacts(mesh, log).await {
            Ok(found) => fresh = Some(found),
            Err(error) => log::warn!("could not read contacts: {error}"),
        }
    }
    let mut by_zone: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    if let Some(found) = &fresh {
        for contact in &found.contacts {
            let addresses = by_zone.entry(&contact.zone).or_default();
            addresses.push(&contact.control_address);
        }
    }
    near_addresses.extend(by_zone.remove(own.zone.as_str()).unwrap_or_default());
    let mut joined = join_any(mesh, &near_addresses, JOIN_PEER_COUNT).await;
    for (zone, addresses) in by_zone {
        if !knows_zone(mesh, zone) {
            joined |= join_any(mesh, &addresses, 1).await;
        }
    }
    let mut contacts_era = None;
    if let Some(fresh) = fresh {
        contacts_era = Some(fresh.era);
        append_contact_if_needed(mesh, log, &fresh.contacts).await;
    }
    JoinRound {
        joined,
        contacts_era,
    }
}

/// Joins through contacts at `addresses` until `peer_count` of them have answered. Returns whether any
/// has.
async fn join_any(mesh: &Mesh, addresses: &[&str], peer_count: usize) -> bool {
    let own_address = mesh.members().own().control_address.clone();
    let mut wanted: Vec<&str> = Vec::new();
    for address in addresses {
        let known = **address == own_address || is_known(mesh, address);
        if known || wanted.contains(address) {
            continue;
        }
        wanted.push(address);
    }
    wanted.truncate(ATTEMPT_MAX_COUNT);
    let attempts = wanted.into_iter().map(|address| async move {
        match join_through(mesh, address).await {
            Ok(()) => true,
            Err(error) => {
                log::info!("could not join through contact {address}: {error:#}");
                false
            }
        }
    });
    let mut attempts = futures::stream::iter(attempts).buffer_unordered(ATTEMPT_CONCURRENCY);
    let mut joined_count = 0;
    while let Some(joined) = attempts.next().await {
        joined_count += usize::from(joined);
        if joined_count >= peer_count {
            break;
        }
    }
    joined_count > 0
}

/// Connects to a contact and fetches its members and routes. The links opened afterwards bring the
/// rest.
async fn join_through(mesh: &Mesh, address: &str) -> anyhow::Result<()> {
    let client = dial(mesh, address, false).await?;
    let peer = handshake(mesh, &client, None).await?;
    let buckets = mesh.members().digest().buckets().to_vec();
    let members = client.sync_members(peer_timeout_context(), buckets).await?;
    mesh.merge_members(&members);
    mesh.rebuild_view();
    let missing = client.pull_routes(peer_timeout_context(), mesh.routes().version);
    mesh.apply_missing_routes(missing.await?);
    log::info!(
        "joined through peer={} members={}",
        peer.node_id,
        mesh.members().present_count()
    );
    Ok(())
}

fn is_known(mesh: &Mesh, address: &str) -> bool {
    for member in mesh.members().members() {
        if member.control_address == address && member.state == MemberState::Live {
            return true;
        }
    }
    false
}

/// Returns whether a live member of the zone is known.
fn knows_zone(mesh: &Mesh, zone: &str) -> bool {
    for member in mesh.members().members() {
        if member.zone == zone && member.state == MemberState::Live {
            return true;
        }
    }
    false
}

fn has_live_peer(mesh: &Mesh) -> bool {
    let members = mesh.members();
    for member in members.members() {
        if member.state == MemberState::Live && member.node_id != members.own().node_id {
            return true;
        }
    }
    false
}

/// Returns whether this node is the one that maintains the contacts of its zone.
fn maintains_zone_contacts(mesh: &Mesh) -> bool {
    let zone = mesh.members().own().zone.clone();
    mesh.own_rank(&zone, &|member| member.zone == zone) == Some(0)
}

/// Appends this node as a contact if its zone has too few fresh contacts, or if this node has no
/// live peer. Does nothing if this node is a fresh contact already.
async fn append_contact_if_needed(mesh: &Mesh, log: &dyn LogService, fresh: &[Contact]) {
    let own = mesh.members().own().clone();
    let mut fresh_count = 0;
    for contact in fresh {
        if contact.control_address == own.control_address {
            return;
        }
        if contact.zone == own.zone {
            fresh_count += 1;
        }
    }
    if fresh_count >= ZONE_CONTACT_MIN_COUNT && has_live_peer(mesh) {
        return;
    }
    let contact = Contact {
        cluster: mesh.cluster().to_owned(),
        zone: own.zone,
        control_address: own.control_address,
    };
    let body = serde_json::to_string(&contact).expect("a record of strings has a JSON form");
    let deadline = Instant::now() + APPEND_TIMEOUT;
    match log.append(CONTACT_STREAM, &body, deadline).await {
        Ok(appended) => log::info!("contact appended offset={}", appended.offset),
        Err(error) => log::warn!("could not append a contact: {error}"),
    }
}

/// Contacts that were read from the log.
struct FreshContacts {
    era: LogEra,
    contacts: Vec<Contact>,
}

async fn fresh_contacts(mesh: &Mesh, log: &dyn LogService) -> Result<FreshContacts, ReadError> {
    let page = read_retained(log, CONTACT_STREAM, Offset(1)).await?;
    let mut contacts: Vec<Contact> = Vec::new();
    for record in page.records.iter().rev() {
        if record.appended_at_ms.saturating_add(CONTACT_TTL_MS) < page.now_ms {
            break;
        }
        let Ok(contact) = serde_json::from_str::<Contact>(&record.body) else {
            continue;
        };
        let known = |earlier: &Contact| earlier.control_address == contact.control_address;
        if contact.cluster == mesh.cluster() && !contacts.iter().any(known) {
            contacts.push(contact);
        }
    }
    Ok(FreshContacts {
        era: page.next_offset.era(),
        contacts,
    })
}
