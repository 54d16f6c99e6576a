//! Metrics over statsd.

use std::time::Duration;

use cadence::{
    Counted as _,
    Gauged as _,
    StatsdClient,
    Timed as _, //
};

/// Sends metrics, if an address is set.
#[derive(Default)]
pub(crate) struct Metrics {
    statsd: Option<StatsdClient>,
}

impl Metrics {
    pub(crate) fn new(statsd: Option<StatsdClient>) -> Self {
        Self { statsd }
    }

    /// Counts a call by its outcome and times it.
    pub(crate) fn note_call(&self, outcome: &str, took: Duration) {
        let Some(statsd) = &self.statsd else {
            return;
        };
        statsd
            .count_with_tags("calls", 1)
            .with_tag("outcome", outcome)
            .send();
        statsd.time_with_tags("call_time", took).send();
    }

    /// Counts an event.
    pub(crate) fn count(&self, name: &str) {
        if let Some(statsd) = &self.statsd {
            statsd.count_with_tags(name, 1).send();
        }
    }

    /// Reports the calls per slot beside the target.
    pub(crate) fn note_busy(&self, busy_ratio: f64) {
        if let Some(statsd) = &self.statsd {
            statsd.gauge_with_tags("busy_ratio", busy_ratio).send();
        }
    }
}
