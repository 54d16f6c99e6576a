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

/// Number of standard deviations by which the mean sum of independent random draws at all nodes stays
/// below what is permitted.
const DRAW_DEVIATION_COUNT: f64 = 4.0;

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

    /// Returns the ratio of `node_count` nodes that may each admit a request beyond their shares.
    pub(crate) fn spare_ratio(&self, limit: &CustomerLimit, node_count: f64) -> f64 {
        let share_count = limit.rate_per_s * self.window.as_secs_f64() + self.capacity(limit);
        ((self.permitted_count(limit) - share_count) / node_count).clamp(0.0, 1.0)
    }

    /// Returns the ratio of `node_count` nodes that may each admit a request in a window without knowing of
    /// the others. Nodes decide by independent random draws, so that the mean of the sum has to stay below
    /// what is permitted.
    pub(crate) fn one_ratio(&self, limit: &CustomerLimit, node_count: f64) -> f64 {
        let permitted = self.permitted_count(limit);
        if permitted >= node_count {
            return 1.0;
        }
        // Solves mean + deviations x sqrt(mean x (1 - mean / nodes)) = permitted for the mean.
        let variance_ratio = DRAW_DEVIATION_COUNT * DRAW_DEVIATION_COUNT;
        let square = 1.0 + variance_ratio / node_count;
        let half = permitted + variance_ratio / 2.0;
        let root = (half * half - square * permitted * permitted)
            .max(0.0)
            .sqrt();
        ((half - root) / square / node_count).clamp(0.0, 1.0)
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
