//! What a call is expected to cost at a target, and the work that the target has still to do.

use std::time::Instant;

use figway_cost::RequestClass;
use figway_types::NodeId;

use super::{
    CallTimings,
    LoadTracker,
    CONCURRENCY_MIN,
    OVERLOADED_WAIT_MS, //
};
use crate::picker::Candidate;

/// Run time that is assumed for a kind without samples, in milliseconds.
const UNKNOWN_RAN_MS: f64 = 40.0;

/// Part of the chance that no slot is free which a report takes away while it is new. Other nodes may
/// send calls at the same time.
const NEW_REPORT_TRUST: f64 = 0.5;

/// Expected cost of a call, at any target.
#[derive(Clone, Copy, Debug)]
pub struct RunCost {
    /// Run time at a target of factor 1, in milliseconds.
    pub cost_ms: f64,
    /// Wait at a target of unknown load, in milliseconds.
    kind_wait_ms: f64,
}

/// What a call is expected to meet at one target.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedCall {
    /// Run time, in milliseconds.
    pub ran_ms: f64,
    /// Time until a slot is free, in milliseconds.
    pub wait_ms: f64,
    /// Time on the path beyond its round trip, in milliseconds.
    pub overhead_ms: f64,
    /// Fraction of calls that the target fails.
    pub failed_ratio: f64,
}

impl LoadTracker {
    /// Records the run time of an answered call as a sample of its class and of its target.
    pub fn record_run(
        &mut self,
        target: &NodeId,
        class: &RequestClass<'_>,
        timings: &CallTimings,
        now: Instant,
    ) {
        let sample = self.costs.usual_ratio(class, timings.ran_ms);
        let kind_ms = self.costs.kind_mean_ms(class.kind);
        let load = self.load(target, now);
        if let Some(sample) = sample {
            load.factor.record(sample, now);
        }
        if let (Some(kind_ms), Some(mean_ran_ms)) = (kind_ms, timings.mean_ran_ms) {
            load.factor.record_mean(mean_ran_ms / kind_ms, now);
        }
        let factor = load.factor.lasting(now);
        self.costs.record(class, timings.ran_ms, factor);
    }

    /// Returns the expected cost of a call of the class.
    pub fn run_cost(&self, class: &RequestClass<'_>, now: Instant) -> RunCost {
        let stats = self.kinds.get(class.kind);
        RunCost {
            cost_ms: self.costs.mean_ms(class).unwrap_or(UNKNOWN_RAN_MS),
            kind_wait_ms: stats.map_or(0.0, |stats| stats.decayed_wait_ms(now)),
        }
    }

    /// Returns the factor by which calls run longer at the target than elsewhere.
    pub fn factor(&self, target: &NodeId, now: Instant) -> f64 {
        self.loads
            .get(target)
            .map_or(1.0, |load| load.factor.lasting(now))
    }

    /// Returns what a call of the cost `cost` is expected to meet at the candidate. The less is known of
    /// its load, the more it is assumed to be as busy as the others.
    pub fn expect(&self, cost: &RunCost, candidate: &Candidate<'_>, now: Instant) -> ExpectedCall {
        let Some(load) = self.loads.get(candidate.node_id) else {
            return ExpectedCall {
                ran_ms: cost.cost_ms,
                wait_ms: cost.kind_wait_ms,
                overhead_ms: 0.0,
                failed_ratio: self.failed_ratio,
            };
        };
        let ran_ms = cost.cost_ms * load.factor.current(now);
        let concurrency = candidate.concurrency(ran_ms).max(CONCURRENCY_MIN);
        let freshness = load.freshness(now);
        let unreported = load
            .in_flight_count
            .saturating_sub(load.reported_in_flight_count);
        let unreported = f64::from(unreported);
        let usual_busy = self.reported_busy_ratio * (1.0 - freshness);
        let busy = load.report.busy_ratio * freshness + usual_busy + unreported / concurrency;
        let slot_ms = ran_ms / concurrency;
        let full_chance = busy.min(1.0).powf(concurrency) * (1.0 - NEW_REPORT_TRUST * freshness);
        let reported_ms = load.report.wait_ms * freshness + cost.kind_wait_ms * (1.0 - freshness);
        let excess_count = (unreported - (1.0 - busy).max(0.0) * concurrency).max(0.0);
        let mut wait_ms = reported_ms + (full_chance + excess_count) * slot_ms;
        if load.overloaded_until > now {
            wait_ms = wait_ms.max(OVERLOADED_WAIT_MS);
        }
        ExpectedCall {
            ran_ms,
            wait_ms,
            overhead_ms: load.decayed_overhead_ms(now),
            failed_ratio: load.expected_failed_ratio(self.failed_ratio, now),
        }
    }
}
