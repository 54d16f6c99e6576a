//! Running estimate of a latency quantile, in constant space.

use std::time::Duration;

/// Step size after many samples, as a fraction of the estimate.
const STEP_RATIO: f64 = 0.02;

/// Step size at the first sample, as a fraction of the estimate. It is divided by the sample count,
/// so that the estimate recovers soon from a first sample that is far off.
const FIRST_STEP_RATIO: f64 = 1.5;

/// Minimum number of samples before the estimate is used.
const WARM_UP_COUNT: u64 = 50;

/// Estimates the quantile `q` by stochastic approximation: a sample above the estimate raises it by
/// `q` steps, any other sample lowers it by `1 - q` steps.
#[derive(Clone, Debug)]
pub struct LatencyQuantile {
    quantile_ratio: f64,
    estimate_us: f64,
    sample_count: u64,
}

impl LatencyQuantile {
    /// Creates an estimator of the quantile `quantile_ratio`, such as 0.95.
    pub fn new(quantile_ratio: f64) -> Self {
        Self {
            quantile_ratio,
            estimate_us: 0.0,
            sample_count: 0,
        }
    }

    /// Returns the quantile that is estimated, such as 0.95.
    pub fn quantile_ratio(&self) -> f64 {
        self.quantile_ratio
    }

    /// Records a sample.
    pub fn record(&mut self, latency: Duration) {
        let sample_us = latency.as_secs_f64() * 1e6;
        self.sample_count += 1;
        if self.sample_count == 1 {
            self.estimate_us = sample_us;
            return;
        }
        let step_ratio = STEP_RATIO.max(FIRST_STEP_RATIO / self.sample_count as f64);
        let step_us = (self.estimate_us * step_ratio).max(1.0);
        if sample_us > self.estimate_us {
            self.estimate_us += step_us * self.quantile_ratio;
        } else {
            self.estimate_us -= step_us * (1.0 - self.quantile_ratio);
        }
    }

    /// Returns the estimate, or `None` before there are enough samples.
    pub fn estimate(&self) -> Option<Duration> {
        if self.sample_count < WARM_UP_COUNT {
            return None;
        }
        Some(Duration::from_secs_f64(self.estimate_us / 1e6))
    }
}
