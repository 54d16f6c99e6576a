//! Work that the target has still to do, by the distribution of run times.

use std::time::{
    Duration,
    Instant, //
};

use super::{
    Admission,
    AdmissionLimits,
    Running, //
};
use crate::estimate::ServiceTimes;

/// Share of the calls admitted as prompt that are expected to be prompt.
const PROMPT_SHARE: f64 = 0.75;

/// Fraction of its usual run time that a call must have left to be worth starting.
const WORTHWHILE_RATIO: f64 = 0.8;

/// Returns the time before its deadline at which a call of the kind must start at the latest.
pub(super) fn needed_time(times: &ServiceTimes, limits: &AdmissionLimits, kind: &str) -> Duration {
    let shortest = times.min(kind).unwrap_or(Duration::ZERO);
    if !limits.overload_control {
        return shortest;
    }
    let usual = times.steady_mean(kind).unwrap_or(Duration::ZERO);
    usual.mul_f64(WORTHWHILE_RATIO).max(shortest)
}

impl Admission {
    /// Returns the run time that the share `share` of the calls of the kind doesn't exceed at this
    /// target.
    pub fn time_quantile(&self, kind: &str, share: f64) -> Duration {
        self.times.quantile(kind, share)
    }

    /// Returns how long the calls that run and wait are still expected to hold slots, in total.
    pub fn remaining_work(&self, now: Instant) -> Duration {
        let mut work = Duration::ZERO;
        for call in &self.running {
            let elapsed = now.saturating_duration_since(call.started_at);
            work += self.times.remaining(&call.kind, elapsed);
        }
        for call in &self.waiting {
            work += self.times.mean(&call.kind);
        }
        work
    }

    /// Returns the run time with which a call of the kind counts as prompt or late.
    pub(super) fn prompt_time(&self, kind: &str) -> Duration {
        if self.limits.overload_control {
            return self.times.quantile(kind, PROMPT_SHARE);
        }
        self.times.mean(kind)
    }

    /// Returns how long a running call is still expected to hold its slot.
    pub(super) fn expected_remaining(&self, call: &Running, now: Instant) -> Duration {
        if !self.limits.overload_control {
            return self.times.mean(&call.kind) / 2;
        }
        let elapsed = now.saturating_duration_since(call.started_at);
        self.times.remaining(&call.kind, elapsed)
    }
}
