//! Gauges of a node, which are updated when its metrics are rendered.

use crate::evidence::set_rollout_gauges;
use crate::plane::DataPlane;

impl DataPlane {
    /// Returns the node's metrics as text.
    pub(crate) fn render_metrics(&self) -> String {
        let view = self.mesh.view();
        let (running_count, waiting_count) = self.gate.counts();
        self.metrics.set_gauge("running", running_count as u64);
        self.metrics.set_gauge("waiting", waiting_count as u64);
        self.metrics
            .set_gauge("routes_version", view.routes.version);
        if let Some(age) = self.mesh.route_lease_age() {
            self.metrics
                .set_gauge("routes_confirmed_age_ms", age.as_millis() as u64);
        }
        self.metrics.set_gauge(
            "crash_reports_evicted",
            self.mesh.quarantine().evicted_count(),
        );
        self.metrics
            .set_gauge("given_up_calls_dropped", self.run_watch.dropped_count());
        if let Some(customers) = &view.routes.customers {
            self.metrics
                .set_gauge("customers", customers.customers().len() as u64);
            self.metrics.set_gauge(
                "customers_without_keys",
                customers.count_without_keys() as u64,
            );
            self.metrics
                .set_gauge("shared_keys", customers.shared_key_count() as u64);
        }
        let unknown_kind_count = view.routes.unknown_kinds.len() as u64;
        self.metrics
            .set_gauge("routes_unknown_kind", unknown_kind_count);
        self.metrics
            .set_gauge("held_body_bytes", self.memory.held_bytes() as u64);
        self.metrics.set_gauge("members", view.node_count as u64);
        self.metrics
            .set_gauge("ending_runs", self.mesh.ending_run_count() as u64);
        let (limit_coordinator, limited_count) = self.mesh.limit_status();
        self.metrics
            .set_gauge("limited_customers", limited_count as u64);
        self.metrics
            .set_gauge("limit_coordinated", u64::from(limit_coordinator.is_some()));
        self.metrics
            .set_gauge("control_region_bytes", self.mesh.meter().region_bytes());
        self.metrics
            .set_gauge("control_far_bytes", self.mesh.meter().cross_region_bytes());
        set_rollout_gauges(self);
        self.metrics.render()
    }
}
