//! Service time of each request kind, estimated from answered calls.

use std::time::Duration;

use figway_cost::Spread;
use figway_types::FastMap;

/// Mean service time that is assumed for a kind without samples, in seconds.
const UNKNOWN_S: f64 = 0.020;

/// Weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Weight of a new sample in the steady mean once there are many.
const STEADY_WEIGHT: f64 = 0.02;

/// Upper bound of a sample of the steady mean, relative to it.
const STEADY_SAMPLE_RATIO_MAX: f64 = 3.0;

/// Fraction of its distance to the mean by which the minimum rises with each slower sample, so that
/// it follows newer samples.
const MIN_RISE_RATIO: f64 = 0.02;

/// Lower bound of the mean by which service times are divided, in seconds.
const MEAN_MIN_S: f64 = 1e-6;

#[derive(Clone, Debug)]
struct KindTimes {
    mean_s: f64,
    min_s: f64,
    /// Mean that stragglers move little, over more calls than `mean_s`.
    steady_s: f64,
    sample_count: u32,
    /// Distribution of the service times relative to the mean.
    spread: Spread,
}

impl KindTimes {
    fn record_steady(&mut self, sample_s: f64) {
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = STEADY_WEIGHT.max(1.0 / f64::from(self.sample_count));
        let sample_s = sample_s.min(STEADY_SAMPLE_RATIO_MAX * self.steady_s);
        self.steady_s += weight * (sample_s - self.steady_s);
    }
}

/// Service times by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    by_kind: FastMap<String, KindTimes>,
    /// Mean service time of recent calls of all kinds, in seconds.
    overall_mean_s: Option<f64>,
}

impl ServiceTimes {
    pub(crate) fn record(&mut self, kind: &str, took: Duration) {
        let sample_s = took.as_secs_f64();
        let overall_mean_s = self.overall_mean_s.get_or_insert(sample_s);
        *overall_mean_s += SAMPLE_WEIGHT * (sample_s - *overall_mean_s);
        let Some(times) = self.by_kind.get_mut(kind) else {
            let times = KindTimes {
                mean_s: sample_s,
                min_s: sample_s,
                steady_s: sample_s,
                sample_count: 1,
                spread: Spread::default(),
            };
            self.by_kind.insert(kind.to_owned(), times);
            return;
        };
        times.record_steady(sample_s);
        times.spread.record(sample_s / times.mean_s.max(MEAN_MIN_S));
        times.mean_s += SAMPLE_WEIGHT * (sample_s - times.mean_s);
        if sample_s < times.min_s {
            times.min_s = sample_s;
        } else {
            times.min_s += MIN_RISE_RATIO * (times.mean_s - times.min_s).max(0.0);
        }
    }

    /// Returns the worth of a call per second that it is expected to hold a slot.
    pub(crate) fn density(&self, kind: &str, worth: f64) -> f64 {
        worth / self.mean(kind).as_secs_f64().max(1e-6)
    }

    /// Returns the mean service time of the kind, or the assumed one without samples.
    pub(crate) fn mean(&self, kind: &str) -> Duration {
        let mean_s = self
            .by_kind
            .get(kind)
            .map_or(UNKNOWN_S, |times| times.mean_s);
        Duration::from_secs_f64(mean_s)
    }

    /// Returns a mean service time of the kind that stragglers move little, if there are samples.
    pub(crate) fn steady_mean(&self, kind: &str) -> Option<Duration> {
        let times = self.by_kind.get(kind)?;
        Some(Duration::from_secs_f64(times.steady_s))
    }

    /// Returns the mean service time of all kinds, in seconds, or the assumed one without samples.
    pub(crate) fn overall_mean_s(&self) -> f64 {
        self.overall_mean_s.unwrap_or(UNKNOWN_S)
    }

    /// Returns the time that even a fast call of the kind takes, if there are samples.
    pub(crate) fn min(&self, kind: &str) -> Option<Duration> {
        let times = self.by_kind.get(kind)?;
        Some(Duration::from_secs_f64(times.min_s))
    }

    /// Returns the service time that the share `share` of the calls of the kind doesn't exceed.
    pub(crate) fn quantile(&self, kind: &str, share: f64) -> Duration {
        let Some(times) = self.by_kind.get(kind) else {
            return Duration::from_secs_f64(UNKNOWN_S * Spread::default().quantile(share));
        };
        Duration::from_secs_f64(times.mean_s * times.spread.quantile(share))
    }

    /// Returns how long a call of the kind that has run for `elapsed` is still expected to run. A
    /// call that has run for much longer than others is likely a straggler, so that it has much left.
    pub(crate) fn remaining(&self, kind: &str, elapsed: Duration) -> Duration {
        let Some(times) = self.by_kind.get(kind) else {
            let mean = Duration::from_secs_f64(UNKNOWN_S);
            return mean.saturating_sub(elapsed).max(mean / 2);
        };
        let mean_s = times.mean_s.max(MEAN_MIN_S);
        let ratio = times.spread.remaining(elapsed.as_secs_f64() / mean_s);
        Duration::from_secs_f64(mean_s * ratio)
    }
}
