//! Service time of each request kind, learnt from answers.

use std::time::Duration;

use figway_types::FastMap;

/// Service time that is assumed of a kind without samples.
const UNKNOWN_S: f64 = 0.020;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// How fast the least time rises towards newer samples.
const LEAST_RISE_RATIO: f64 = 0.02;

#[derive(Clone, Copy, Debug)]
struct Times {
    mean_s: f64,
    least_s: f64,
}

/// Service times by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    by_kind: FastMap<String, Times>,
}

impl ServiceTimes {
    pub(crate) fn note(&mut self, kind: &str, took: Duration) {
        let sample_s = took.as_secs_f64();
        let Some(times) = self.by_kind.get_mut(kind) else {
            let times = Times {
                mean_s: sample_s,
                least_s: sample_s,
            };
            self.by_kind.insert(kind.to_owned(), times);
            return;
        };
        times.mean_s += SAMPLE_WEIGHT * (sample_s - times.mean_s);
        if sample_s < times.least_s {
            times.least_s = sample_s;
        } else {
            times.least_s += LEAST_RISE_RATIO * (times.mean_s - times.least_s).max(0.0);
        }
    }

    /// Worth per second that the call would hold a slot.
    pub(crate) fn density(&self, kind: &str, worth: f64) -> f64 {
        worth / self.mean(kind).as_secs_f64().max(1e-6)
    }

    /// Time that a call of the kind takes on average.
    pub(crate) fn mean(&self, kind: &str) -> Duration {
        let mean_s = self
            .by_kind
            .get(kind)
            .map_or(UNKNOWN_S, |times| times.mean_s);
        Duration::from_secs_f64(mean_s)
    }

    /// Time that even a fast call of the kind takes, if known.
    pub(crate) fn least(&self, kind: &str) -> Option<Duration> {
        let times = self.by_kind.get(kind)?;
        Some(Duration::from_secs_f64(times.least_s))
    }
}
