//! Throttle of calls that belong to customers: it refuses those of customers above their share first.

use std::time::{
    Duration,
    Instant, //
};

use crate::shares::{
    ShareHolder,
    Shares, //
};
use crate::throttle::Throttle;

/// Throttle that also counts calls by customer.
#[derive(Clone, Debug)]
pub struct CustomerThrottle {
    throttle: Throttle,
    shares: Shares,
}

impl CustomerThrottle {
    /// Creates a throttle that lets `headroom_ratio` calls through for each one that was accepted.
    pub fn new(headroom_ratio: f64, ignored_count: f64, now: Instant) -> Self {
        Self {
            throttle: Throttle::new(headroom_ratio, ignored_count, now),
            shares: Shares::new(now),
        }
    }

    /// Decides whether a call is let through, with a random number from 0 to 1, and records it if it is
    /// refused. `holder` is `None` in deployments without customers.
    ///
    /// # Errors
    ///
    /// The call is refused. The error is the time after which its caller should try again.
    pub fn try_call(
        &mut self,
        holder: Option<ShareHolder<'_>>,
        random_ratio: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(holder) = holder else {
            return self.throttle.try_call(random_ratio, now);
        };
        let refused_ratio = self.throttle.refused_ratio(now);
        if random_ratio >= self.shares.refused_ratio(holder, refused_ratio, now) {
            return Ok(());
        }
        self.record(Some(holder), false, now);
        Err(self.retry_after(random_ratio, now))
    }

    /// Records a call that was refused here or at the targets, or accepted by one.
    pub fn record(&mut self, holder: Option<ShareHolder<'_>>, accepted: bool, now: Instant) {
        self.throttle.record(accepted, now);
        if let Some(holder) = holder {
            self.shares.record(holder, accepted, now);
        }
    }

    /// Returns the time after which a refused caller should try again, see [`Throttle::retry_after`].
    pub fn retry_after(&self, random_ratio: f64, now: Instant) -> Duration {
        self.throttle.retry_after(random_ratio, now)
    }
}
