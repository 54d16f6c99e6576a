//! All rollouts that a node knows: the newest of each service.

use std::collections::BTreeMap;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    NodeId,
    Offset, //
};

use crate::evidence::{
    EvidenceReport,
    RunSample, //
};
use crate::order::{
    ExposureLimits,
    RolloutOrder, //
};
use crate::phase::Phase;
use crate::rollout::Rollout;
use crate::state::{
    instant_before,
    RolloutState, //
};
use crate::status::{
    StatusRecord,
    StatusState, //
};

/// Difference of two ages of one order that is not sent to others. Delays of messages alone make ages
/// differ.
const AGE_TOLERANCE: Duration = Duration::from_millis(150);

/// Largest number of services with a rollout, which bounds memory. Further ones are ignored.
const SERVICE_MAX_COUNT: usize = 4_096;

/// Rollouts for a peer.
#[derive(Clone, Debug, Default)]
pub struct StateBatch {
    /// States, in the order in which this node learned them.
    pub states: Vec<RolloutState>,
    /// Number of the last one.
    pub last_sequence: u64,
}

/// Rollouts that a node knows.
#[derive(Debug, Default)]
pub struct RolloutBook {
    limits: ExposureLimits,
    rollouts: BTreeMap<String, Rollout>,
    last_sequence: u64,
}

impl RolloutBook {
    /// Sets the limits on what a bad version may get.
    pub fn set_limits(&mut self, limits: ExposureLimits) {
        self.limits = limits;
    }

    /// Returns the limits on what a bad version may get.
    pub fn limits(&self) -> &ExposureLimits {
        &self.limits
    }

    /// Returns the newest rollout of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// Returns all rollouts, the newest of each service.
    pub fn rollouts(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values()
    }

    /// Returns the rollouts whose end is not recorded in the log.
    pub fn open(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts
            .values()
            .filter(|rollout| !rollout.phase.is_final())
    }

    /// Records an order that was read from the operator's topic. `fresh` says whether it was read as soon
    /// as it was written, `base` which version the service runs. Returns whether the order is new.
    pub fn record_order(
        &mut self,
        order: &RolloutOrder,
        offset: Offset,
        fresh: bool,
        base: Option<&str>,
        now: Instant,
    ) -> bool {
        let earlier = self.rollouts.get(&order.service);
        if earlier.is_none() && self.rollouts.len() >= SERVICE_MAX_COUNT {
            return false;
        }
        if earlier.is_some_and(|earlier| !replaces(order, offset, earlier)) {
            return false;
        }
        let mut rollout = Rollout::new(order, offset, now);
        // The log was followed before, so that the order is newer than what is known.
        rollout.fresh = fresh || earlier.is_some();
        rollout.base = base.map(str::to_owned);
        if let Some(earlier) = earlier {
            inherit_versions(&mut rollout, earlier);
        }
        if rollout.base.as_deref() == Some(order.target_version.as_str()) {
            rollout.serve_base(now);
        }
        self.insert(rollout);
        true
    }

    /// Merges the state that a peer sent. Returns whether this node learned something.
    pub fn merge(&mut self, state: &RolloutState, now: Instant) -> bool {
        if state.order.check().is_err() {
            return false;
        }
        let Some(known) = self.rollouts.get_mut(&state.order.service) else {
            if self.rollouts.len() < SERVICE_MAX_COUNT {
                self.insert(Rollout::from_state(state, now));
                return true;
            }
            return false;
        };
        if known.order_offset > state.order_offset {
            return false;
        }
        if known.order_offset < state.order_offset {
            let mut rollout = Rollout::from_state(state, now);
            inherit_versions(&mut rollout, known);
            self.insert(rollout);
            return true;
        }
        if !merge_same(known, state, now) {
            return false;
        }
        let service = state.order.service.clone();
        self.mark_changed(&service);
        true
    }

    /// Counts a run at the target beside this node, if its service has an open rollout.
    pub fn record_run(
        &mut self,
        service: &str,
        version: &str,
        route: &str,
        sample: RunSample,
        is_cold: bool,
    ) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            if !rollout.phase.is_final() {
                rollout.counter.record(version, route, sample, is_cold);
            }
        }
    }

    /// Returns what this node counted for the open rollout of a service.
    pub fn report(&self, service: &str, node_id: &NodeId, epoch: u64) -> Option<EvidenceReport> {
        let rollout = self.rollouts.get(service)?;
        if rollout.phase.is_final() || rollout.counter.run_count() == 0 {
            return None;
        }
        Some(EvidenceReport {
            node_id: node_id.clone(),
            epoch,
            service: service.to_owned(),
            order_offset: rollout.order_offset,
            versions: rollout.counter.versions().clone(),
        })
    }

    /// Merges evidence of a node. Returns whether it stops the new version, with a score of at least
    /// `limit`.
    pub fn merge_evidence(&mut self, report: &EvidenceReport, limit: f64, now: Instant) -> bool {
        let Some(rollout) = self.rollouts.get_mut(&report.service) else {
            return false;
        };
        rollout.merge_evidence(report, now);
        let Some(phase) = rollout.next_by_evidence(limit) else {
            return false;
        };
        rollout.set_phase(phase, now);
        self.mark_changed(&report.service);
        true
    }

    /// Takes the step of a rollout that is due by time, or asks for more evidence on a route. Only the
    /// node that decides calls this. Returns whether the rollout changed.
    pub fn advance(&mut self, service: &str, has_targets: bool, now: Instant) -> bool {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return false;
        };
        if let Some(phase) = rollout.next_by_time(has_targets, now) {
            rollout.set_phase(phase, now);
        } else if let Some(probe) = rollout.next_probe(&self.limits, has_targets, now) {
            rollout.probe = probe;
        } else {
            return false;
        }
        self.mark_changed(service);
        true
    }

    /// Records that the log answered at `at`, when the status of a service was read.
    pub fn record_log_contact(&mut self, service: &str, at: Instant) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.log_contact_at = Some(at);
        }
    }

    /// Records that the log holds the rollout with the order at `offset` as running, at `status_at`.
    pub fn record_running(&mut self, service: &str, offset: Offset, status_at: Offset) {
        let rollout = self.rollouts.get_mut(service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order_offset == offset) {
            rollout.recorded = true;
            rollout.status_at = rollout.status_at.max(Some(status_at));
            self.mark_changed(service);
        }
    }

    /// Records that the log holds an order before the newest one as completed, if `newest` says so. Its
    /// record was under way when the later order was read.
    pub fn record_completed_before(&mut self, newest: &StatusRecord, now: Instant) {
        let status = &newest.status;
        let Some(rollout) = self.rollouts.get_mut(&status.service) else {
            return;
        };
        let version = &status.target_version;
        let is_target = *version == rollout.order.target_version;
        let is_earlier = match is_target {
            true => !rollout.owns_status(status.state, newest.offset),
            false => rollout.excluded_versions().any(|known| known == version),
        };
        let is_known = rollout.completed_before.as_ref() == Some(version);
        if status.state != StatusState::Completed || !is_earlier || is_known {
            return;
        }
        rollout.completed_before = Some(version.clone());
        if is_target && rollout.phase < Phase::Full {
            rollout.serve_base(now);
        }
        self.mark_changed(&status.service);
    }

    /// Records how the log holds, at `status_at`, that the rollout with the order at `offset` ended.
    pub fn record_end(
        &mut self,
        service: &str,
        offset: Offset,
        phase: Phase,
        status_at: Offset,
        now: Instant,
    ) {
        let rollout = self.rollouts.get_mut(service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order_offset == offset) {
            rollout.set_phase(phase, now);
            rollout.status_at = rollout.status_at.max(Some(status_at));
            self.mark_changed(service);
        }
    }

    /// Returns whether the end of some rollout is not recorded in the log.
    pub fn has_open(&self) -> bool {
        self.open().next().is_some()
    }

    /// Returns the number of the last change that this node learned.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the rollouts that changed after `sequence`, `max_count` at most.
    pub fn states_after(&self, sequence: u64, max_count: usize, now: Instant) -> StateBatch {
        let mut changed: Vec<&Rollout> = Vec::new();
        for rollout in self.rollouts.values() {
            if rollout.sequence > sequence {
                changed.push(rollout);
            }
        }
        changed.sort_by_key(|rollout| rollout.sequence);
        changed.truncate(max_count);
        StateBatch {
            last_sequence: changed.last().map_or(sequence, |last| last.sequence),
            states: changed.iter().map(|rollout| rollout.state(now)).collect(),
        }
    }

    fn insert(&mut self, rollout: Rollout) {
        let service = rollout.order.service.clone();
        self.rollouts.insert(service.clone(), rollout);
        self.mark_changed(&service);
    }

    fn mark_changed(&mut self, service: &str) {
        self.last_sequence += 1;
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.sequence = self.last_sequence;
        }
    }
}

/// Returns whether the order at `offset` replaces the earlier one. A log that went back to an older copy
/// may hold the same order in a later era.
fn replaces(order: &RolloutOrder, offset: Offset, earlier: &Rollout) -> bool {
    let is_same = offset.index() == earlier.order_offset.index() && *order == earlier.order;
    offset > earlier.order_offset && !is_same
}

/// Takes over from the earlier rollout of the service the base version, the excluded versions and the
/// place of its end in the log.
fn inherit_versions(rollout: &mut Rollout, earlier: &Rollout) {
    let is_open = !earlier.phase.is_final();
    // A record of the earlier order that is under way is refused once a later one is in the log.
    let may_end_late = is_open || earlier.replaces_open && !earlier.recorded;
    rollout.replaces_open |= may_end_late;
    let earlier_at = earlier.status_at.max(earlier.earlier_status_at);
    rollout.earlier_status_at = rollout.earlier_status_at.max(earlier_at);
    let excluded = &mut rollout.excluded_versions;
    excluded.merge(&earlier.excluded_versions);
    if let Some(completed) = &earlier.completed_before {
        excluded.remove(completed);
    }
    match earlier.phase {
        Phase::Completed => {
            rollout.base = Some(earlier.order.target_version.clone());
        }
        _ => {
            excluded.add(&earlier.order.target_version, earlier.order_offset);
            if earlier.base().is_some() {
                rollout.base = earlier.base().map(str::to_owned);
            }
        }
    }
    rollout
        .excluded_versions
        .remove(&rollout.order.target_version);
}

/// Merges the state of the same order. Returns whether this node learned something.
fn merge_same(known: &mut Rollout, state: &RolloutState, now: Instant) -> bool {
    let mut learned = false;
    let started_at = instant_before(now, state.age_ms);
    if started_at + AGE_TOLERANCE < known.started_at {
        known.started_at = started_at;
        learned = true;
    }
    if state.phase > known.phase {
        known.set_phase(state.phase, instant_before(now, state.phase_age_ms));
        learned = true;
    }
    if known.completed_before.is_none() && state.completed_before.is_some() {
        known.completed_before.clone_from(&state.completed_before);
        learned = true;
    }
    if state.probe > known.probe {
        known.probe.clone_from(&state.probe);
        learned = true;
    }
    known.fresh |= state.fresh;
    known.replaces_open |= state.replaces_open;
    known.status_at = known.status_at.max(state.status_at);
    known.earlier_status_at = known.earlier_status_at.max(state.earlier_status_at);
    if state.recorded && !known.recorded {
        known.recorded = true;
        learned = true;
    }
    if known.base.is_none() && state.base.is_some() {
        known.base.clone_from(&state.base);
        learned = true;
    }
    learned |= known.excluded_versions.merge(&state.excluded_versions);
    learned
}
