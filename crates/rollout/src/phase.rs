//! Phases of a rollout, and the share of the new version in each.

use std::time::{
    Duration,
    Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::order::ExposureLimits;

/// Time in which the share rises from the canary's to all.
pub(crate) const RISE: Duration = Duration::from_millis(1_000);

/// Time for which the new version serves everything before the rollout is completed, so that calls at
/// the old targets end first.
pub(crate) const HOLD: Duration = Duration::from_millis(700);

/// Phase of a rollout. A later variant outweighs an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The new version gets a small share.
    Canary,
    /// The share rises.
    Rising,
    /// The new version gets everything.
    Full,
    /// The new version is bad and gets nothing; the log does not hold the end.
    Stopped,
    /// The log holds that the rollout is completed.
    Completed,
    /// The log holds that the rollout is rolled back.
    RolledBack,
}

impl Phase {
    /// Returns whether the log holds how the rollout ended.
    pub fn is_final(self) -> bool {
        self >= Phase::Completed
    }

    /// Returns the name of the phase in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Canary => "canary",
            Phase::Rising => "rising",
            Phase::Full => "full",
            Phase::Stopped => "stopped",
            Phase::Completed => "completed",
            Phase::RolledBack => "rolled-back",
        }
    }

    /// Returns the share of the new version at `now` in the phase that began at `since`.
    pub(crate) fn share(self, since: Instant, now: Instant, limits: &ExposureLimits) -> f64 {
        let canary = limits.canary_share();
        match self {
            Phase::Canary => canary,
            Phase::Rising => {
                let part = now.saturating_duration_since(since).as_secs_f64() / RISE.as_secs_f64();
                // A share that rises by a constant factor keeps the exposure before the last steps
                // small, while each step still shows the version under more load.
                canary.powf(1.0 - part.clamp(0.0, 1.0))
            }
            Phase::Full | Phase::Completed => 1.0,
            Phase::Stopped | Phase::RolledBack => 0.0,
        }
    }
}
