//! Metrics of a node: counters, gauges and histograms.

use std::time::Duration;

use cadence::{
    Counted as _,
    Gauged as _,
    StatsdClient,
    Timed as _, //
};
use figway_metrics::Registry;

/// Metrics of one node.
pub(crate) struct Metrics {
    registry: Registry,
    client: StatsdClient,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::default();
        let client = registry.client("figway");
        Self { registry, client }
    }
}

impl Metrics {
    /// Counts a call by kind and outcome, and records its duration.
    pub(crate) fn record_call(&self, kind: &str, outcome: &str, reason: &str, duration: Duration) {
        self.client
            .count_with_tags("calls", 1)
            .with_tag("kind", kind)
            .with_tag("outcome", outcome)
            .with_tag("why", reason)
            .send();
        self.client
            .time_with_tags("call_time_ms", duration)
            .with_tag("kind", kind)
            .send();
    }

    /// Counts a call that was submitted for admission to the local target by outcome, and records
    /// its queue time.
    pub(crate) fn record_admission(&self, outcome: &str, reason: &str, queue_time: Duration) {
        self.client
            .count_with_tags("admitted", 1)
            .with_tag("outcome", outcome)
            .with_tag("why", reason)
            .send();
        self.client
            .time_with_tags("queue_time_ms", queue_time)
            .send();
    }

    /// Counts a call that was sent to the local target, by the kind of the attempt.
    pub(crate) fn count_sent(&self, attempt_kind: &str) {
        self.client
            .count_with_tags("sent", 1)
            .with_tag("attempt", attempt_kind)
            .send();
    }

    /// Counts a request that was refused because its customer is above its limit.
    pub(crate) fn count_limited(&self, customer: &str) {
        self.client
            .count_with_tags("customer_limited", 1)
            .with_tag("customer", customer)
            .send();
    }

    /// Counts a request that carries no key though its route needs one, by what is known of its parent.
    pub(crate) fn count_keyless(&self, parent: &str) {
        self.client
            .count_with_tags("keyless_requests", 1)
            .with_tag("parent", parent)
            .send();
    }

    /// Counts an announcement of the local target, by what became of it.
    pub(crate) fn count_announcement(&self, outcome: &str) {
        self.client
            .count_with_tags("announcements", 1)
            .with_tag("outcome", outcome)
            .send();
    }

    /// Increments a counter.
    pub(crate) fn count(&self, name: &str) {
        self.count_by(name, 1);
    }

    /// Adds to a counter.
    pub(crate) fn count_by(&self, name: &str, count: u64) {
        self.client.count_with_tags(name, count).send();
    }

    /// Records a duration in a histogram.
    pub(crate) fn record_time(&self, name: &str, duration: Duration) {
        self.client.time_with_tags(name, duration).send();
    }

    /// Sets a gauge. Most gauges are updated when the metrics are rendered.
    pub(crate) fn set_gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }

    /// Returns all metrics as text.
    pub(crate) fn render(&self) -> String {
        self.registry.render()
    }
}
