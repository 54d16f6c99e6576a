//! Gossip between nodes: applied offsets and route versions, members, crash reports, and how fresh
//! the region's view of the log is. Log lines contain the path of this module, so its name
//! must not change.

use std::sync::atomic::Ordering;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    deadline_after_ms,
    rendezvous_weight,
    Member,
    MemberState,
    NodeId,
    Offset, //
};

use super::{
    Mesh,
    PeerProgress, //
};
use crate::rpc::Gossip;

/// Largest number of changed members in one message.
const MEMBER_UPDATE_MAX_COUNT: usize = 16;

/// Number of nodes, by their rank at the log, that push new routes to their peers at once.
const ROUTE_PUSHER_COUNT: usize = 2;

impl Mesh {
    /// Records whether this node reads the log itself.
    pub(crate) fn set_reads_log(&self, reads_log: bool) {
        self.reads_log.store(reads_log, Ordering::Relaxed);
    }

    /// Returns whether updates reach this node from the log before they reach its peers: it reads
    /// the change stream, it follows the route table, or it has just read that itself.
    pub(crate) fn is_gossip_origin(&self) -> bool {
        self.reads_log.load(Ordering::Relaxed)
            || self.routes_read_here.load(Ordering::Relaxed)
            || self
                .log_rank()
                .is_some_and(|rank| rank < ROUTE_PUSHER_COUNT)
    }

    /// Extends the time until which the region's view of the log's head is fresh.
    pub fn extend_head_fresh(&self, fresh_until: Instant) {
        let mut current = self.head_fresh_until.lock().expect("no holder panics");
        *current = (*current).max(fresh_until);
    }

    /// Returns the time until which the region's view of the log's head is fresh.
    pub fn head_fresh_until(&self) -> Instant {
        *self.head_fresh_until.lock().expect("no holder panics")
    }

    /// Returns the applied offset that the peer reported last; 0 if none.
    pub fn peer_offset(&self, peer: &NodeId) -> Offset {
        self.progress_of(peer)
            .map_or(Offset(0), |progress| progress.applied_offset)
    }

    /// Records how long a connection to a peer in `zone` took to open, which is one round trip. The
    /// shortest one is kept.
    pub(crate) fn record_round_trip(&self, zone: &str, took: Duration) {
        let took_us = took.as_secs_f64() * 1e6;
        let mut round_trips_us = self.round_trips_us.lock().expect("no holder panics");
        let known_us = round_trips_us.entry(zone.to_owned()).or_insert(took_us);
        *known_us = known_us.min(took_us);
    }

    /// Returns the gossip for `receiver`.
    pub(crate) fn gossip_for(&self, receiver: &NodeId) -> Gossip {
        let now = Instant::now();
        let known_digest = self
            .progress_of(receiver)
            .map(|progress| progress.member_digest);
        let mut members = self.members();
        let mut updates =
            members.take_pending_updates(receiver, known_digest, MEMBER_UPDATE_MAX_COUNT);
        let member_digest = members.digest().total();
        let member_count = members.present_count();
        drop(members);
        self.add_own_target(receiver, &mut updates);
        let reports = self.reports_for(receiver);
        let runs = self.ending_runs_for(receiver);
        let rollouts = self.rollouts_for(receiver);
        let head_left = self.head_fresh_until().saturating_duration_since(now);
        Gossip {
            applied_offset: self.applied_offset(),
            head_left_ms: head_left.as_millis() as u64,
            member_digest,
            member_count,
            rumours: updates,
            crashes: reports.batch.crashes,
            survivals: reports.batch.survivals,
            withdrawals: reports.batch.withdrawals,
            report_range: reports.range,
            report_ack: reports.ack,
            ending_runs: runs.batch.runs,
            run_range: runs.range,
            run_ack: runs.ack,
            rollouts: rollouts.states,
            rollout_range: rollouts.range,
            rollout_ack: rollouts.ack,
            routes: self.route_gossip_for(self.peer_route_version(receiver)),
        }
    }

    /// Returns whether this node has an update that `peer` has not reported to have.
    pub(crate) fn has_updates_for(&self, peer: &NodeId) -> bool {
        let Some(progress) = self.progress_of(peer) else {
            return true;
        };
        if progress.applied_offset < self.applied_offset()
            || progress.route_version < self.routes().version
            || self.has_reports_for(peer)
            || self.has_ending_runs_for(peer)
            || self.has_rollouts_for(peer)
        {
            return true;
        }
        let members = self.members();
        members.has_pending_updates() && progress.member_digest != members.digest().total()
    }

    /// Returns whether this node observed something itself that it has not sent to the peer yet.
    pub(crate) fn has_own_news_for(&self, peer: &NodeId) -> bool {
        self.has_own_reports_for(peer)
            || self.has_own_runs_for(peer)
            || self.has_own_rollouts_for(peer)
            || self.has_own_target_for(peer)
    }

    /// Merges gossip from `sender`. Its view of the log's head counts from `head_from`, the earliest
    /// time at which the gossip can have been written, and only if that is given. Returns whether
    /// this node still lacks some of the sender's routes.
    pub(crate) fn merge_gossip(
        &self,
        sender: &NodeId,
        gossip: &Gossip,
        head_from: Option<Instant>,
    ) -> bool {
        let progress = PeerProgress {
            applied_offset: gossip.applied_offset,
            route_version: gossip.routes.version,
            member_digest: gossip.member_digest,
        };
        self.peer_progress
            .lock()
            .expect("no holder panics")
            .insert(sender.clone(), progress);
        self.adopt_empty_era(gossip.applied_offset);
        // A peer whose own view is stale says nothing about the head.
        let head_left_ms = Some(gossip.head_left_ms).filter(|left_ms| *left_ms > 0);
        if let (Some(head_from), Some(head_left_ms)) = (head_from, head_left_ms) {
            self.extend_head_fresh(deadline_after_ms(head_from, head_left_ms));
        }
        self.merge_members(&gossip.rumours);
        self.merge_reports(sender, gossip);
        self.merge_run_feed(sender, gossip);
        self.merge_rollouts(sender, gossip);
        self.apply_route_gossip(&gossip.routes)
    }

    /// Returns the rank of this node for `key`, by rendezvous hashing among the live members that
    /// match `within`; 0 is first. Returns `None` unless this node is live itself.
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

    /// Merges reports about members into the member table.
    pub fn merge_members(&self, reports: &[Member]) {
        let now = Instant::now();
        let mut members = self.members();
        for report in reports {
            members.merge(report, now);
        }
        drop(members);
        self.notify_member_changes();
    }

    /// Marks a node as suspect after a connection to it failed.
    pub fn suspect(&self, node_id: &NodeId, why: &str) {
        log::info!("member suspected node={node_id} why={why}");
        self.members().suspect(node_id, Instant::now());
        self.notify_member_changes();
    }

    pub(super) fn progress_of(&self, peer: &NodeId) -> Option<PeerProgress> {
        self.peer_progress
            .lock()
            .expect("no holder panics")
            .get(peer)
            .copied()
    }
}
