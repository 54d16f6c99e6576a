//! Rollouts that this node knows, and which of them each peer has.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::Instant;

use figway_log_client::OrderRecord;
use figway_rollout::{
    EvidenceReport,
    Phase,
    Rollout,
    RolloutBook,
    RolloutState,
    RunSample,
    ServiceVersions,
    WaitingOrder,
    WaitingOrders, //
};
use figway_types::{
    FastMap,
    NodeId,
    Offset,
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

/// Largest number of rollouts in one message.
const ROLLOUT_MAX_COUNT: usize = 64;

/// Rollouts that this node knows, and the progress of their exchange with each peer.
#[derive(Debug)]
pub(super) struct RolloutFeed {
    book: Mutex<RolloutBook>,
    /// Orders for services that the configuration does not contain.
    waiting: Mutex<WaitingOrders>,
    progress: Mutex<FastMap<NodeId, FeedProgress>>,
    /// Number of the last change that this node made itself.
    own_sequence: Mutex<u64>,
    changes: watch::Sender<u64>,
    /// Whether any rollout is known.
    has_rollouts: AtomicBool,
}

impl Default for RolloutFeed {
    fn default() -> Self {
        Self {
            book: Mutex::default(),
            waiting: Mutex::default(),
            progress: Mutex::default(),
            own_sequence: Mutex::default(),
            changes: watch::Sender::new(0),
            has_rollouts: AtomicBool::new(false),
        }
    }
}

/// Rollouts for a peer, with their place among all that this node knows.
#[derive(Debug, Default)]
pub(super) struct RolloutNews {
    pub(super) states: Vec<RolloutState>,
    pub(super) range: Option<FeedRange>,
    pub(super) ack: Option<FeedAck>,
}

impl Mesh {
    /// Locks the rollouts.
    pub fn rollouts(&self) -> MutexGuard<'_, RolloutBook> {
        self.rollout_feed.book.lock().expect("no holder panics")
    }

    /// Returns whether any rollout is known, without a lock.
    pub fn has_rollouts(&self) -> bool {
        self.rollout_feed.has_rollouts.load(Ordering::Acquire)
    }

    /// Returns a watch that changes whenever a rollout does.
    pub(crate) fn watch_rollouts(&self) -> watch::Receiver<u64> {
        self.rollout_feed.changes.subscribe()
    }

    /// Records orders that were read from the log. `fresh` says whether they were read as they were
    /// written. Peers are notified at once. An order for a service that the configuration does not
    /// contain waits until it does.
    pub fn record_orders(&self, orders: &[OrderRecord], fresh: bool) {
        for record in orders {
            let waiting = WaitingOrder {
                order: record.order.clone(),
                offset: record.offset,
                fresh,
                read_at: Instant::now(),
            };
            if self.routes().services.contains_key(&record.order.service) {
                self.record_order(&waiting);
                continue;
            }
            let order = &record.order;
            if self.waiting_orders().keep(waiting) {
                log::warn!(
                    "rollout order waits service={} version={} offset={} why=the configuration does \
                     not know the service",
                    order.service,
                    order.target_version,
                    record.offset
                );
                self.rollout_feed.changes.send_modify(|count| *count += 1);
            }
        }
    }

    /// Returns whether orders wait for their service.
    pub(crate) fn has_waiting_orders(&self) -> bool {
        !self.waiting_orders().is_empty()
    }

    /// Records the orders whose service the configuration contains now.
    pub(crate) fn record_waiting_orders(&self) {
        let routes = self.routes();
        let is_known = |service: &str| routes.services.contains_key(service);
        let known = self.waiting_orders().take(is_known, Instant::now());
        for waiting in known {
            self.record_order(&waiting);
        }
    }

    fn waiting_orders(&self) -> MutexGuard<'_, WaitingOrders> {
        self.rollout_feed.waiting.lock().expect("no holder panics")
    }

    fn record_order(&self, waiting: &WaitingOrder) {
        let (order, offset, fresh) = (&waiting.order, waiting.offset, waiting.fresh);
        let base = self.base_version(&order.service, &order.target_version);
        let mut book = self.rollouts();
        let is_new = book.record_order(order, offset, fresh, base.as_deref(), waiting.read_at);
        drop(book);
        if !is_new {
            return;
        }
        log::info!(
            "rollout ordered service={} version={} offset={offset} duration_ms={} fresh={fresh} \
             base={}",
            order.service,
            order.target_version,
            order.duration_ms,
            base.as_deref().unwrap_or("-"),
        );
        self.publish_own_rollout();
    }

    /// Counts a run at the target beside this node, if its service has an open rollout.
    pub fn record_run(&self, target: &Target, route: &str, sample: RunSample, is_cold: bool) {
        if !self.has_rollouts() {
            return;
        }
        let version = target.version();
        self.rollouts()
            .record_run(&target.service, version, route, sample, is_cold);
    }

    /// Merges evidence of a node. If it shows with a score of at least `limit` that the version is bad,
    /// peers are notified at once.
    pub fn merge_evidence(&self, report: &EvidenceReport, limit: f64) {
        let now = Instant::now();
        let stopped = self.rollouts().merge_evidence(report, limit, now);
        if stopped {
            self.publish_phase(&report.service);
        }
    }

    /// Returns the rollout of `service`, if this node knows one.
    pub(crate) fn rollout_states_of(&self, service: &str) -> Vec<RolloutState> {
        let book = self.rollouts();
        let state = book
            .get(service)
            .map(|rollout| rollout.state(Instant::now()));
        state.into_iter().collect()
    }

    /// Returns the rollouts that this node knows, as many as one message takes.
    pub fn rollout_states(&self) -> Vec<RolloutState> {
        let now = Instant::now();
        self.rollouts()
            .states_after(0, ROLLOUT_MAX_COUNT, now)
            .states
    }

    /// Merges rollouts that a peer knows. Returns whether this node learned something.
    pub fn merge_rollout_states(&self, states: &[RolloutState]) -> bool {
        let now = Instant::now();
        let mut learned = false;
        for state in states {
            let mut book = self.rollouts();
            if !book.merge(state, now) {
                continue;
            }
            learned = true;
            if let Some(rollout) = book.get(&state.order.service) {
                log_phase(rollout, "learned");
            }
        }
        if learned {
            self.notify_rollouts();
            self.notify_gossip();
        }
        learned
    }

    /// Takes the steps that are due by time, as the node that decides.
    pub(crate) fn advance_rollouts(&self) {
        for service in self.open_rollouts() {
            let has_targets = self.has_new_targets(&service);
            let mut book = self.rollouts();
            let changed = book.advance(&service, has_targets, Instant::now());
            drop(book);
            if changed {
                self.publish_phase(&service);
            }
        }
    }

    /// Records that the log holds a rollout as running.
    pub(crate) fn record_rollout_running(
        &self,
        service: &str,
        order_offset: Offset,
        status_at: Offset,
    ) {
        let mut book = self.rollouts();
        book.record_running(service, order_offset, status_at);
        drop(book);
        self.publish_own_rollout();
    }

    /// Records how the log holds that a rollout ended.
    pub(crate) fn record_rollout_end(
        &self,
        service: &str,
        order_offset: Offset,
        phase: Phase,
        status_at: Offset,
    ) {
        let mut book = self.rollouts();
        book.record_end(service, order_offset, phase, status_at, Instant::now());
        drop(book);
        self.publish_phase(service);
    }

    /// Returns the services with a rollout whose end is not recorded in the log.
    pub(crate) fn open_rollouts(&self) -> Vec<String> {
        let mut services = Vec::new();
        for rollout in self.rollouts().open() {
            services.push(rollout.order().service.clone());
        }
        services
    }

    /// Returns what this node counted at its target for a rollout.
    pub(crate) fn own_evidence(&self) -> Option<EvidenceReport> {
        let own = self.members().own().clone();
        let target = own.target?;
        self.rollouts()
            .report(&target.service, &own.node_id, self.feed_epoch)
    }

    /// Returns whether targets of the new version of the service's rollout serve.
    pub(crate) fn has_new_targets(&self, service: &str) -> bool {
        let version = match self.rollouts().get(service) {
            Some(rollout) => rollout.order().target_version.clone(),
            None => return false,
        };
        let view = self.view();
        let members = view.targets.get(service);
        members.is_some_and(|members| {
            let mut serving = members.iter().filter_map(|member| member.serving_target());
            serving.any(|target| target.version() == version)
        })
    }

    /// Returns the rollouts for a peer, and counts them as sent.
    pub(super) fn rollouts_for(&self, receiver: &NodeId) -> RolloutNews {
        let book = self.rollouts();
        let mut all = self.rollout_feed.progress.lock().expect("no holder panics");
        let progress = all.entry(receiver.clone()).or_default();
        let ack = progress.ack();
        if progress.acked() >= book.last_sequence() {
            return RolloutNews {
                ack,
                ..RolloutNews::default()
            };
        }
        let batch = book.states_after(progress.acked(), ROLLOUT_MAX_COUNT, Instant::now());
        RolloutNews {
            range: Some(progress.send_up_to(self.feed_epoch, batch.last_sequence)),
            states: batch.states,
            ack,
        }
    }

    /// Merges the rollouts in a peer's gossip, and what it acknowledges of this node's.
    pub(super) fn merge_rollouts(&self, sender: &NodeId, gossip: &Gossip) {
        self.merge_rollout_states(&gossip.rollouts);
        let mut all = self.rollout_feed.progress.lock().expect("no holder panics");
        let progress = all.entry(sender.clone()).or_default();
        progress.receive(self.feed_epoch, gossip.rollout_ack, gossip.rollout_range);
    }

    /// Returns whether there are rollouts that were not sent to the peer.
    pub(super) fn has_rollouts_for(&self, peer: &NodeId) -> bool {
        let last_sequence = self.rollouts().last_sequence();
        self.rollouts_sent_to(peer) < last_sequence
    }

    /// Returns whether there are rollouts that this node changed itself and has not sent to the peer.
    pub(super) fn has_own_rollouts_for(&self, peer: &NodeId) -> bool {
        let feed = &self.rollout_feed;
        let own_sequence = *feed.own_sequence.lock().expect("no holder panics");
        self.rollouts_sent_to(peer) < own_sequence
    }

    fn rollouts_sent_to(&self, peer: &NodeId) -> u64 {
        let all = self.rollout_feed.progress.lock().expect("no holder panics");
        all.get(peer).map_or(0, FeedProgress::sent)
    }

    fn publish_phase(&self, service: &str) {
        if let Some(rollout) = self.rollouts().get(service) {
            log_phase(rollout, "decided");
        }
        self.publish_own_rollout();
    }

    fn publish_own_rollout(&self) {
        let last_sequence = self.rollouts().last_sequence();
        let feed = &self.rollout_feed;
        *feed.own_sequence.lock().expect("no holder panics") = last_sequence;
        self.notify_rollouts();
        self.notify_gossip();
    }

    fn notify_rollouts(&self) {
        self.rollout_feed
            .has_rollouts
            .store(true, Ordering::Release);
        self.rollout_feed.changes.send_modify(|count| *count += 1);
    }

    /// Returns the version that most other targets of the service run, if any is known.
    fn base_version(&self, service: &str, target_version: &str) -> Option<String> {
        let view = self.view();
        let members = view.targets.get(service)?;
        let mut others = Vec::new();
        for member in members.iter() {
            let serving = member.serving_target();
            if let Some(target) = serving.filter(|target| target.version() != target_version) {
                others.push((target.version(), target.started_at_ms));
            }
        }
        let versions = ServiceVersions::count(others.into_iter(), None, Instant::now());
        versions.incumbent().map(str::to_owned)
    }
}

/// Writes the phase of a rollout to the log, with the evidence that this node has.
fn log_phase(rollout: &Rollout, how: &str) {
    let verdict = rollout.tally().verdict();
    log::info!(
        "rollout moved phase={} how={how} service={} version={} offset={} evidence={:.2} cause={} \
         new_runs={} new_failures={} old_runs={} focus={}",
        rollout.phase().name(),
        rollout.order().service,
        rollout.order().target_version,
        rollout.order_offset(),
        verdict.level,
        verdict.cause,
        rollout.tally().new_run_count(),
        rollout.tally().new_failed_count(),
        rollout.tally().old_run_count(),
        rollout.focus().unwrap_or("-"),
    );
}
