//! Factor of a target: how much longer calls run there than their cost.

use std::time::{
    Duration,
    Instant, //
};

/// Weight of a new sample in the lasting factor once there are many.
const LASTING_WEIGHT: f64 = 0.05;

/// Weight of a sample that is a mean of many calls.
const MEAN_WEIGHT: f64 = 0.08;

/// Weight of a new sample in the passing factor.
const PASSING_WEIGHT: f64 = 0.4;

/// Half-life of the passing factor.
const PASSING_HALF_LIFE: Duration = Duration::from_millis(100);

/// Half-life of the lasting factor without samples.
const LASTING_HALF_LIFE: Duration = Duration::from_secs(60);

/// Share of the lasting factor that each sample removes. It keeps the factors of all targets around 1;
/// otherwise all factors could rise while all costs fall.
const PULL_RATIO: f64 = 0.001;

/// Logarithm of a sample, relative to the expected one, from which on it counts as a disturbance.
const NOISE_LOG: f64 = 0.4;

/// Bound of a sample's logarithm, relative to the expected one, so that a straggler counts little.
const SAMPLE_LOG_MAX: f64 = 0.9;

/// Bound of the factor's logarithm.
const LOG_MAX: f64 = 2.5;

/// Factor of one target, learned from the run times of all classes together.
#[derive(Clone, Copy, Debug)]
pub struct TargetFactor {
    /// Logarithm of the lasting factor.
    lasting_log: f64,
    /// Logarithm of the additional factor of a passing disturbance.
    passing_log: f64,
    sample_count: u32,
    sampled_at: Instant,
}

impl TargetFactor {
    /// Creates a factor of 1.
    pub fn new(now: Instant) -> Self {
        Self {
            lasting_log: 0.0,
            passing_log: 0.0,
            sample_count: 0,
            sampled_at: now,
        }
    }

    /// Records the run time of one call as a multiple of the usual one.
    pub fn record(&mut self, ratio: f64, now: Instant) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        self.decay(now);
        let excess = (ratio.ln() - self.lasting_log).clamp(-SAMPLE_LOG_MAX, SAMPLE_LOG_MAX);
        let disturbance = if excess > NOISE_LOG { excess } else { 0.0 };
        self.passing_log += PASSING_WEIGHT * (disturbance - self.passing_log);
        self.learn(excess, LASTING_WEIGHT);
    }

    /// Records the mean run time of a kind at the target, by its own node, as a multiple of the cost.
    pub fn record_mean(&mut self, ratio: f64, now: Instant) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        self.decay(now);
        let excess = (ratio.ln() - self.lasting_log).clamp(-SAMPLE_LOG_MAX, SAMPLE_LOG_MAX);
        self.learn(excess, MEAN_WEIGHT);
    }

    /// Returns the lasting factor, by which calls are shared between targets.
    pub fn lasting(&self, now: Instant) -> f64 {
        (self.lasting_log * self.decay_ratio(LASTING_HALF_LIFE, now)).exp()
    }

    /// Returns the factor of a call that starts now.
    pub fn current(&self, now: Instant) -> f64 {
        let passing_log = self.passing_log * self.decay_ratio(PASSING_HALF_LIFE, now);
        (self.lasting_log * self.decay_ratio(LASTING_HALF_LIFE, now) + passing_log).exp()
    }

    fn learn(&mut self, excess: f64, weight: f64) {
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = weight.max(1.0 / (f64::from(self.sample_count) + 1.0));
        let learned = (self.lasting_log + weight * excess) * (1.0 - PULL_RATIO);
        self.lasting_log = learned.clamp(-LOG_MAX, LOG_MAX);
    }

    fn decay(&mut self, now: Instant) {
        self.passing_log *= self.decay_ratio(PASSING_HALF_LIFE, now);
        self.lasting_log *= self.decay_ratio(LASTING_HALF_LIFE, now);
        self.sampled_at = now;
    }

    /// Returns what is left of a logarithm since the last sample, as a ratio.
    fn decay_ratio(&self, half_life: Duration, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.sampled_at);
        0.5_f64.powf(idle.as_secs_f64() / half_life.as_secs_f64())
    }
}
