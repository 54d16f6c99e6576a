//! Route table of this node: applies updates, puts them in force and passes them on to peers.

use figway_profile::{
    RouteChange,
    RouteIndex,
    RouteTable, //
};
use figway_types::{
    rendezvous_weight,
    BootInstant,
    Member,
    MemberState,
    NodeId, //
};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{
    Arc,
    MutexGuard, //
};
use std::time::Duration;

use super::Mesh;
use crate::route_lease::{
    RouteConfirmation,
    RouteLease, //
};
use crate::rpc::{
    MissingRoutes,
    RouteGossip, //
};

/// Largest number of changed routes and customers in one gossip message. Larger changes are pulled over a single
/// link instead of being sent over each.
const GOSSIP_ROUTE_MAX_COUNT: usize = 24;

/// Largest number of lines about routes of unknown kinds for one version of the table.
const UNKNOWN_KIND_LINE_MAX_COUNT: usize = 20;

/// Largest number of customers that a line about shared keys names.
const SHARED_KEY_NAME_MAX_COUNT: usize = 20;

/// Width of a step of round-trip time to the log; nodes in the same step count as equally near.
const LOG_DISTANCE_STEP_MS: u64 = 8;

impl Mesh {
    /// Returns the applied route table.
    pub fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(self.routes.lock().expect("no holder panics").table())
    }

    /// Installs a whole table and puts it in force, if it is newer than the applied one.
    pub fn install_route_table(&self, table: RouteTable) {
        let (version, source_offset) = (table.version, table.source_offset);
        let mut routes = self.routes.lock().expect("no holder panics");
        let before = routes.table().version;
        if !routes.replace(table) {
            return;
        }
        self.put_routes_in_force(routes.table());
        drop(routes);
        log::info!("routes in force version={version} before={before} offset={source_offset}");
        self.notify_gossip();
    }

    /// Installs a whole table that this node has read from the log itself.
    pub(crate) fn install_read_table(&self, table: RouteTable) {
        self.routes_read_here.store(true, Ordering::Relaxed);
        self.install_route_table(table);
    }

    /// Records that the log held no table newer than the applied one at `confirmed_at`.
    pub(crate) fn confirm_routes(&self, confirmed_at: BootInstant) {
        if self.routes().version == 0 {
            return;
        }
        self.route_lease().confirm(confirmed_at);
    }

    /// Returns since when the applied table is not known to be the newest one, for peers.
    pub fn route_confirmation(&self) -> Option<RouteConfirmation> {
        // The version is read after the lease: it may be newer than the confirmed one, not older.
        let age = self.route_lease_age()?;
        Some(RouteConfirmation {
            version: self.routes().version,
            age,
        })
    }

    /// Merges a peer's confirmation. The peer sent it at `sent_at` or later.
    pub fn merge_route_confirmation(&self, confirmation: &RouteConfirmation, sent_at: BootInstant) {
        if confirmation.version > self.routes().version {
            return;
        }
        let sent_at = sent_at.min(BootInstant::now());
        self.confirm_routes(sent_at.saturating_sub(confirmation.age));
    }

    /// Returns the age of the last confirmation of the applied table, if there is one.
    pub fn route_lease_age(&self) -> Option<Duration> {
        self.route_lease().age(BootInstant::now())
    }

    /// Returns the time until this node must ask the log for a newer table.
    pub(crate) fn route_lease_left(&self, spread: f64) -> Duration {
        let node_count = self.view().node_count;
        self.route_lease()
            .time_left(BootInstant::now(), node_count, spread)
    }

    fn route_lease(&self) -> MutexGuard<'_, RouteLease> {
        self.route_lease.lock().expect("no holder panics")
    }

    /// Returns the gossip about the table for a peer that has `version`.
    pub(crate) fn route_gossip_for(&self, version: Option<u64>) -> RouteGossip {
        let confirmed_age = self.route_lease_age();
        let routes = self.routes.lock().expect("no holder panics");
        RouteGossip {
            confirmed_age_ms: confirmed_age.map(|age| age.as_millis() as u64 + 1),
            version: routes.table().version,
            changes: version
                .and_then(|version| routes.changes_after(version, GOSSIP_ROUTE_MAX_COUNT))
                .map(|changes| clone_changes(&changes))
                .unwrap_or_default(),
        }
    }

    /// Applies a peer's gossip about the table; returns whether this node is still behind the peer.
    pub(crate) fn apply_route_gossip(&self, gossip: &RouteGossip) -> bool {
        self.apply_changes(&gossip.changes);
        self.routes().version < gossip.version
    }

    fn apply_changes(&self, changes: &[RouteChange]) {
        let mut routes = self.routes.lock().expect("no holder panics");
        let before = routes.table().version;
        for change in changes {
            routes.apply(change);
        }
        let version = routes.table().version;
        if version > before {
            self.put_routes_in_force(routes.table());
        }
        drop(routes);
        self.routes_read_here.store(false, Ordering::Relaxed);
        if version > before {
            log::info!("routes in force version={version} before={before} from=peer");
            self.notify_gossip();
        }
    }

    /// Returns the route updates for a peer that has `version`.
    pub(crate) fn missing_routes_after(&self, version: u64) -> MissingRoutes {
        let routes = self.routes.lock().expect("no holder panics");
        if version >= routes.table().version {
            return MissingRoutes::Nothing;
        }
        match routes.changes_after(version, routes.table().entry_count()) {
            Some(changes) => MissingRoutes::Changes(clone_changes(&changes)),
            None => MissingRoutes::Table(Box::new(routes.table().as_ref().clone())),
        }
    }

    /// Applies the route updates from a peer.
    pub(crate) fn apply_missing_routes(&self, missing: MissingRoutes) {
        match missing {
            MissingRoutes::Nothing => {}
            MissingRoutes::Changes(changes) => self.apply_changes(&changes),
            MissingRoutes::Table(table) => {
                self.routes_read_here.store(false, Ordering::Relaxed);
                self.install_route_table(*table);
            }
        }
    }

    /// Starts a fetch of missing routes, unless one is in flight. Dropping the guard ends the
    /// fetch.
    pub(crate) fn try_begin_route_fetch(&self) -> Option<RouteFetch<'_>> {
        let started = !self.fetching_routes.swap(true, Ordering::Relaxed);
        started.then_some(RouteFetch { mesh: self })
    }

    /// Returns the version of the table that the peer reported last.
    pub(crate) fn peer_route_version(&self, peer: &NodeId) -> Option<u64> {
        self.progress_of(peer)
            .map(|progress| progress.route_version)
    }

    /// Returns the rank of this node among the live members for reading the log; 0 is first.
    /// Members are ordered by distance to the log, then by link bandwidth, highest first, then by
    /// rendezvous hashing. Returns `None` unless this node is live itself.
    pub(crate) fn log_rank(&self) -> Option<usize> {
        let members = self.members();
        let own = members.own();
        if own.state != MemberState::Live {
            return None;
        }
        let own_order = log_order(own);
        let mut rank = 0;
        for member in members.members() {
            if member.state == MemberState::Live && log_order(member) < own_order {
                rank += 1;
            }
        }
        Some(rank)
    }

    /// Returns the live member of the first rank for reading the log.
    pub(crate) fn first_log_reader(&self) -> Option<Member> {
        let members = self.members();
        members
            .members()
            .filter(|member| member.state == MemberState::Live)
            .min_by_key(|member| log_order(member))
            .cloned()
    }

    /// Replaces the view with one that uses `table`. The caller holds the lock of the table, so
    /// that views are replaced in the order of versions.
    fn put_routes_in_force(&self, table: &RouteTable) {
        log_unknown_kinds(&self.view().routes.unknown_kinds, table);
        let index = Arc::new(RouteIndex::new(table));
        log_shared_keys(&index);
        let fold = self.fold();
        let current = self.view.load();
        let mut next = current.rebuilt(&fold, None);
        next.routes = index;
        self.swap_view(&fold, &current, next);
    }
}

/// Returns the key that orders members for reading the log.
pub(super) fn log_order(member: &Member) -> (u64, Reverse<u32>, Reverse<u64>) {
    let distance = member.log_round_trip_ms / LOG_DISTANCE_STEP_MS;
    let weight = rendezvous_weight("routes", &member.node_id.0);
    (distance, Reverse(member.link_mbps), Reverse(weight))
}

/// Guard of a fetch of missing routes, which is in flight until the guard is dropped.
pub(crate) struct RouteFetch<'a> {
    mesh: &'a Mesh,
}

impl Drop for RouteFetch<'_> {
    fn drop(&mut self) {
        self.mesh.fetching_routes.store(false, Ordering::Relaxed);
    }
}

/// Logs the customers that share keys. Requests with such keys are refused.
fn log_shared_keys(index: &RouteIndex) {
    let Some(customers) = &index.customers else {
        return;
    };
    let sharing = customers.customers_with_shared_keys();
    if sharing.is_empty() {
        return;
    }
    let named = &sharing[..sharing.len().min(SHARED_KEY_NAME_MAX_COUNT)];
    log::warn!(
        "keys held by several customers version={} keys={} customers={}",
        index.version,
        customers.shared_key_count(),
        named.join(","),
    );
}

/// Logs the routes of `table` whose kind this build does not know, unless they are in `logged`.
fn log_unknown_kinds(logged: &BTreeMap<String, String>, table: &RouteTable) {
    let mut new_count = 0;
    for (route, kind) in table.unknown_kinds() {
        if logged.get(route).is_some_and(|known| known == kind) {
            continue;
        }
        new_count += 1;
        if new_count <= UNKNOWN_KIND_LINE_MAX_COUNT {
            log::warn!("route of unknown kind route={route} kind={kind:?} handled=at-most-once");
        }
    }
    if new_count > UNKNOWN_KIND_LINE_MAX_COUNT {
        log::warn!(
            "further routes of unknown kind version={} count={}",
            table.version,
            new_count - UNKNOWN_KIND_LINE_MAX_COUNT
        );
    }
}

fn clone_changes(changes: &[Arc<RouteChange>]) -> Vec<RouteChange> {
    let mut list = Vec::with_capacity(changes.len());
    for change in changes {
        list.push(change.as_ref().clone());
    }
    list
}
