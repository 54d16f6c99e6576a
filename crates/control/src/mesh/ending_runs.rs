//! Ending runs of targets: what this node and its peers know of them, and who else holds what this
//! node acknowledged.
//!
//! A node that starts again knows nothing of what its predecessor acknowledged. So an
//! acknowledgement waits until peers and the platform's log hold the report too, and the node waits
//! for one of them before it believes an announcement.

use std::sync::Mutex;
use std::time::Instant;

use figway_membership::{
    is_replicated,
    EndingRunBatch,
    EndingRuns, //
};
use figway_types::{
    EndingRun,
    FastMap,
    FastSet,
    NodeId,
    RunStage,
    Target, //
};
use tokio::sync::watch;

use super::feed::FeedProgress;
use super::Mesh;
use crate::rpc::{
    FeedAck,
    FeedRange,
    Gossip, //
};

/// Largest number of runs in one message.
const RUN_MAX_COUNT: usize = 64;

/// Feed of ending runs to and from the peers.
#[derive(Default)]
pub(super) struct RunFeed {
    progress: Mutex<FastMap<NodeId, FeedProgress>>,
    /// Number of the last run that this node ended itself.
    own_sequence: Mutex<u64>,
    /// Changes whenever a peer has sent its gossip.
    acks: watch::Sender<u64>,
    /// Changes whenever a peer told something new of the target beside this node.
    own_changes: watch::Sender<u64>,
}

/// Runs for a peer, with their place among those that this node knows.
#[derive(Debug, Default)]
pub(super) struct RunNews {
    pub(super) batch: EndingRunBatch,
    pub(super) range: Option<FeedRange>,
    pub(super) ack: Option<FeedAck>,
}

impl Mesh {
    /// Records that a run of the target beside this node has reached a stage of its end. Peers are
    /// told at once.
    pub fn end_own_run(&self, instance: &str, started_at_ms: u64, stage: RunStage) {
        let mut members = self.members();
        let own_id = members.own().node_id.clone();
        let report = EndingRuns::new_report(&own_id, instance, started_at_ms, stage);
        if !members.merge_ending_run(&report, Instant::now()) {
            return;
        }
        let sequence = members.ending_runs().last_sequence();
        drop(members);
        log_ending_run(&report, &own_id);
        let mut own_sequence = self.run_feed.own_sequence.lock().expect("no holder panics");
        *own_sequence = sequence;
        drop(own_sequence);
        self.run_records.request();
        self.notify_member_changes();
    }

    /// Records that a run of the target beside a peer stated in an answer that it is leaving.
    pub fn learn_draining(&self, peer: &NodeId, instance: &str, started_at_ms: u64) {
        let report = EndingRuns::new_report(peer, instance, started_at_ms, RunStage::Draining);
        self.merge_ending_runs(peer, &[report]);
    }

    /// Returns the number of ending runs that this node knows.
    pub fn ending_run_count(&self) -> usize {
        self.members().ending_runs().count()
    }

    /// Returns the stage of its end that a run of the target beside this node has reached, or `None`
    /// if it is ready as far as this node knows.
    pub fn own_run_stage(&self, target: &Target) -> Option<RunStage> {
        let members = self.members();
        members.ending_runs().stage(&members.own().node_id, target)
    }

    /// Returns a watch that changes whenever a peer told something new of the target beside this node.
    pub fn watch_own_runs(&self) -> watch::Receiver<u64> {
        self.run_feed.own_changes.subscribe()
    }

    /// Waits until the end of this node, or of all nodes at once, would not lose what is known of the
    /// end of the instance beside this node. Returns whether that is so at the deadline.
    pub async fn wait_until_kept(&self, instance: &str, deadline: Instant) -> bool {
        let replicated = self.wait_until_replicated(instance, deadline);
        let recorded = self.wait_until_recorded(instance, deadline);
        let (is_replicated, is_recorded) = tokio::join!(replicated, recorded);
        if !is_replicated || !is_recorded {
            log::warn!(
                "end of a run is not kept yet instance={instance} replicated={is_replicated} \
                 recorded={is_recorded}"
            );
        }
        is_replicated && is_recorded
    }

    /// Waits until enough peers hold what is known of the end of the instance beside this node. Returns
    /// whether at least one holds it at the deadline, or no peer could hold it.
    pub async fn wait_until_replicated(&self, instance: &str, deadline: Instant) -> bool {
        let mut acks = self.run_feed.acks.subscribe();
        loop {
            acks.borrow_and_update();
            let Some(holders) = self.holders_of(instance) else {
                return true;
            };
            if self.are_enough(&holders) {
                return true;
            }
            let changed = tokio::time::timeout_at(deadline.into(), acks.changed()).await;
            if changed.is_err() {
                return !holders.is_empty() || !self.has_possible_holder();
            }
        }
    }

    /// Returns the ending runs for a peer, and counts them as sent.
    pub(super) fn ending_runs_for(&self, receiver: &NodeId) -> RunNews {
        if !self.holds_ending_runs(receiver) {
            return RunNews::default();
        }
        let members = self.members();
        let runs = members.ending_runs();
        let mut all = self.run_feed.progress.lock().expect("no holder panics");
        let progress = all.entry(receiver.clone()).or_default();
        let ack = progress.ack();
        if progress.acked() >= runs.last_sequence() {
            return RunNews {
                ack,
                ..RunNews::default()
            };
        }
        let batch = runs.changes_after(progress.acked(), RUN_MAX_COUNT, Instant::now());
        RunNews {
            range: Some(progress.send_up_to(self.feed_epoch, batch.last_sequence)),
            batch,
            ack,
        }
    }

    /// Merges the ending runs in a peer's gossip, and what it acknowledges of those that this node
    /// knows.
    pub(super) fn merge_run_feed(&self, sender: &NodeId, gossip: &Gossip) {
        self.merge_ending_runs(sender, &gossip.ending_runs);
        let mut all = self.run_feed.progress.lock().expect("no holder panics");
        let progress = all.entry(sender.clone()).or_default();
        progress.receive(self.feed_epoch, gossip.run_ack, gossip.run_range);
        drop(all);
        self.run_feed.acks.send_modify(|count| *count += 1);
    }

    /// Returns whether there are ending runs that were not sent to the peer yet.
    pub(super) fn has_ending_runs_for(&self, peer: &NodeId) -> bool {
        let last_sequence = self.members().ending_runs().last_sequence();
        self.lacks_runs_up_to(peer, last_sequence)
    }

    /// Returns whether there are runs that this node ended itself and has not sent to the peer yet.
    pub(super) fn has_own_runs_for(&self, peer: &NodeId) -> bool {
        let own_sequence = *self.run_feed.own_sequence.lock().expect("no holder panics");
        self.lacks_runs_up_to(peer, own_sequence)
    }

    pub(super) fn merge_ending_runs(&self, sender: &NodeId, reports: &[EndingRun]) {
        if reports.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut members = self.members();
        let own_id = members.own().node_id.clone();
        let mut own_changed = false;
        for report in reports {
            if !members.merge_ending_run(report, now) {
                continue;
            }
            log_ending_run(report, sender);
            own_changed |= report.node_id == own_id;
        }
        drop(members);
        self.notify_member_changes();
        if own_changed {
            self.run_feed.own_changes.send_modify(|count| *count += 1);
            self.run_records.request();
        }
    }

    /// Returns the peers that have acknowledged the last report on the instance of this node's target,
    /// or `None` if there is no report.
    fn holders_of(&self, instance: &str) -> Option<FastSet<NodeId>> {
        let members = self.members();
        let own_id = &members.own().node_id;
        let sequence = members.ending_runs().sequence_of(own_id, instance)?;
        drop(members);
        let mut holders = FastSet::default();
        let all = self.run_feed.progress.lock().expect("no holder panics");
        for (peer, progress) in all.iter() {
            if progress.acked() >= sequence {
                holders.insert(peer.clone());
            }
        }
        Some(holders)
    }

    fn are_enough(&self, holders: &FastSet<NodeId>) -> bool {
        let members = self.members();
        is_replicated(members.own(), members.members(), holders)
    }

    /// Returns whether the peer should be sent runs up to `sequence` and was not yet.
    fn lacks_runs_up_to(&self, peer: &NodeId, sequence: u64) -> bool {
        let all = self.run_feed.progress.lock().expect("no holder panics");
        let sent = all.get(peer).map_or(0, FeedProgress::sent);
        drop(all);
        sent < sequence && self.holds_ending_runs(peer)
    }
}

fn log_ending_run(report: &EndingRun, from: &NodeId) {
    log::info!(
        "run is ending node={} instance={} started_at_ms={} stage={:?} from={from}",
        report.node_id,
        report.instance,
        report.started_at_ms,
        report.stage,
    );
}
