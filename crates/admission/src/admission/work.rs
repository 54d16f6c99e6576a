//! Work that the target has still to do, by the distribution of run times.

use std::time::{
    Duration,
    Instant, //
};

use super::{
    Admission,
    Running, //
};

impl Admission {
    /// Sets whether the expected wait is computed from the remaining time of each running call, by the
    /// time that it has run, instead of half of the mean.
    pub fn set_uses_remaining_time(&mut self, uses_remaining_time: bool) {
        self.uses_remaining_time = uses_remaining_time;
    }

    /// Returns the run time that the share `share` of the calls of the kind doesn't exceed at this
    /// target.
    pub fn time_quantile(&self, kind: &str, share: f64) -> Duration {
        self.times.quantile(kind, share)
    }

    /// Returns how long the calls that run and wait are expected to hold slots yet, in total.
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

    /// Returns how long a running call is expected to hold its slot yet.
    pub(super) fn expected_remaining(&self, call: &Running, now: Instant) -> Duration {
        if !self.uses_remaining_time {
            return self.times.mean(&call.kind) / 2;
        }
        let elapsed = now.saturating_duration_since(call.started_at);
        self.times.remaining(&call.kind, elapsed)
    }
}
