//! Order of a rollout, as the operator writes it, and the limits that hold for all rollouts.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Shortest duration of a rollout. Evidence takes some hundred milliseconds to arrive, and the last
/// part of a rollout takes 1.7 s.
const DURATION_MIN: Duration = Duration::from_secs(2);

/// Longest duration of a rollout.
const DURATION_MAX: Duration = Duration::from_secs(24 * 3_600);

/// Order to move the traffic of a service to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose version changes.
    pub service: String,
    /// Version to which its traffic moves.
    pub target_version: String,
    /// Time within which the rollout must end, in milliseconds.
    pub duration_ms: u64,
}

/// Why an order has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The order names no service.
    NoService,
    /// The order names no version.
    NoVersion,
    /// The duration is not between 2 s and a day.
    Duration,
}

impl std::fmt::Display for OrderError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            OrderError::NoService => "it names no service",
            OrderError::NoVersion => "it names no version",
            OrderError::Duration => "its duration is not between 2 s and a day",
        })
    }
}

impl std::error::Error for OrderError {}

impl RolloutOrder {
    /// Checks that the order can be carried out.
    ///
    /// # Errors
    ///
    /// The first field that is not valid.
    pub fn check(&self) -> Result<(), OrderError> {
        if self.service.is_empty() {
            return Err(OrderError::NoService);
        }
        if self.target_version.is_empty() {
            return Err(OrderError::NoVersion);
        }
        if !(DURATION_MIN..=DURATION_MAX).contains(&self.duration()) {
            return Err(OrderError::Duration);
        }
        Ok(())
    }

    /// Returns the time within which the rollout must end.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

/// Limits on what a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimits {
    /// Largest share of the requests of a service between order and deadline.
    pub share_ratio: f64,
    /// Requests beyond that share.
    pub slack_count: u64,
    /// Time after the 50th bad answer within which the version must get no more requests.
    pub rollback: Duration,
}

impl Default for ExposureLimits {
    fn default() -> Self {
        Self {
            share_ratio: 0.1,
            slack_count: 50,
            rollback: Duration::from_secs(5),
        }
    }
}

/// Largest share of the new version before the rise.
const CANARY_SHARE_MAX: f64 = 0.07;

/// Part of the allowed share that the canary takes. The rest is for the rise.
const CANARY_PART: f64 = 0.6;

impl ExposureLimits {
    /// Returns the share of the new version before the rise.
    pub fn canary_share(&self) -> f64 {
        (self.share_ratio * CANARY_PART).clamp(0.001, CANARY_SHARE_MAX)
    }
}
