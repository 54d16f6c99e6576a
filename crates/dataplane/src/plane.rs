//! State of a node's data plane, shared by its workers and request handlers.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_control::{
    ClaimAgent,
    Mesh,
    View, //
};
use figway_http::{
    Answer,
    BusyConnections,
    MemoryBudget,
    Request,
    ServerPhase, //
};
use figway_profile::Profile;
use figway_routing::{
    LoadTracker,
    TransitPrices, //
};
use figway_types::{
    Announcement,
    Target, //
};
use tokio::sync::watch;

use crate::evidence::ColdStart;
use crate::gate::TargetGate;
use crate::interface::{
    Addressing,
    Interface, //
};
use crate::keyed_outcomes::KeyedOutcomes;
use crate::local_target::LocalTarget;
use crate::metrics::Metrics;
use crate::offers::BodyOffers;
use crate::overload::OverloadState;
use crate::peer_targets::PeerTargets;
use crate::refusal_log::RefusalLog;
use crate::retry::RetryState;
use crate::run_watch::{
    DoubtCause,
    RunEndEvidence,
    RunWatch, //
};
use crate::running_calls::RunningCalls;
use crate::stall_watch::watch_stalls;
use crate::target_state::TargetState;
use crate::target_watch::{
    AnnounceOutcome,
    TargetWatch, //
};
use crate::trace::LogBudget;

/// Time after the stop request for which connections stay open, while the draining state reaches
/// peers and callers.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_200);

/// Time after the stop request until which callers may still start calls. A call that starts later could
/// outlast the drain, and the platform excuses that only up to 3 s after the stop request.
const DRAIN_ACCEPT: Duration = Duration::from_millis(2_800);

/// Share of the grace period that a drain may use.
const DRAIN_GRACE_RATIO: f64 = 0.84;

/// Time for idle connections to close, and for bytes that have arrived on others to be counted.
const CLOSE_SETTLE: Duration = Duration::from_millis(120);

/// Largest number of slots that a target may announce.
const SLOT_MAX_COUNT: u32 = 1_000_000;

/// Latest start that a target may announce, in Unix milliseconds: the year 2200. A later one could
/// never be followed by a newer run.
const STARTED_AT_MAX_MS: u64 = 7_258_118_400_000;

/// Longest wait until peers and the log hold that the target is leaving. The target gives its message
/// up after 1 s.
const KEEP_TIMEOUT: Duration = Duration::from_millis(700);

/// Period at which a drain checks for calls in flight.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// State of a node's data plane, shared by its workers and request handlers.
pub struct DataPlane {
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) agent: ClaimAgent,
    pub(crate) interface: Box<dyn Interface>,
    pub(crate) gate: TargetGate,
    pub(crate) loads: Mutex<LoadTracker>,
    pub(crate) retries: RetryState,
    pub(crate) overload: OverloadState,
    pub(crate) offers: BodyOffers,
    pub(crate) run_watch: RunWatch,
    pub(crate) target_watch: TargetWatch,
    pub(crate) refusal_log: RefusalLog,
    pub(crate) local_target: LocalTarget,
    pub(crate) cold_start: ColdStart,
    pub(crate) peer_targets: PeerTargets,
    pub(crate) outcomes: Arc<KeyedOutcomes>,
    pub(crate) metrics: Metrics,
    pub(crate) log_budget: LogBudget,
    pub(crate) draining: AtomicBool,
    pub(crate) phase: watch::Sender<ServerPhase>,
    pub(crate) running: RunningCalls,
    pub(crate) busy_connections: BusyConnections,
    /// Budget of the bodies of requests and answers.
    pub(crate) memory: MemoryBudget,
    pub(crate) body_max_bytes: usize,
    pub(crate) connection_max_count: usize,
    pub(crate) origin: Mutex<String>,
    pub(crate) target_address: Option<String>,
    pub(crate) default_profile: Profile,
    pub(crate) transit_prices: TransitPrices,
    pub(crate) grace: Option<Duration>,
    /// Time until which the target may run calls that it began before this node started, if there can be
    /// any.
    pub(crate) lost_calls_until: Option<Instant>,
}

impl DataPlane {
    /// Locks and returns the load estimates of all targets.
    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadTracker> {
        self.loads.lock().expect("no holder panics")
    }

    /// Returns whether the local target runs `service` and takes new calls.
    pub(crate) fn runs_service(&self, service: &str) -> bool {
        let members = self.mesh.members();
        let target = members.own().target.as_ref();
        target.is_some_and(|target| target.service == service && !target.draining)
    }

    /// Returns whether the node is draining and refuses new calls for its target.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether the node is ready to serve callers: it has configuration in force and is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        let view = self.mesh.view();
        !self.is_draining() && (view.routes.version > 0 || !view.services.is_empty())
    }

    /// Returns whether the route of the request states that it may run more than once.
    pub(crate) fn may_repeat(&self, request: &Request) -> bool {
        let Addressing::Host(host) = self.interface.addressing(request) else {
            return false;
        };
        let view = self.mesh.view();
        let named = view.routes.find(host, &request.path);
        named.is_some_and(|named| named.route.may_repeat())
    }

    /// Returns the service of this host, which is recorded as the origin of its callers' calls.
    pub(crate) fn origin(&self) -> String {
        self.origin.lock().expect("no holder panics").clone()
    }

    /// Sets the service of this host.
    pub fn set_origin(&self, origin: &str) {
        origin.clone_into(&mut self.origin.lock().expect("no holder panics"));
    }

    /// Returns the profile in force for `service` and its name, or the default profile.
    pub(crate) fn profile_of<'a>(
        &'a self,
        view: &'a View,
        service: &str,
    ) -> (&'a Profile, &'a str) {
        match view.services.get(service) {
            Some(in_force) => (&in_force.profile, &in_force.profile_name),
            None => (&self.default_profile, "default"),
        }
    }

    /// Records an announcement of the local target. One that says that the target is draining returns
    /// only once peers and the platform's log hold that too.
    ///
    /// # Errors
    ///
    /// Why the announcement is not one of this host's target: another service or address, no slots, or an
    /// impossible start.
    pub async fn record_announcement(
        &self,
        announcement: &Announcement,
    ) -> Result<AnnounceOutcome, String> {
        self.check_target(&announcement.target)?;
        let outcome = self.record_checked_announcement(announcement).await;
        self.metrics.count_announcement(outcome.name());
        Ok(outcome)
    }

    /// Counts a message about the local target that was refused, since another writer sent it. Returns how
    /// many refusals for the same reason were not logged before, or `None` if this one need not be logged.
    pub fn record_refused_announcement(&self, why: &str) -> Option<u64> {
        self.metrics.count_announcement("refused");
        self.refusal_log.record(why, Instant::now())
    }

    async fn record_checked_announcement(&self, announcement: &Announcement) -> AnnounceOutcome {
        let kept_until = Instant::now() + KEEP_TIMEOUT;
        let target = &announcement.target;
        // The run may be ending, which the process before this one knew.
        let needs_knowledge = target.is_identified() && !target.draining;
        if needs_knowledge && !self.mesh.wait_until_informed().await {
            self.target_watch.defer(announcement);
            return AnnounceOutcome::Uninformed;
        }
        let known_target = self.mesh.members().own().target.clone();
        if known_target.is_none_or(|known| known.instance != target.instance) {
            self.gate.reset_failed_ratio();
        }
        // Only a new run that is accepted starts with an empty state; the watch decides.
        let outcome = self
            .target_watch
            .record_announcement(&self.mesh, announcement);
        if outcome == AnnounceOutcome::Accepted {
            self.cold_start.record(announcement);
            self.apply_target_state(self.local_target.begin_run(target));
            let key = self.run_key(target);
            let replaced = self.run_watch.announce(target, key, Instant::now());
            // The announcements of a target without a name don't tell one run from the next.
            if let Some(replaced) = replaced.filter(|_| target.is_identified()) {
                self.report_run_end(&replaced, RunEndEvidence::Replaced);
            }
        }
        if target.draining && !self.is_end_kept(target, kept_until).await {
            return AnnounceOutcome::Unconfirmed;
        }
        outcome
    }

    /// Returns whether it is kept by `deadline` that the run of the target is ending, so that the end
    /// of all nodes loses nothing.
    async fn is_end_kept(&self, target: &Target, deadline: Instant) -> bool {
        !target.is_identified() || self.mesh.wait_until_kept(&target.instance, deadline).await
    }

    fn check_target(&self, target: &Target) -> Result<(), String> {
        if let Some(expected) = &self.target_address {
            if *expected != target.address {
                return Err(format!("the target of this host is at {expected}"));
            }
        }
        let service = self.origin();
        if !service.is_empty() && service != target.service {
            return Err(format!("the target of this host runs {service}"));
        }
        if !(1..=SLOT_MAX_COUNT).contains(&target.slot_count) {
            return Err(format!(
                "a target has 1 to {SLOT_MAX_COUNT} slots, not {}",
                target.slot_count
            ));
        }
        check_started_at(target.started_at_ms)
    }

    /// Records what the local target states about itself in an answer.
    pub(crate) fn record_notice(&self, target: &Target, answer: &Answer) {
        let notice = self.interface.target_notice(answer);
        let is_success = answer.is_success() && self.interface.is_valid_answer(answer);
        let changed = self.local_target.record_notice(target, &notice, is_success);
        self.apply_target_state(changed);
    }

    /// Records what a peer knows of the local target.
    pub(crate) fn record_peer_state(&self, known: &TargetState) {
        self.apply_target_state(self.local_target.record_peer_state(known));
    }

    fn apply_target_state(&self, changed: Option<TargetState>) {
        let Some(state) = changed else {
            return;
        };
        self.gate.set_rate_limit(state.rate_limit);
        if state.leaving {
            self.target_watch.record_leaving(&self.mesh, &state);
        }
    }

    /// Records that an instance of the target has left permanently. `started_at_ms` is its start
    /// time in Unix milliseconds, 0 if unknown. Returns whether peers and the platform's log hold that
    /// too.
    ///
    /// # Errors
    ///
    /// The target can't have started at that time.
    pub async fn record_departure(
        &self,
        instance: &str,
        started_at_ms: u64,
    ) -> Result<bool, String> {
        let kept_until = Instant::now() + KEEP_TIMEOUT;
        check_started_at(started_at_ms)?;
        self.target_watch
            .record_departure(&self.mesh, instance, started_at_ms);
        Ok(self.mesh.wait_until_kept(instance, kept_until).await)
    }

    /// Returns a watch of the phase, which tells servers how to handle their connections.
    pub fn watch_phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }

    /// Returns whether the node stops so soon that a call which it takes now might not end before.
    pub(crate) fn refuses_calls(&self) -> bool {
        *self.phase.borrow() == ServerPhase::Closed
    }

    /// Stops accepting calls, then waits until all answers are sent or the drain's share of the grace
    /// period is over. A request that is read completely so late that it might not end in time is
    /// refused.
    pub async fn drain(&self) {
        let now = Instant::now();
        let deadline = now + self.drain_grace().mul_f64(DRAIN_GRACE_RATIO);
        self.draining.store(true, Ordering::Relaxed);
        self.gate.set_draining(true);
        self.mesh.members().update_own(now, |own| {
            own.state = figway_types::MemberState::Draining;
        });
        self.mesh.notify_member_changes();
        log::info!("drain started");
        tokio::time::sleep_until((now + DRAIN_NOTICE).min(deadline).into()).await;
        self.phase.send_replace(ServerPhase::Closing);
        tokio::time::sleep_until((now + DRAIN_ACCEPT).min(deadline).into()).await;
        // Callers with open connections would otherwise start calls that cannot finish in time.
        self.phase.send_replace(ServerPhase::Closed);
        tokio::time::sleep(CLOSE_SETTLE).await;
        loop {
            let busy_count = self.busy_connections.count();
            if Instant::now() >= deadline || busy_count == 0 {
                log::info!("drain ended busy_connections={busy_count}");
                return;
            }
            tokio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
    }

    /// Records the announcement that came before this node knew whether its target had left, as soon as
    /// it knows. A target that is there need not announce itself again.
    pub async fn record_deferred_announcement(self: Arc<Self>) {
        while !self.mesh.wait_until_informed().await {}
        let Some(announcement) = self.target_watch.take_deferred() else {
            return;
        };
        match self.record_announcement(&announcement).await {
            Ok(outcome) => log::info!(
                "deferred announcement recorded instance={} outcome={outcome:?}",
                announcement.target.instance
            ),
            Err(why) => log::warn!("deferred announcement refused why={why}"),
        }
    }

    /// Marks the local target as lost when its announcements stop. Runs until the process ends.
    pub async fn watch_target(self: Arc<Self>) {
        let suspect_run = || self.run_watch.suspect(DoubtCause::Missing);
        self.target_watch.watch(&self.mesh, &suspect_run).await;
    }

    /// Starts waiting calls at the pace of the target's rate limit. Runs until the process ends.
    pub async fn dispatch_turns(self: Arc<Self>) {
        self.gate.dispatch_turns().await;
    }

    /// Measures how long the node is suspended. Runs until the process ends.
    pub async fn watch_stalls(self: Arc<Self>) {
        watch_stalls(&self.metrics).await;
    }

    fn drain_grace(&self) -> Duration {
        if let Some(grace) = self.grace {
            return grace;
        }
        let default = Duration::from_secs(10);
        let own = self.mesh.members().own().clone();
        let Some(target) = own.target else {
            return default;
        };
        match self.mesh.view().services.get(&target.service) {
            Some(in_force) => Duration::from_millis(in_force.profile.draining.grace_ms),
            None => default,
        }
    }
}

fn check_started_at(started_at_ms: u64) -> Result<(), String> {
    if started_at_ms > STARTED_AT_MAX_MS {
        return Err(format!(
            "the target can't have started at {started_at_ms} ms"
        ));
    }
    Ok(())
}
