//! What the sum of a customer's requests over all nodes may exceed its limit by.

use std::time::Duration;

use figway_customers::CustomerLimit;

/// Part of the permitted overrun that enlarges the buckets, so that customers at their limit are not
/// refused for the delay of reports. The rest covers requests that nodes admit before they learn that
/// a customer is above its limit.
const RESERVE_RATIO: f64 = 0.1;

/// The same of the permitted slack, most of which covers small customers, whose requests are reported
/// late.
const RESERVE_SLACK_RATIO: f64 = 0.05;

/// Largest rate and burst; higher ones count as this.
const LIMIT_MAX: f64 = 1e9;

/// Bounds within which limits have to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// Length of the sliding window in which requests are summed.
    pub window: Duration,
    /// Permitted overrun as a ratio of the requests that the limit allows in a window.
    pub overrun_ratio: f64,
    /// Requests permitted in a window beyond that ratio.
    pub slack_count: f64,
}

impl Default for LimitBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overrun_ratio: 0.1,
            slack_count: 20.0,
        }
    }
}

impl LimitBounds {
    /// Returns the largest number of requests that may run in a window.
    pub fn permitted_count(&self, limit: &CustomerLimit) -> f64 {
        let limit_count = limit.rate_per_s * self.window.as_secs_f64() + limit.burst_count;
        limit_count * (1.0 + self.overrun_ratio) + self.slack_count
    }

    /// Returns the capacity of a customer's bucket.
    pub(crate) fn capacity(&self, limit: &CustomerLimit) -> f64 {
        let limit_count = limit.rate_per_s * self.window.as_secs_f64() + limit.burst_count;
        let reserve_count = limit_count * self.overrun_ratio * RESERVE_RATIO;
        limit.burst_count + reserve_count + self.slack_count * RESERVE_SLACK_RATIO
    }
}

/// Returns the limit with finite values from 0 to [`LIMIT_MAX`].
pub(crate) fn clamp_limit(limit: &CustomerLimit) -> CustomerLimit {
    CustomerLimit {
        rate_per_s: clamp(limit.rate_per_s),
        burst_count: clamp(limit.burst_count),
    }
}

fn clamp(value: f64) -> f64 {
    if value.is_nan() {
        return 0.0;
    }
    value.clamp(0.0, LIMIT_MAX)
}
