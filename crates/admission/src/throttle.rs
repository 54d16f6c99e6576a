//! Refusal of calls at the node of their caller while the targets refuse most of them, so that an
//! overloaded service spends its time on the calls that it serves.
//!
//! Each node goes by its own calls: it lets through little more than the targets accepted recently.
//! Those few calls show it when there is room again. See "Handling Overload" in the book "Site
//! Reliability Engineering" (client-side throttling).

use std::time::{
    Duration,
    Instant, //
};

/// Half-life of the counts. What is let through grows by the headroom within about this time when there
/// is room again, so that a peak of some seconds is not followed by as many of needless refusals.
const HALF_LIFE: Duration = Duration::from_millis(400);

/// Longest time after which a caller is told to try again.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(800);

/// Shortest hint for the time to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Counts of calls that decay with time, by which the next ones are let through or refused.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    /// Calls let through for each call that was accepted.
    headroom_ratio: f64,
    /// Count of recent refusals up to which no call is refused here.
    ignored_count: f64,
    asked_count: f64,
    accepted_count: f64,
    counted_at: Instant,
}

impl Throttle {
    /// Creates a throttle that lets `headroom_ratio` calls through for each one that was accepted. It refuses
    /// none until it has counted more than `ignored_count` refusals.
    pub fn new(headroom_ratio: f64, ignored_count: f64, now: Instant) -> Self {
        Self {
            headroom_ratio,
            ignored_count,
            asked_count: 0.0,
            accepted_count: 0.0,
            counted_at: now,
        }
    }

    /// Returns the share of calls to refuse.
    pub fn refused_ratio(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        let asked_count = self.asked_count * decay;
        let accepted_count = self.accepted_count * decay;
        if asked_count - accepted_count <= self.ignored_count {
            return 0.0;
        }
        let let_through_count = accepted_count * self.headroom_ratio;
        ((asked_count - let_through_count) / (asked_count + 1.0)).max(0.0)
    }

    /// Decides whether a call is let through, with a random number from 0 to 1, and records it if it is
    /// refused.
    ///
    /// # Errors
    ///
    /// The call is refused. The error is the time after which its caller should try again.
    pub fn try_call(&mut self, random_ratio: f64, now: Instant) -> Result<(), Duration> {
        if random_ratio >= self.refused_ratio(now) {
            return Ok(());
        }
        self.record(false, now);
        Err(self.retry_after(random_ratio, now))
    }

    /// Records a call that was refused here or at the targets, or accepted by one.
    pub fn record(&mut self, accepted: bool, now: Instant) {
        let decay = self.decay(now);
        self.asked_count = self.asked_count * decay + 1.0;
        self.accepted_count = self.accepted_count * decay + f64::from(u8::from(accepted));
        self.counted_at = now;
    }

    /// Returns the time after which a refused caller should try again: longer, the more calls are refused,
    /// and spread by `random_ratio`, from 0 to 1, so that callers don't try again together.
    pub fn retry_after(&self, random_ratio: f64, now: Instant) -> Duration {
        let spread = RETRY_AFTER_MAX.mul_f64(self.refused_ratio(now) * (0.5 + random_ratio));
        spread.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.counted_at);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
