//! Exponential backoff with jitter.

use std::time::{
    Duration,
    Instant, //
};

/// Delays between tries, doubled each time up to a bound and spread by jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_ms: u64,
    max_ms: u64,
    try_count: u32,
    seed: u64,
}

impl Backoff {
    /// Starts at `first_ms` and grows to `max_ms`; `seed` fixes the jitter.
    pub fn new(first_ms: u64, max_ms: u64, seed: u64) -> Self {
        Self {
            first_ms,
            max_ms,
            try_count: 0,
            seed,
        }
    }

    /// Returns when the next try is due: between half and all of the bounded exponential delay.
    pub fn next_attempt_at(&mut self, now: Instant) -> Instant {
        let factor = 1_u64 << self.try_count.min(20);
        let bound_ms = self.first_ms.saturating_mul(factor).min(self.max_ms).max(1);
        self.try_count += 1;
        self.seed = crate::mix(self.seed);
        let delay_ms = bound_ms / 2 + self.seed % (bound_ms / 2 + 1);
        now + Duration::from_millis(delay_ms)
    }

    /// Goes back to the first delay after a success.
    pub fn reset(&mut self) {
        self.try_count = 0;
    }
}
