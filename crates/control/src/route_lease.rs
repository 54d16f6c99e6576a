//! Lease on the applied route table: how long ago the log is known to have held no newer one.
//!
//! A node whose lease runs out asks the log itself, whoever else reads it. Answers of peers extend
//! the lease, so that a node with peers that read the log rarely has to ask.

use std::time::Duration;

use figway_types::BootInstant;

/// Age of a confirmation from which on a node asks the log itself.
const ASK_AFTER: Duration = Duration::from_millis(800);

/// Time over which the nodes of a zone spread their first calls, so that the first ones ask and the
/// others learn from them.
const ASK_SPREAD: Duration = Duration::from_millis(300);

/// Number of steps of that time. The nodes of the first ranks have one each, all others share the
/// last one.
const ASK_STEP_COUNT: usize = 4;

/// Upper limit for the calls per second of all nodes together. A node of a larger mesh asks less
/// often.
const ASK_RATE_MAX: f64 = 400.0;

/// Statement that a node's table was the newest one of the log, as nodes send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteConfirmation {
    /// Version of the table that the sender applied.
    pub version: u64,
    /// Time since the log was known to hold no newer version.
    pub age: Duration,
}

/// Lease on the applied route table.
#[derive(Debug, Default)]
pub(crate) struct RouteLease {
    confirmed_at: Option<BootInstant>,
}

impl RouteLease {
    /// Records that the log held no table newer than the applied one at `confirmed_at`.
    pub(crate) fn confirm(&mut self, confirmed_at: BootInstant) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Returns the age of the last confirmation, if there is one.
    pub(crate) fn age(&self, now: BootInstant) -> Option<Duration> {
        Some(now.saturating_since(self.confirmed_at?))
    }

    /// Returns the time until the node must ask the log itself. `spread` is the node's share of the
    /// time over which nodes spread their calls, see [`ask_spread`].
    pub(crate) fn time_left(&self, now: BootInstant, node_count: usize, spread: f64) -> Duration {
        let Some(age) = self.age(now) else {
            return Duration::ZERO;
        };
        let ask_after = ASK_AFTER.max(spacing(node_count)) + ASK_SPREAD.mul_f64(spread);
        ask_after.saturating_sub(age)
    }
}

/// Returns when a node of `rank` in its zone asks, as a share of the time over which nodes spread
/// their calls. `random_ratio` is between 0 and 1, drawn once for each wait.
pub(crate) fn ask_spread(rank: Option<usize>, random_ratio: f64) -> f64 {
    let step = rank.unwrap_or(0).min(ASK_STEP_COUNT - 1);
    (step as f64 + random_ratio) / ASK_STEP_COUNT as f64
}

/// Returns the time between two calls of one node at which all nodes together make as many calls as
/// they may.
pub(crate) fn spacing(node_count: usize) -> Duration {
    Duration::from_secs_f64(node_count as f64 / ASK_RATE_MAX)
}
