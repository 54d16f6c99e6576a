//! Exponential backoff with jitter.

use std::time::{
    Duration,
    Instant, //
};

/// Delays between attempts, doubled after each attempt up to a bound, with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_ms: u64,
    max_ms: u64,
    attempt_count: u32,
    seed: u64,
}

impl Backoff {
    /// Creates a backoff whose delays start at `first_ms` and are bounded by `max_ms`, both in
    /// milliseconds; `seed` determines the jitter.
    pub fn new(first_ms: u64, max_ms: u64, seed: u64) -> Self {
        Self {
            first_ms,
            max_ms,
            attempt_count: 0,
            seed,
        }
    }

    /// Returns when the next attempt is due. The delay is random, between half of the bounded
    /// exponential delay and all of it.
    pub fn next_attempt_at(&mut self, now: Instant) -> Instant {
        let factor = 1_u64 << self.attempt_count.min(20);
        let bound_ms = self.first_ms.saturating_mul(factor).min(self.max_ms).max(1);
        self.attempt_count += 1;
        self.seed = crate::mix(self.seed);
        let delay_ms = bound_ms / 2 + self.seed % (bound_ms / 2 + 1);
        now + Duration::from_millis(delay_ms)
    }

    /// Resets the delay to `first_ms`; called after a success.
    pub fn reset(&mut self) {
        self.attempt_count = 0;
    }
}
