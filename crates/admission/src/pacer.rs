//! Paces calls at the rate limit that a target states.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::RateLimit;

/// Span of time for which tokens accumulate while no call takes them. It is short, so that calls
/// after a pause do not reach the target all at once.
const BURST_S: f64 = 0.1;

/// Lower bound of the rate, in calls per second. Even at a limit of 0 a call passes now and then, so
/// that its answer tells whether the limit still holds.
const RATE_MIN_PER_S: f64 = 0.25;

/// Token bucket that paces calls at a rate limit.
#[derive(Clone, Debug)]
pub(crate) struct Pacer {
    limit: RateLimit,
    token_count: f64,
    refilled_at: Instant,
}

impl Pacer {
    /// Creates a pacer without tokens.
    pub(crate) fn new(limit: RateLimit, now: Instant) -> Self {
        Self {
            limit,
            token_count: 0.0,
            refilled_at: now,
        }
    }

    /// Returns the limit.
    pub(crate) fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Replaces the limit. Tokens above the burst of the new limit are dropped.
    pub(crate) fn set_limit(&mut self, limit: RateLimit, now: Instant) {
        self.token_count = self.token_count_at(now);
        self.refilled_at = now;
        self.limit = limit;
        self.token_count = self.token_count.min(self.burst_count());
    }

    /// Returns whether a call may start now.
    pub(crate) fn has_token(&self, now: Instant) -> bool {
        self.token_count_at(now) >= 1.0
    }

    /// Takes the token of a call that starts now.
    pub(crate) fn take_token(&mut self, now: Instant) {
        self.token_count = self.token_count_at(now) - 1.0;
        self.refilled_at = now;
    }

    /// Returns the time until the token of the call at position `index` of the queue is there,
    /// counted from 0.
    pub(crate) fn wait(&self, index: usize, now: Instant) -> Duration {
        let missing_count = (index + 1) as f64 - self.token_count_at(now);
        Duration::try_from_secs_f64(missing_count.max(0.0) / self.rate_per_s())
            .unwrap_or(Duration::MAX)
    }

    fn rate_per_s(&self) -> f64 {
        self.limit.per_s().max(RATE_MIN_PER_S)
    }

    fn burst_count(&self) -> f64 {
        (self.rate_per_s() * BURST_S).max(1.0)
    }

    fn token_count_at(&self, now: Instant) -> f64 {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        // At a huge limit the product may be infinite, but not the burst.
        (self.token_count + elapsed_s * self.rate_per_s()).min(self.burst_count())
    }
}
