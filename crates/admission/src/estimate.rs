//! Service times, estimated from answered calls: a mean and a distribution for each request kind, and how
//! the mean depends on the size of the body and on the customer.

use std::time::Duration;

use figway_cost::{
    CostModel,
    RequestClass,
    Spread, //
};
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

/// Largest number of kinds with estimates. A further one replaces the kind whose last sample is the oldest.
const KIND_MAX_COUNT: usize = 256;

/// Lower bound of the mean by which service times are divided, in seconds.
const MEAN_MIN_S: f64 = 1e-6;

/// Kind of a call and its expected cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Costed<'a> {
    pub(crate) kind: &'a str,
    /// Expected cost as a multiple of the mean of the kind.
    pub(crate) ratio: f64,
}

impl<'a> Costed<'a> {
    /// Returns the expected cost of a call of which only the kind is known.
    pub(crate) fn of_kind(kind: &'a str) -> Self {
        Self { kind, ratio: 1.0 }
    }
}

#[derive(Clone, Debug)]
struct KindTimes {
    mean_s: f64,
    min_s: f64,
    /// Mean that stragglers move little, over more calls than `mean_s`.
    steady_s: f64,
    sample_count: u32,
    /// Value of [`ServiceTimes::sample_count`] at the last sample.
    sampled_at_number: u64,
    /// Distribution of the service times relative to the expected ones.
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

/// Service times by kind and class, in bounded memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    by_kind: FastMap<String, KindTimes>,
    /// Costs of the classes of each kind at this target.
    costs: CostModel,
    /// Number of samples of all kinds.
    sample_count: u64,
    /// Mean service time of recent calls of all kinds, in seconds.
    overall_mean_s: Option<f64>,
}

impl ServiceTimes {
    /// Records the service time of a call as a sample of its kind. The expected cost in `call` is the one
    /// from its arrival.
    pub(crate) fn record(&mut self, call: Costed<'_>, took: Duration) {
        let sample_s = took.as_secs_f64();
        let overall_mean_s = self.overall_mean_s.get_or_insert(sample_s);
        *overall_mean_s += SAMPLE_WEIGHT * (sample_s - *overall_mean_s);
        self.sample_count += 1;
        let Some(times) = self.by_kind.get_mut(call.kind) else {
            self.insert(call.kind, sample_s);
            return;
        };
        times.sampled_at_number = self.sample_count;
        times.record_steady(sample_s);
        let expected_s = (times.mean_s * call.ratio).max(MEAN_MIN_S);
        times.spread.record(sample_s / expected_s);
        times.mean_s += SAMPLE_WEIGHT * (sample_s - times.mean_s);
        if sample_s < times.min_s {
            times.min_s = sample_s;
        } else {
            times.min_s += MIN_RISE_RATIO * (times.mean_s - times.min_s).max(0.0);
        }
    }

    /// Records the service time of a call as a sample of its class.
    pub(crate) fn record_class(&mut self, class: &RequestClass<'_>, took: Duration) {
        // All samples come from one target, so that its factor cancels out in the ratio of two means.
        self.costs.record(class, took.as_secs_f64() * 1_000.0, 1.0);
    }

    /// Returns the kind of a call of the class, and its expected cost.
    pub(crate) fn costed<'a>(&self, class: &RequestClass<'a>) -> Costed<'a> {
        let class_ms = self.costs.mean_ms(class);
        let kind_ms = self.costs.kind_mean_ms(class.kind);
        let ratio = match (class_ms, kind_ms) {
            (Some(class_ms), Some(kind_ms)) => class_ms / kind_ms,
            _ => 1.0,
        };
        Costed {
            kind: class.kind,
            ratio,
        }
    }

    fn insert(&mut self, kind: &str, sample_s: f64) {
        if self.by_kind.len() >= KIND_MAX_COUNT {
            let oldest = self
                .by_kind
                .iter()
                .min_by_key(|(_, times)| times.sampled_at_number)
                .map(|(kind, _)| kind.clone());
            if let Some(oldest) = oldest {
                self.by_kind.remove(&oldest);
            }
        }
        let times = KindTimes {
            mean_s: sample_s,
            min_s: sample_s,
            steady_s: sample_s,
            sample_count: 1,
            sampled_at_number: self.sample_count,
            spread: Spread::default(),
        };
        self.by_kind.insert(kind.to_owned(), times);
    }

    /// Returns the worth of a call per second that it is expected to hold a slot.
    pub(crate) fn density(&self, call: Costed<'_>, worth: f64) -> f64 {
        worth / self.mean(call).as_secs_f64().max(MEAN_MIN_S)
    }

    /// Returns the mean service time of the call, or the assumed one if its kind has no samples.
    pub(crate) fn mean(&self, call: Costed<'_>) -> Duration {
        let mean_s = self
            .by_kind
            .get(call.kind)
            .map_or(UNKNOWN_S, |times| times.mean_s);
        Duration::from_secs_f64(mean_s * call.ratio)
    }

    /// Returns the mean service time of the kind, if there are samples.
    pub(crate) fn kind_mean(&self, kind: &str) -> Option<Duration> {
        let times = self.by_kind.get(kind)?;
        Some(Duration::from_secs_f64(times.mean_s))
    }

    /// Returns a mean service time of the call that stragglers move little, if there are samples.
    pub(crate) fn steady_mean(&self, call: Costed<'_>) -> Option<Duration> {
        let times = self.by_kind.get(call.kind)?;
        Some(Duration::from_secs_f64(times.steady_s * call.ratio))
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

    /// Returns the service time that the share `share` of calls like this one doesn't exceed.
    pub(crate) fn quantile(&self, call: Costed<'_>, share: f64) -> Duration {
        let Some(times) = self.by_kind.get(call.kind) else {
            return Duration::from_secs_f64(UNKNOWN_S * Spread::default().quantile(share));
        };
        Duration::from_secs_f64(times.mean_s * call.ratio * times.spread.quantile(share))
    }

    /// Returns how long a call that has run for `elapsed` is still expected to run. A call that has run
    /// for much longer than others is likely a straggler, so that it has much left.
    pub(crate) fn remaining(&self, call: Costed<'_>, elapsed: Duration) -> Duration {
        let Some(times) = self.by_kind.get(call.kind) else {
            let mean = Duration::from_secs_f64(UNKNOWN_S);
            return mean.saturating_sub(elapsed).max(mean / 2);
        };
        let expected_s = (times.mean_s * call.ratio).max(MEAN_MIN_S);
        let ratio = times.spread.remaining(elapsed.as_secs_f64() / expected_s);
        Duration::from_secs_f64(expected_s * ratio)
    }
}
