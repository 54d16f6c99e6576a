//! One rollout: its order, its phase, and the steps from one phase to the next.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::Offset;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::evidence::{
    EvidenceReport,
    RunCounter, //
};
use crate::order::{
    ExposureLimits,
    RolloutOrder, //
};
use crate::phase::{
    Phase,
    HOLD,
    RISE, //
};
use crate::tally::Tally;

/// Part of the duration after which the share rises.
const RISE_AT_PART: f64 = 0.7;

/// Earliest part of the duration at which the share rises, if the duration is short.
const RISE_AT_MIN_PART: f64 = 0.3;

/// Time for the rise, the hold and the record in the log, with a margin for repeated appends.
const COMPLETION_TIME: Duration = Duration::from_millis(3_000);

/// Score, as a part of the limit, from which on the rise is delayed while there is time.
const DELAY_RISE_LEVEL: f64 = 0.5;

/// Longest age of the last answer of the log with which the share may rise.
const LOG_CONTACT_MAX: Duration = Duration::from_millis(1_500);

/// Time after a fresh order was read for which an end in the log is taken for that of an earlier order.
const FRESH_FOR: Duration = Duration::from_secs(1);

/// Largest number of excluded versions of a service, which bounds the size of messages.
const EXCLUDED_MAX_COUNT: usize = 8;

/// State of a rollout in messages between nodes. Times are ages, since clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The order.
    pub order: RolloutOrder,
    /// Offset of the order in the operator's topic.
    pub order_offset: Offset,
    /// Time since the order was read, in milliseconds.
    pub age_ms: u64,
    /// Phase.
    pub phase: Phase,
    /// Time since the phase began, in milliseconds.
    pub phase_age_ms: u64,
    /// Version that the service ran before, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// Versions of earlier rollouts that did not complete.
    #[serde(rename = "shunned", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded_versions: Vec<String>,
    /// Version of the order before this one, if that was completed after this one was read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub completed_before: Option<String>,
    /// Whether the log holds that the rollout is running.
    #[serde(default)]
    pub recorded: bool,
    /// Whether the order was read as soon as it was written, so that an end in the log is of an earlier
    /// order.
    #[serde(default)]
    pub fresh: bool,
}

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
    pub(crate) excluded_versions: Vec<String>,
    pub(crate) completed_before: Option<String>,
    pub(crate) recorded: bool,
    pub(crate) log_contact_at: Option<Instant>,
    /// Number of the last change, in the order in which this node learned them.
    pub(crate) sequence: u64,
    pub(crate) counter: RunCounter,
    pub(crate) tally: Tally,
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
            excluded_versions: Vec::new(),
            completed_before: None,
            recorded: false,
            log_contact_at: None,
            sequence: 0,
            counter: RunCounter::default(),
            tally: Tally::default(),
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
            fresh: state.fresh,
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
        let excluded = self.excluded_versions.iter().map(String::as_str);
        excluded.filter(move |version| Some(*version) != completed)
    }

    /// Returns the evidence that this node has.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns the counts of the target beside this node.
    pub fn counter(&self) -> &RunCounter {
        &self.counter
    }

    /// Returns when the rollout must have ended.
    pub fn deadline(&self) -> Instant {
        self.started_at + self.order.duration()
    }

    /// Returns the share of the new version at `now`.
    pub fn share(&self, limits: &ExposureLimits, now: Instant) -> f64 {
        self.phase.share(self.phase_since, now, limits)
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
            fresh: self.fresh,
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
        let is_base = self.base() == Some(self.order.target_version.as_str());
        let may_stop = self.phase < Phase::Stopped && !is_base;
        (may_stop && self.tally.verdict().level >= limit).then_some(Phase::Stopped)
    }

    /// Returns the phase that follows by time. Only the node that decides takes this step.
    /// `has_targets` says whether targets of the new version serve.
    pub(crate) fn next_by_time(&self, has_targets: bool, now: Instant) -> Option<Phase> {
        let latest_rise_at = self.latest_rise_at();
        match self.phase {
            // The service would end with its old targets.
            Phase::Canary if !has_targets => {
                (now >= self.deadline() - HOLD).then_some(Phase::Stopped)
            }
            Phase::Canary => {
                let must_delay =
                    self.tally.verdict().level >= DELAY_RISE_LEVEL && now < latest_rise_at;
                let may_rise =
                    now >= self.rise_at() && !must_delay && self.has_recent_log_contact(now);
                may_rise.then_some(Phase::Rising)
            }
            Phase::Rising | Phase::Full if !has_targets => {
                (now >= self.deadline()).then_some(Phase::Stopped)
            }
            Phase::Rising => (now >= self.phase_since + RISE).then_some(Phase::Full),
            Phase::Full | Phase::Stopped | Phase::Completed | Phase::RolledBack => None,
        }
    }

    /// Returns whether the new version has served everything for long enough.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        self.phase == Phase::Full && now >= self.phase_since + HOLD
    }

    /// Returns whether what the log holds of this version may be of an earlier order.
    pub(crate) fn is_new(&self, now: Instant) -> bool {
        self.fresh && !self.recorded && now < self.started_at + FRESH_FOR
    }

    /// Returns whether the log should be asked, so that the share may rise.
    pub fn awaits_log(&self, now: Instant) -> bool {
        let is_soon = self.phase == Phase::Canary && now + LOG_CONTACT_MAX / 2 >= self.rise_at();
        is_soon && !self.has_recent_log_contact(now + LOG_CONTACT_MAX / 2)
    }

    pub(crate) fn set_phase(&mut self, phase: Phase, since: Instant) {
        self.phase = phase;
        self.phase_since = since;
    }

    /// Excludes the version of an earlier rollout.
    pub(crate) fn exclude_version(&mut self, version: &str) {
        let is_known = self.excluded_versions.iter().any(|known| known == version);
        if !is_known && version != self.order.target_version {
            self.excluded_versions.push(version.to_owned());
        }
        let surplus = self
            .excluded_versions
            .len()
            .saturating_sub(EXCLUDED_MAX_COUNT);
        self.excluded_versions.drain(..surplus);
    }

    fn rise_at(&self) -> Instant {
        let duration = self.order.duration();
        let earliest = self.started_at + duration.mul_f64(RISE_AT_MIN_PART);
        let usual = self.started_at + duration.mul_f64(RISE_AT_PART);
        usual.min(self.latest_rise_at()).max(earliest)
    }

    fn latest_rise_at(&self) -> Instant {
        self.started_at + self.order.duration().saturating_sub(COMPLETION_TIME)
    }

    /// Returns whether the log answered recently. Without it the rollout could not be completed.
    fn has_recent_log_contact(&self, now: Instant) -> bool {
        self.log_contact_at
            .is_some_and(|at| now.saturating_duration_since(at) <= LOG_CONTACT_MAX)
    }
}

/// Returns the time `age_ms` before `now`, or `now` if there is no such time.
pub(crate) fn instant_before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}
