//! Moving averages of each request kind over all targets.

use std::time::{
    Duration,
    Instant, //
};

/// Weight of a new sample of a kind's wait.
const WAIT_WEIGHT: f64 = 0.1;

/// Shortest half-life, without samples, of the wait that is assumed at targets of unknown load.
const WAIT_HALF_LIFE_MIN: Duration = Duration::from_millis(500);

/// Moving averages of a request kind over all targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct KindStats {
    pub(super) ran_ms: f64,
    pub(super) body_bytes: f64,
    pub(super) wait_ms: f64,
    pub(super) wait_sampled_at: Instant,
}

impl KindStats {
    /// Returns the mean wait of recent calls at any target, in milliseconds.
    pub(super) fn decayed_wait_ms(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.wait_sampled_at);
        let half_life_s = WAIT_HALF_LIFE_MIN.as_secs_f64().max(self.ran_ms / 1_000.0);
        let half_lives = idle.as_secs_f64() / half_life_s;
        self.wait_ms * 0.5_f64.powf(half_lives)
    }

    pub(super) fn record_wait(&mut self, wait_ms: f64, now: Instant) {
        let current_ms = self.decayed_wait_ms(now);
        self.wait_ms = current_ms + WAIT_WEIGHT * (wait_ms - current_ms);
        self.wait_sampled_at = now;
    }
}
