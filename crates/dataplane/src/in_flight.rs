//! Attempts in flight, as load estimates count them.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::NodeId;

use crate::plane::DataPlane;

/// Counts an attempt as in flight until it drops. A cancelled attempt counts as a latency sample if
/// it took longer than the target's latency estimate.
pub(crate) struct InFlightAttempt<'a> {
    plane: &'a DataPlane,
    node_id: &'a NodeId,
    started_at: Instant,
    finished: bool,
}

impl<'a> InFlightAttempt<'a> {
    pub(crate) fn begin(plane: &'a DataPlane, node_id: &'a NodeId) -> Self {
        let started_at = Instant::now();
        plane.loads().begin(node_id, started_at);
        Self {
            plane,
            node_id,
            started_at,
            finished: false,
        }
    }

    pub(crate) fn finish(&mut self) -> Duration {
        self.finished = true;
        self.started_at.elapsed()
    }
}

impl Drop for InFlightAttempt<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut loads = self.plane.loads();
        loads.end(self.node_id, now);
        if self.finished {
            return;
        }
        let took = now.saturating_duration_since(self.started_at);
        if took.as_secs_f64() * 1e6 > loads.latency_us(self.node_id, now) {
            loads.record_latency(self.node_id, took, now);
        }
    }
}
