//! Ending runs of targets: what this node and its peers know of them, and who else holds what this
//! node acknowledged.
//!
//! A node that starts again knows nothing of what its predecessor acknowledged. So an
//! acknowledgement waits until peers hold the report too, peers tell a node with their first message
//! what they know of the target beside it, and the node waits for that message before it believes an
//! announcement.

use std::sync::Mutex;
use std::time::{
    Duration,
    Instant, //
};

use figway_membership::{
    is_replicated,
    EndingRunBatch,
    EndingRuns, //
};
use figway_types::{
    EndingRun,
    FastMap,
    FastSet,
    Member,
    MemberState,
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
    Gossip,
    Hello, //
};

/// Largest number of runs in one message.
const RUN_MAX_COUNT: usize = 64;

/// Longest wait of a node that has just started for its first peers. Its target gives an announcement
/// up after 1 s.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of peers that a node that has just started waits for.
const INTRODUCTION_COUNT: usize = 2;

/// Feed of ending runs to and from the peers.
pub(super) struct RunFeed {
    progress: Mutex<FastMap<NodeId, FeedProgress>>,
    /// Number of the last run that this node ended itself.
    own_sequence: Mutex<u64>,
    /// Changes whenever a peer has sent its gossip.
    acks: watch::Sender<u64>,
    /// Changes whenever a peer told something new of the target beside this node.
    own_changes: watch::Sender<u64>,
    /// Peers that have introduced themselves by a handshake, and whether their build holds ending runs.
    introduced: watch::Sender<FastMap<NodeId, bool>>,
    /// Time until which announcements wait for introductions.
    introductions_until: Instant,
}

impl RunFeed {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            progress: Mutex::default(),
            own_sequence: Mutex::default(),
            acks: watch::Sender::new(0),
            own_changes: watch::Sender::new(0),
            introduced: watch::Sender::default(),
            introductions_until: now + INTRODUCTION_TIMEOUT,
        }
    }
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

    /// Waits until peers have told what they know of the target beside this node, but not longer than
    /// shortly after the start of the process.
    pub async fn wait_for_introductions(&self) {
        let mut introduced = self.run_feed.introduced.subscribe();
        loop {
            let introduced_count = introduced.borrow_and_update().len();
            let other_count = self.members().present_count() - 1;
            if introduced_count > 0 && introduced_count >= INTRODUCTION_COUNT.min(other_count) {
                return;
            }
            let until = self.run_feed.introductions_until;
            let changed = tokio::time::timeout_at(until.into(), introduced.changed()).await;
            if changed.is_err() {
                return;
            }
        }
    }

    /// Merges the handshake message of a peer.
    pub(crate) fn merge_hello(&self, hello: &Hello) {
        let peer = &hello.member.node_id;
        self.merge_ending_runs(peer, &hello.ending_runs);
        self.merge_members(std::slice::from_ref(&hello.member));
        self.run_feed.introduced.send_modify(|introduced| {
            introduced.insert(peer.clone(), hello.holds_ending_runs);
        });
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

    fn merge_ending_runs(&self, sender: &NodeId, reports: &[EndingRun]) {
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

    /// Returns whether a peer could hold a report: one that is linked and of a build that does, or one
    /// that is known but out of reach.
    fn has_possible_holder(&self) -> bool {
        let members = self.members();
        let own_id = &members.own().node_id;
        let is_peer =
            |member: &Member| member.node_id != *own_id && member.state != MemberState::Left;
        let introduced = self.run_feed.introduced.borrow();
        let mut has_earlier_build = false;
        let mut has_peer = false;
        for member in members.members().filter(|member| is_peer(member)) {
            has_peer = true;
            match introduced.get(&member.node_id) {
                Some(true) => return true,
                Some(false) => has_earlier_build = true,
                None => {}
            }
        }
        has_peer && !has_earlier_build
    }

    /// Returns whether the peer's build holds ending runs. An earlier one would never acknowledge any.
    fn holds_ending_runs(&self, peer: &NodeId) -> bool {
        self.run_feed.introduced.borrow().get(peer) == Some(&true)
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
