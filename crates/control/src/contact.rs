//! First contact: peers from the settings and from a short stream on the platform's log.

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
    introduce,
    prompt_context, //
};
use crate::mesh::Mesh;

/// How long a contact is worth a try.
const CONTACT_LIFE_MS: u64 = 600_000;

/// Contacts of a zone that are enough.
const FRESH_MIN_COUNT: usize = 2;

/// How often a zone's first node looks after the zone's contacts.
const TEND_EVERY: Duration = Duration::from_secs(60);

/// How long an append of a contact may take.
const APPEND_WAIT: Duration = Duration::from_secs(2);

/// Contacts that are tried in one round.
const TRY_MAX_COUNT: usize = 8;

/// Contacts that are tried at a time; one that is down must not hold up the others.
const TRY_AT_ONCE_COUNT: usize = 3;

/// Contacts that are enough to meet: their tables and the links that follow bring the rest.
const MEET_COUNT: usize = 2;

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Contact {
    cluster: String,
    zone: String,
    control_address: String,
}

/// Joins the mesh at `start_at` and then looks after the zone's contacts
/// until the process ends.
pub(crate) async fn keep_contact(
    mesh: Arc<Mesh>,
    log: Rc<dyn LogService>,
    peers: Vec<String>,
    start_at: Instant,
) {
    tokio::time::sleep_until(start_at.into()).await;
    let mut backoff = Backoff::new(100, 2_000, mesh.random());
    loop {
        let joined = join(&mesh, log.as_ref(), &peers).await;
        let next_at = if joined || has_live_peer(&mesh) {
            backoff.reset();
            Instant::now() + TEND_EVERY / 2 + mesh.jitter(TEND_EVERY)
        } else {
            backoff.next_attempt_at(Instant::now())
        };
        wait_or_lonely(&mesh, next_at).await;
    }
}

/// Waits until `next_at`, or until no peer is live any more.
async fn wait_or_lonely(mesh: &Mesh, next_at: Instant) {
    let was_alone = !has_live_peer(mesh);
    while Instant::now() < next_at {
        let step = Duration::from_millis(500);
        let until = next_at.min(Instant::now() + step);
        tokio::time::sleep_until(until.into()).await;
        if !was_alone && !has_live_peer(mesh) {
            return;
        }
    }
}

/// Looks for peers and meets some of those that are not yet known; returns whether any answered.
async fn join(mesh: &Mesh, log: &dyn LogService, peers: &[String]) -> bool {
    let own = mesh.members().own().clone();
    let alone = !has_live_peer(mesh);
    let mut addresses: Vec<String> = Vec::new();
    if alone {
        addresses.extend_from_slice(peers);
    }
    let mut fresh = None;
    if alone || tends_zone(mesh) {
        match fresh_contacts(mesh, log).await {
            Ok(contacts) => {
                let (near, far): (Vec<&Contact>, Vec<&Contact>) = contacts
                    .iter()
                    .partition(|contact| contact.zone == own.zone);
                for contact in near.into_iter().chain(far) {
                    addresses.push(contact.control_address.clone());
                }
                fresh = Some(contacts);
            }
            Err(error) => log::warn!("could not read contacts: {error}"),
        }
    }
    let met = meet(mesh, &addresses).await;
    if let Some(fresh) = fresh {
        tend(mesh, log, &fresh).await;
    }
    met
}

async fn meet(mesh: &Mesh, addresses: &[String]) -> bool {
    let own_address = mesh.members().own().control_address.clone();
    let mut wanted: Vec<&str> = Vec::new();
    for address in addresses {
        let known = *address == own_address || is_known(mesh, address);
        if known || wanted.contains(&address.as_str()) {
            continue;
        }
        wanted.push(address);
    }
    wanted.truncate(TRY_MAX_COUNT);
    let meetings = wanted.into_iter().map(|address| async move {
        match meet_one(mesh, address).await {
            Ok(()) => true,
            Err(error) => {
                log::info!("contact {address} did not answer: {error:#}");
                false
            }
        }
    });
    let mut meetings = futures::stream::iter(meetings).buffer_unordered(TRY_AT_ONCE_COUNT);
    let mut met_count = 0;
    while let Some(met) = meetings.next().await {
        met_count += usize::from(met);
        if met_count >= MEET_COUNT {
            break;
        }
    }
    met_count > 0
}

/// Meets a peer, exchanges members and takes over its routes; the links that follow bring the rest.
async fn meet_one(mesh: &Mesh, address: &str) -> anyhow::Result<()> {
    let client = dial(mesh, address, false).await?;
    let peer = introduce(mesh, &client).await?;
    let buckets = mesh.members().digest().buckets().to_vec();
    let members = client.sync_members(prompt_context(), buckets).await?;
    mesh.merge_members(&members);
    mesh.rebuild_view();
    let missing = client.pull_routes(prompt_context(), mesh.routes().version);
    mesh.take_missing_routes(missing.await?);
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

fn has_live_peer(mesh: &Mesh) -> bool {
    let members = mesh.members();
    for member in members.members() {
        if member.state == MemberState::Live && member.node_id != members.own().node_id {
            return true;
        }
    }
    false
}

/// Returns whether this node is the one of its zone that looks after the contacts.
fn tends_zone(mesh: &Mesh) -> bool {
    let zone = mesh.members().own().zone.clone();
    mesh.own_rank(&zone, &|member| member.zone == zone) == Some(0)
}

/// Appends this node as a contact when its zone has too few that are fresh, or none of them answers.
async fn tend(mesh: &Mesh, log: &dyn LogService, fresh: &[Contact]) {
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
    if fresh_count >= FRESH_MIN_COUNT && has_live_peer(mesh) {
        return;
    }
    let contact = Contact {
        cluster: mesh.cluster().to_owned(),
        zone: own.zone,
        control_address: own.control_address,
    };
    let body = serde_json::to_string(&contact).expect("a record of strings has a JSON form");
    let deadline = Instant::now() + APPEND_WAIT;
    match log.append(CONTACT_STREAM, &body, deadline).await {
        Ok(appended) => log::info!("contact appended offset={}", appended.offset),
        Err(error) => log::warn!("could not append a contact: {error}"),
    }
}

async fn fresh_contacts(mesh: &Mesh, log: &dyn LogService) -> Result<Vec<Contact>, ReadError> {
    let page = read_retained(log, CONTACT_STREAM, Offset(1)).await?;
    let mut list: Vec<Contact> = Vec::new();
    for record in page.records.iter().rev() {
        if record.appended_at_ms + CONTACT_LIFE_MS < page.now_ms {
            break;
        }
        let Ok(contact) = serde_json::from_str::<Contact>(&record.body) else {
            continue;
        };
        let known = |earlier: &Contact| earlier.control_address == contact.control_address;
        if contact.cluster == mesh.cluster() && !list.iter().any(known) {
            list.push(contact);
        }
    }
    Ok(list)
}
