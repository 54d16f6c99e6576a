//! What nodes tell each other: news, members, and how fresh the region's view of the log is.

use std::sync::atomic::Ordering;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    rendezvous_weight,
    Member,
    MemberState,
    NodeId,
    Offset, //
};

use super::{
    Mesh,
    PeerHeard, //
};
use crate::rpc::News;

/// Rumours that one message carries at most.
const RUMOUR_MAX_COUNT: usize = 16;

/// Nodes, first in rank at the log, that tell their peers of routes at once.
const ROUTE_TELLER_COUNT: usize = 2;

/// Crash reports that one message carries at most.
const CRASH_MAX_COUNT: usize = 16;

impl Mesh {
    /// Notes whether this node follows the log itself.
    pub(crate) fn set_reads_log(&self, reads_log: bool) {
        self.reads_log.store(reads_log, Ordering::Relaxed);
    }

    /// Returns whether news come to this node from elsewhere than its peers: it follows the log
    /// itself.
    pub(crate) fn begins_news(&self) -> bool {
        self.reads_log.load(Ordering::Relaxed)
            || self
                .log_rank()
                .is_some_and(|rank| rank < ROUTE_TELLER_COUNT)
    }

    /// Notes until when the region's view of the log's head is fresh.
    pub fn extend_head_fresh(&self, fresh_until: Instant) {
        let mut current = self.head_fresh_until.lock().expect("no holder panics");
        *current = (*current).max(fresh_until);
    }

    /// Returns until when the region's view of the log's head is fresh.
    pub fn head_fresh_until(&self) -> Instant {
        *self.head_fresh_until.lock().expect("no holder panics")
    }

    /// Returns the offset that a peer is known to have.
    pub fn peer_offset(&self, peer: &NodeId) -> Offset {
        self.heard(peer)
            .map_or(Offset(0), |heard| heard.applied_offset)
    }

    /// Notes how long a connection to a peer of `zone` took to open, which is one way there and back.
    pub(crate) fn note_round_trip(&self, zone: &str, took: Duration) {
        let took_us = took.as_secs_f64() * 1e6;
        let mut round_trips_us = self.round_trips_us.lock().expect("no holder panics");
        let known_us = round_trips_us.entry(zone.to_owned()).or_insert(took_us);
        *known_us = known_us.min(took_us);
    }

    /// Returns what this node has heard, for `receiver`.
    pub(crate) fn news_for(&self, receiver: &NodeId) -> News {
        let now = Instant::now();
        let heard_digest = self.heard(receiver).map(|heard| heard.member_digest);
        let mut members = self.members();
        let rumours = members.take_pending_updates(receiver, heard_digest, RUMOUR_MAX_COUNT);
        let member_digest = members.digest().total();
        let member_count = members.present_count();
        drop(members);
        let head_left = self.head_fresh_until().saturating_duration_since(now);
        News {
            applied_offset: self.applied_offset(),
            head_left_ms: head_left.as_millis() as u64,
            member_digest,
            member_count,
            rumours,
            crashes: self.quarantine().reports(CRASH_MAX_COUNT, now),
            routes: self.route_news_for(self.peer_route_version(receiver)),
        }
    }

    /// Returns whether `peer` is to be told of something that it is not known to have.
    pub(crate) fn has_news_for(&self, peer: &NodeId) -> bool {
        let Some(heard) = self.heard(peer) else {
            return true;
        };
        if heard.applied_offset < self.applied_offset()
            || heard.route_version < self.routes().version
        {
            return true;
        }
        let members = self.members();
        members.has_pending_updates() && heard.member_digest != members.digest().total()
    }

    /// Takes in what `sender` has heard; `same_region` says whether its view of the head counts.
    /// Returns whether this node still lacks some of the sender's routes.
    pub(crate) fn take_news(&self, sender: &NodeId, news: &News, same_region: bool) -> bool {
        let now = Instant::now();
        let heard = PeerHeard {
            applied_offset: news.applied_offset,
            route_version: news.routes.version,
            member_digest: news.member_digest,
        };
        self.peers
            .lock()
            .expect("no holder panics")
            .insert(sender.clone(), heard);
        if same_region {
            self.extend_head_fresh(now + Duration::from_millis(news.head_left_ms));
        }
        self.merge_members(&news.rumours);
        let mut quarantine = self.quarantine();
        for report in &news.crashes {
            quarantine.merge(report, now);
        }
        drop(quarantine);
        self.take_route_news(&news.routes)
    }

    /// Returns how many live members that match `within` come before this node for `key`, by
    /// rendezvous hash; `None` unless this node is live itself.
    pub(crate) fn own_rank(&self, key: &str, within: &dyn Fn(&Member) -> bool) -> Option<usize> {
        let members = self.members();
        let own = members.own();
        if own.state != MemberState::Live {
            return None;
        }
        let own_weight = rendezvous_weight(key, &own.node_id.0);
        let mut rank = 0;
        for member in members.members() {
            if member.state != MemberState::Live || !within(member) {
                continue;
            }
            if rendezvous_weight(key, &member.node_id.0) > own_weight {
                rank += 1;
            }
        }
        Some(rank)
    }

    /// Merges reports about members.
    pub fn merge_members(&self, reports: &[Member]) {
        let now = Instant::now();
        let mut members = self.members();
        for report in reports {
            members.merge(report, now);
        }
        drop(members);
        self.notify_member_changes();
    }

    /// Notes that a path to a node failed.
    pub fn suspect(&self, node_id: &NodeId, why: &str) {
        log::info!("member suspected node={node_id} why={why}");
        self.members().suspect(node_id, Instant::now());
        self.notify_member_changes();
    }

    pub(super) fn heard(&self, peer: &NodeId) -> Option<PeerHeard> {
        self.peers
            .lock()
            .expect("no holder panics")
            .get(peer)
            .copied()
    }
}
