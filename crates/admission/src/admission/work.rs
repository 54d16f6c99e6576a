//! Work that the target has still to do, by the distribution of run times.

use std::time::{
    Duration,
    Instant, //
};

use super::calls::Running;
use super::{
    Admission,
    AdmissionLimits,
    CallView, //
};
use crate::estimate::{
    Costed,
    ServiceTimes, //
};

/// Share of the calls admitted as prompt that are expected to be prompt.
const PROMPT_SHARE: f64 = 0.75;

/// Fraction of its usual run time that a call must have left to be worth starting.
const WORTHWHILE_RATIO: f64 = 0.8;

/// Returns the time before its deadline at which a call must start at the latest.
pub(super) fn needed_time(
    times: &ServiceTimes,
    limits: &AdmissionLimits,
    call: Costed<'_>,
) -> Duration {
    let shortest = times.min(call.kind).unwrap_or(Duration::ZERO);
    if !limits.overload_control {
        return shortest;
    }
    let usual = times.steady_mean(call).unwrap_or(Duration::ZERO);
    usual.mul_f64(WORTHWHILE_RATIO).max(shortest)
}

impl Admission {
    /// Returns the kind of a new call and its expected cost. Without overload control all calls of a
    /// kind count as equal.
    pub(super) fn costed<'a>(&self, call: &CallView<'a>) -> Costed<'a> {
        if self.limits.overload_control {
            return self.times.costed(&call.class());
        }
        Costed::of_kind(call.kind)
    }

    /// Returns the run time with which a call counts as prompt or late.
    pub(super) fn prompt_time(&self, call: Costed<'_>) -> Duration {
        if self.limits.overload_control {
            return self.times.quantile(call, PROMPT_SHARE);
        }
        self.times.mean(call)
    }

    /// Returns how long a running call is still expected to hold its slot.
    pub(super) fn expected_remaining(&self, call: &Running, now: Instant) -> Duration {
        if !self.limits.overload_control {
            return self.times.mean(call.class.costed()) / 2;
        }
        let elapsed = now.saturating_duration_since(call.started_at);
        self.times.remaining(call.class.costed(), elapsed)
    }
}
