//! One rollout: its order, its phase, and the steps from one phase to the next.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::Offset;

use crate::evidence::{
    EvidenceReport,
    RunCounter, //
};
use crate::excluded::ExcludedVersions;
use crate::order::{
    ExposureLimits,
    RolloutOrder, //
};
use crate::phase::{
    Phase,
    HOLD,
    RISE, //
};
use crate::probe::{
    Probe,
    Trial,
    TrialStart,
    TRIAL_USUAL, //
};
use crate::state::{
    instant_before,
    RolloutState, //
};
use crate::status::StatusState;
use crate::tally::Tally;

/// Part of the duration after which the version is tried under load. The time left is for runs that
/// clear or confirm what the trial showed.
const TRIAL_AT_PART: f64 = 0.45;

/// Part of the duration until which a suspect version is not tried under load.
const LATE_TRIAL_AT_PART: f64 = 0.55;

/// Part of the duration after which the share rises.
const RISE_AT_PART: f64 = 0.7;

/// Number of runs of the new version with which the share rises after [`RISE_AT_PART`]. With fewer ones
/// it rises as late as it may.
const RISE_RUN_COUNT: u64 = 180;

/// Time for the rise, the hold and the record in the log, with a margin for repeated appends.
const COMPLETION_TIME: Duration = Duration::from_millis(2_700);

/// Largest part of the duration that [`COMPLETION_TIME`] may take, if the duration is short.
const COMPLETION_PART: f64 = 0.7;

/// Scores of failures and of slow runs, as parts of their limits, from which on the version is in doubt
/// when the share has to rise: the rise is delayed while there is time, and then the version is stopped.
/// One failure gives about 0.3, and further answers clear it.
const DOUBT_LEVELS: (f64, f64) = (0.35, 0.6);

/// The same scores at the end of a trial with few runs, after which the version is stopped at once. That
/// of failures is higher, since any version may fail twice in a short time.
const TRIAL_DOUBT_LEVELS: (f64, f64) = (0.8, 0.42);

/// Longest age of the last answer of the log with which the share may rise.
const LOG_CONTACT_MAX: Duration = Duration::from_millis(1_500);

/// A rollout as this node knows it.
#[derive(Clone, Debug)]
pub struct Rollout {
    pub(crate) order: RolloutOrder,
    pub(crate) order_offset: Offset,
    /// Whether the order was read as soon as it was written, so that an end in the log is of an earlier
    /// order.
    pub(crate) fresh: bool,
    pub(crate) started_at: Instant,
    pub(crate) phase: Phase,
    pub(crate) phase_since: Instant,
    pub(crate) base: Option<String>,
    pub(crate) excluded_versions: ExcludedVersions,
    pub(crate) completed_before: Option<String>,
    pub(crate) recorded: bool,
    pub(crate) status_at: Option<Offset>,
    pub(crate) earlier_status_at: Option<Offset>,
    pub(crate) replaces_open: bool,
    pub(crate) log_contact_at: Option<Instant>,
    /// Number of the last change, in the order in which this node learned them.
    pub(crate) sequence: u64,
    pub(crate) counter: RunCounter,
    pub(crate) tally: Tally,
    pub(crate) probe: Probe,
    /// Start of the trial, on the node that decides.
    trial_start: Option<TrialStart>,
}

impl Rollout {
    pub(crate) fn new(order: &RolloutOrder, order_offset: Offset, now: Instant) -> Self {
        Self {
            order: order.clone(),
            order_offset,
            fresh: false,
            started_at: now,
            phase: Phase::Canary,
            phase_since: now,
            base: None,
            excluded_versions: ExcludedVersions::default(),
            completed_before: None,
            recorded: false,
            status_at: None,
            earlier_status_at: None,
            replaces_open: false,
            log_contact_at: None,
            sequence: 0,
            counter: RunCounter::default(),
            tally: Tally::default(),
            probe: Probe::default(),
            trial_start: None,
        }
    }

    pub(crate) fn from_state(state: &RolloutState, now: Instant) -> Self {
        Self {
            started_at: instant_before(now, state.age_ms),
            phase: state.phase,
            phase_since: instant_before(now, state.phase_age_ms),
            base: state.base.clone(),
            excluded_versions: state.excluded_versions.clone(),
            completed_before: state.completed_before.clone(),
            recorded: state.recorded,
            status_at: state.status_at,
            earlier_status_at: state.earlier_status_at,
            replaces_open: state.replaces_open,
            fresh: state.fresh,
            probe: state.probe.clone(),
            ..Self::new(&state.order, state.order_offset, now)
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the offset of the order.
    pub fn order_offset(&self) -> Offset {
        self.order_offset
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns when the phase began.
    pub fn phase_since(&self) -> Instant {
        self.phase_since
    }

    /// Returns the version that the service ran before, if known.
    pub fn base(&self) -> Option<&str> {
        self.completed_before.as_deref().or(self.base.as_deref())
    }

    /// Returns the versions of earlier rollouts that did not complete. They get no calls.
    pub fn excluded_versions(&self) -> impl Iterator<Item = &str> {
        let completed = self.completed_before.as_deref();
        let excluded = self.excluded_versions.names();
        excluded.filter(move |version| Some(*version) != completed)
    }

    /// Returns the evidence that this node has.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns the route on which the node that decides asked for more evidence, if there is one.
    pub fn focus(&self) -> Option<&str> {
        self.probe.focus.as_deref()
    }

    /// Returns the counts of the target beside this node.
    pub fn counter(&self) -> &RunCounter {
        &self.counter
    }

    /// Returns when the rollout must have ended.
    pub fn deadline(&self) -> Instant {
        self.started_at + self.order.duration()
    }

    /// Returns the share of the new version on `route` at `now`.
    pub fn share(&self, route: &str, limits: &ExposureLimits, now: Instant) -> f64 {
        let share = self.phase.share(self.phase_since, now, limits);
        match self.phase {
            Phase::Canary => self.probe.share(route, share),
            _ => share,
        }
    }

    /// Returns the state for a message.
    pub fn state(&self, now: Instant) -> RolloutState {
        let age = |since| now.saturating_duration_since(since).as_millis() as u64;
        RolloutState {
            order: self.order.clone(),
            order_offset: self.order_offset,
            age_ms: age(self.started_at),
            phase: self.phase,
            phase_age_ms: age(self.phase_since),
            base: self.base.clone(),
            excluded_versions: self.excluded_versions.clone(),
            completed_before: self.completed_before.clone(),
            recorded: self.recorded,
            status_at: self.status_at,
            earlier_status_at: self.earlier_status_at,
            replaces_open: self.replaces_open,
            fresh: self.fresh,
            probe: self.probe.clone(),
        }
    }

    /// Merges evidence of a node.
    pub(crate) fn merge_evidence(&mut self, report: &EvidenceReport, now: Instant) {
        if report.order_offset == self.order_offset {
            self.tally.merge(report, &self.order.target_version, now);
        }
    }

    /// Returns the phase that follows by the evidence alone, if its score is at least `limit`. Any node
    /// may take this step. The version that the service runs already is never stopped.
    pub(crate) fn next_by_evidence(&self, limit: f64) -> Option<Phase> {
        let may_stop = self.phase < Phase::Stopped && !self.is_base();
        (may_stop && self.tally.verdict().level >= limit).then_some(Phase::Stopped)
    }

    /// Returns the phase that follows by time. Only the node that decides takes this step.
    /// `has_targets` says whether targets of the new version serve.
    pub(crate) fn next_by_time(&self, has_targets: bool, now: Instant) -> Option<Phase> {
        match self.phase {
            // The service would end with its old targets.
            Phase::Canary if !has_targets => {
                (now >= self.deadline() - HOLD).then_some(Phase::Stopped)
            }
            // Clean runs after the trial say nothing about the version under load.
            Phase::Canary
                if self.has_trial_ended_with_few_runs(now)
                    && self.is_in_doubt(TRIAL_DOUBT_LEVELS) =>
            {
                Some(Phase::Stopped)
            }
            Phase::Canary if self.is_in_doubt(DOUBT_LEVELS) => {
                (now >= self.latest_rise_at()).then_some(Phase::Stopped)
            }
            Phase::Canary => {
                let may_rise = now >= self.rise_at() && self.has_recent_log_contact(now);
                may_rise.then_some(Phase::Rising)
            }
            Phase::Rising | Phase::Full if !has_targets => {
                (now >= self.deadline()).then_some(Phase::Stopped)
            }
            Phase::Rising => (now >= self.phase_since + RISE).then_some(Phase::Full),
            Phase::Full | Phase::Stopped | Phase::Completed | Phase::RolledBack => None,
        }
    }

    /// Returns the next probe, if it differs. Only the node that decides calls this.
    pub(crate) fn next_probe(
        &mut self,
        limits: &ExposureLimits,
        has_targets: bool,
        now: Instant,
    ) -> Option<Probe> {
        if self.phase != Phase::Canary || !has_targets {
            return None;
        }
        let trial = self.next_trial(now);
        self.probe.next(&self.tally, limits, trial)
    }

    /// Returns the next state of the trial, and records its start and the number of its runs.
    fn next_trial(&mut self, now: Instant) -> Trial {
        match self.probe.trial {
            Trial::Pending => {
                if now >= self.trial_at() {
                    Trial::Running
                } else {
                    Trial::Pending
                }
            }
            Trial::Running => {
                let run_count = self.tally.new_run_count();
                let start = self
                    .trial_start
                    .get_or_insert(TrialStart { at: now, run_count });
                if !start.has_ended(&self.tally, now) {
                    return Trial::Running;
                }
                let run_count = run_count.saturating_sub(start.run_count);
                self.tally.set_trial_run_count(run_count);
                Trial::Ended
            }
            Trial::Ended => Trial::Ended,
        }
    }

    /// Returns whether the trial under load is over, not yet marked as ended, and showed few runs. If it
    /// showed many, the sequential tests decide.
    fn has_trial_ended_with_few_runs(&self, now: Instant) -> bool {
        let start = self.trial_start.as_ref();
        let is_running = self.probe.trial == Trial::Running;
        is_running && start.is_some_and(|start| start.has_ended_with_few_runs(&self.tally, now))
    }

    /// Returns when the version is tried under load; later if a route is in focus.
    fn trial_at(&self) -> Instant {
        let part = match self.probe.focus {
            Some(_) => LATE_TRIAL_AT_PART,
            None => TRIAL_AT_PART,
        };
        let latest = self.time_until_rise().saturating_sub(TRIAL_USUAL);
        self.started_at + self.order.duration().mul_f64(part).min(latest)
    }

    /// Returns whether the new version has served everything for long enough.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        self.phase == Phase::Full && now >= self.phase_since + HOLD
    }

    /// Returns whether the log's record at `offset` with this version belongs to this order. An end
    /// follows the record that the rollout is running, of which this node may not have heard.
    pub(crate) fn owns_status(&self, state: StatusState, offset: Offset) -> bool {
        let earlier = self.earlier_status_at;
        // Offsets of different eras can't be compared: a log that goes back to an older copy gives the
        // same offsets out again.
        let is_comparable = earlier.is_some_and(|earlier| earlier.era() == offset.era());
        if is_comparable && earlier >= Some(offset) {
            return false;
        }
        if self.recorded || state == StatusState::Running {
            return true;
        }
        // A comparable record is later here.
        !self.replaces_open && (is_comparable || !self.fresh)
    }

    /// Returns whether the log should be asked, so that the share may rise.
    pub fn awaits_log(&self, now: Instant) -> bool {
        let is_soon = self.phase == Phase::Canary && now + LOG_CONTACT_MAX / 2 >= self.rise_at();
        is_soon && !self.has_recent_log_contact(now + LOG_CONTACT_MAX / 2)
    }

    /// Lets the version serve everything, as the service runs it already; a canary share would take
    /// calls from it.
    pub(crate) fn serve_base(&mut self, now: Instant) {
        self.set_phase(Phase::Full, now);
    }

    pub(crate) fn set_phase(&mut self, phase: Phase, since: Instant) {
        self.phase = phase;
        self.phase_since = since;
    }

    fn rise_at(&self) -> Instant {
        let usual = self.order.duration().mul_f64(RISE_AT_PART);
        let latest = self.time_until_rise();
        if self.tally.new_run_count() >= RISE_RUN_COUNT {
            return self.started_at + usual.min(latest);
        }
        self.started_at + latest
    }

    /// Returns the time after the order at which the share must rise, so that the rollout ends in time.
    fn time_until_rise(&self) -> Duration {
        let duration = self.order.duration();
        let earliest = duration.saturating_sub(COMPLETION_TIME);
        earliest.max(duration.mul_f64(1.0 - COMPLETION_PART))
    }

    fn latest_rise_at(&self) -> Instant {
        self.started_at + self.time_until_rise()
    }

    fn is_base(&self) -> bool {
        self.base() == Some(self.order.target_version.as_str())
    }

    /// Returns whether the scores of failures and of slow runs reach one of `levels`, so that the version
    /// must not serve everything unless further runs clear it.
    fn is_in_doubt(&self, levels: (f64, f64)) -> bool {
        let (failed, slow) = self.tally.levels();
        !self.is_base() && (failed >= levels.0 || slow >= levels.1)
    }

    /// Returns whether the log answered recently. Without it the rollout could not be completed.
    fn has_recent_log_contact(&self, now: Instant) -> bool {
        self.log_contact_at
            .is_some_and(|at| now.saturating_duration_since(at) <= LOG_CONTACT_MAX)
    }
}
