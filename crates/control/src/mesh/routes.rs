//! The route table on this node: applied, put in force, and handed to peers.

use figway_profile::{
    RouteChange,
    RouteIndex,
    RouteTable, //
};
use figway_types::{
    rendezvous_weight,
    MemberState,
    NodeId, //
};
use std::cmp::Reverse;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::Mesh;
use crate::rpc::{
    MissingRoutes,
    RouteNews, //
};

/// Routes that a message of news carries as changes at most. A larger change is pulled over one link
/// instead of coming over each.
const NEWS_CHANGED_MAX_COUNT: usize = 24;

/// Nodes whose ways to the log differ by less than this are equally near.
const LOG_DISTANCE_STEP_MS: u64 = 8;

impl Mesh {
    /// Returns the applied route table.
    pub fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(self.routes.lock().expect("no holder panics").table())
    }

    /// Takes a whole table over, if it is newer than what was applied, and puts it in force.
    pub fn install_route_table(&self, table: RouteTable) {
        let (version, source_offset) = (table.version, table.source_offset);
        let mut routes = self.routes.lock().expect("no holder panics");
        let before = routes.table().version;
        if !routes.adopt(table) {
            return;
        }
        self.put_routes_in_force(routes.table());
        drop(routes);
        log::info!("routes in force version={version} before={before} offset={source_offset}");
        self.note_news();
    }

    /// Returns what a peer that has `version` is told of the table.
    pub(crate) fn route_news_for(&self, version: Option<u64>) -> RouteNews {
        let routes = self.routes.lock().expect("no holder panics");
        RouteNews {
            version: routes.table().version,
            changes: version
                .and_then(|version| routes.changes_after(version, NEWS_CHANGED_MAX_COUNT))
                .map(|changes| owned(&changes))
                .unwrap_or_default(),
        }
    }

    /// Applies what a peer told of the table; returns whether this node still lacks some of it.
    pub(crate) fn take_route_news(&self, news: &RouteNews) -> bool {
        self.apply_changes(&news.changes);
        self.routes().version < news.version
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
        if version > before {
            log::info!("routes in force version={version} before={before} from=peer");
            self.note_news();
        }
    }

    /// Returns what a peer that has `version` lacks.
    pub(crate) fn missing_routes_after(&self, version: u64) -> MissingRoutes {
        let routes = self.routes.lock().expect("no holder panics");
        if version >= routes.table().version {
            return MissingRoutes::Nothing;
        }
        match routes.changes_after(version, routes.table().routes.len()) {
            Some(changes) => MissingRoutes::Changes(owned(&changes)),
            None => MissingRoutes::Table(Box::new(routes.table().as_ref().clone())),
        }
    }

    /// Takes in what a peer handed over.
    pub(crate) fn take_missing_routes(&self, missing: MissingRoutes) {
        match missing {
            MissingRoutes::Nothing => {}
            MissingRoutes::Changes(changes) => self.apply_changes(&changes),
            MissingRoutes::Table(table) => self.install_route_table(*table),
        }
    }

    /// Starts a fetch of missing routes, unless one is under way.
    pub(crate) fn begin_route_fetch(&self) -> Option<RouteFetch<'_>> {
        let started = !self.fetching_routes.swap(true, Ordering::Relaxed);
        started.then_some(RouteFetch { mesh: self })
    }

    /// Returns the version that a peer is known to have.
    pub(crate) fn peer_route_version(&self, peer: &NodeId) -> Option<u64> {
        self.heard(peer).map(|heard| heard.route_version)
    }

    /// Returns how many live members come before this node among those that read the log: nearer
    /// ones first, of equally near ones those with the widest link, then by rendezvous hash; `None`
    /// unless this node is live itself.
    pub(crate) fn log_rank(&self) -> Option<usize> {
        let members = self.members();
        let own = members.own();
        if own.state != MemberState::Live {
            return None;
        }
        let place = |member: &figway_types::Member| {
            let distance = member.log_round_trip_ms / LOG_DISTANCE_STEP_MS;
            let weight = rendezvous_weight("routes", &member.node_id.0);
            (distance, Reverse(member.link_mbps), Reverse(weight))
        };
        let own_place = place(own);
        let mut rank = 0;
        for member in members.members() {
            if member.state == MemberState::Live && place(member) < own_place {
                rank += 1;
            }
        }
        Some(rank)
    }

    /// The table stays locked, so that views are swapped in the order of versions.
    fn put_routes_in_force(&self, table: &RouteTable) {
        let index = Arc::new(RouteIndex::new(table));
        let fold = self.fold();
        let current = self.view.load();
        let mut next = current.rebuilt(&fold, None);
        next.routes = index;
        self.swap_view(&fold, &current, next);
    }
}

/// A fetch of missing routes, under way until dropped.
pub(crate) struct RouteFetch<'a> {
    mesh: &'a Mesh,
}

impl Drop for RouteFetch<'_> {
    fn drop(&mut self) {
        self.mesh.fetching_routes.store(false, Ordering::Relaxed);
    }
}

fn owned(changes: &[Arc<RouteChange>]) -> Vec<RouteChange> {
    let mut list = Vec::with_capacity(changes.len());
    for change in changes {
        list.push(change.as_ref().clone());
    }
    list
}
