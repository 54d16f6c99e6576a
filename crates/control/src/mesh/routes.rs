//! The route table on this node: applied, put in force, and handed to peers.

use figway_profile::{
    RouteIndex,
    RouteTable, //
};
use figway_types::{
    rendezvous_weight,
    MemberState,
    NodeId, //
};
use std::sync::Arc;

use super::Mesh;
use crate::rpc::{
    MissingRoutes,
    RouteNews, //
};

/// Nodes whose ways to the log differ by less than this are equally near.
const LOG_DISTANCE_STEP_MS: u64 = 8;

impl Mesh {
    /// Returns the applied route table.
    pub fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(self.routes.lock().expect("no holder panics").table())
    }

    /// Takes a whole table over, if it is newer than what was applied, and puts it in force.
    pub fn adopt_routes(&self, table: RouteTable) {
        let (version, source_offset) = (table.version, table.source_offset);
        let mut routes = self.routes.lock().expect("no holder panics");
        let before = routes.table().version;
        if !routes.adopt(table) {
            return;
        }
        self.install_routes(routes.table());
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
                .and_then(|version| routes.changes_after(version))
                .unwrap_or_default()
                .iter()
                .map(|change| change.as_ref().clone())
                .collect(),
        }
    }

    /// Applies what a peer told of the table; returns whether this node still lacks some of it.
    pub(crate) fn take_route_news(&self, news: &RouteNews) -> bool {
        let mut routes = self.routes.lock().expect("no holder panics");
        let before = routes.table().version;
        for change in &news.changes {
            routes.apply(change);
        }
        let version = routes.table().version;
        if version > before {
            self.install_routes(routes.table());
        }
        drop(routes);
        if version > before {
            log::info!("routes in force version={version} before={before} from=peer");
            self.note_news();
        }
        version < news.version
    }

    /// Returns what a peer that has `version` lacks.
    pub(crate) fn missing_routes_after(&self, version: u64) -> MissingRoutes {
        let routes = self.routes.lock().expect("no holder panics");
        if version >= routes.table().version {
            return MissingRoutes::Nothing;
        }
        MissingRoutes::Table(Box::new(routes.table().as_ref().clone()))
    }

    /// Takes in what a peer handed over.
    pub(crate) fn take_missing_routes(&self, missing: MissingRoutes) {
        match missing {
            MissingRoutes::Nothing => {}
            MissingRoutes::Table(table) => self.adopt_routes(*table),
        }
    }

    /// Returns the version that a peer is known to have.
    pub(crate) fn peer_route_version(&self, peer: &NodeId) -> Option<u64> {
        self.heard(peer).map(|heard| heard.route_version)
    }

    /// Returns how many live members come before this node among those that read the log: nearer
    /// ones first, equally near ones by rendezvous hash; `None` unless this node is live itself.
    pub(crate) fn log_rank(&self) -> Option<usize> {
        let members = self.members();
        let own = members.own();
        if own.state != MemberState::Live {
            return None;
        }
        let place = |member: &figway_types::Member| {
            let distance = member.log_round_trip_ms / LOG_DISTANCE_STEP_MS;
            let weight = rendezvous_weight("routes", &member.node_id.0);
            (distance, std::cmp::Reverse(weight))
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
    fn install_routes(&self, table: &RouteTable) {
        let index = Arc::new(RouteIndex::new(table));
        let fold = self.fold();
        let current = self.view.load();
        let mut next = current.next(&fold, None);
        next.routes = index;
        self.swap_view(&fold, &current, next);
    }
}
