//! Log line of a run at the local target.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::Target;

use crate::call::AdmissionRequest;
use crate::evidence::record_run;
use crate::plane::DataPlane;

/// Module that log lines of runs name; collectors of logs know it.
const LOG_TARGET: &str = "figway_dataplane::admit";

/// Log line of a run at the local target. If the run is cancelled before it ends, the line is
/// written on drop.
pub(crate) struct RunLog<'a> {
    pub(crate) plane: &'a DataPlane,
    pub(crate) call: &'a AdmissionRequest<'a>,
    pub(crate) target: &'a Target,
    pub(crate) queue_time: Duration,
    pub(crate) started_at: Instant,
    pub(crate) written: bool,
}

impl RunLog<'_> {
    /// Writes the line.
    pub(crate) fn write(&mut self, outcome: &str, reason: &str, notable: bool) {
        self.written = true;
        if !self
            .plane
            .log_budget
            .should_log(self.call.request_id, notable)
        {
            return;
        }
        log::info!(
            target: LOG_TARGET,
            "call run request={} kind={} fingerprint={:016x} instance={} outcome={outcome} \
             why={reason} waited_ms={} ran_ms={}",
            self.call.request_id,
            self.call.kind,
            self.call.fingerprint.0,
            self.target.instance,
            self.queue_time.as_millis(),
            self.started_at.elapsed().as_millis(),
        );
    }
}

impl Drop for RunLog<'_> {
    fn drop(&mut self) {
        if !self.written {
            record_run(
                self.plane,
                self.target,
                self.call.kind,
                self.started_at,
                None,
            );
            self.write("unknown", "given-up", true);
        }
    }
}
