//! Metrics and log lines of calls at the caller's node.

use figway_types::NotRunReason;

use crate::call::{
    Call,
    Outcome, //
};
use crate::proxy::Incoming;
use crate::steps::format_steps;
use crate::worker::Worker;

/// Module that log lines of calls name, which operators filter by.
const LOG_TARGET: &str = "figway_dataplane::proxy";

/// Reason of an unknown outcome: the caller left before the call ended.
const CALLER_LEFT: &str = "caller-left";

/// Records a call that was not routed.
pub(crate) fn record_unrouted(
    worker: &Worker,
    incoming: &Incoming<'_>,
    reason: NotRunReason,
    routes_version: u64,
) {
    let plane = &worker.plane;
    let request = incoming.request;
    plane
        .metrics
        .record_call("", "not-run", reason.name(), request.arrived_at.elapsed());
    if plane.log_budget.should_log(incoming.request_id, true) {
        log::info!(
            target: LOG_TARGET,
            "call not routed request={} to={} method={} path={} routes_version={routes_version} \
             why={}",
            incoming.request_id,
            incoming.addressing,
            request.method,
            request.path,
            reason.name(),
        );
    }
}

/// Metrics and log line of a call. If its caller leaves before it ends, they are written on drop.
pub(crate) struct CallRecord<'a> {
    worker: &'a Worker,
    call: &'a Call<'a>,
    written: bool,
}

impl<'a> CallRecord<'a> {
    /// Returns the record of a call that begins.
    pub(crate) fn new(worker: &'a Worker, call: &'a Call<'a>) -> Self {
        Self {
            worker,
            call,
            written: false,
        }
    }

    /// Writes the outcome of the call.
    pub(crate) fn write(&mut self, outcome: &Outcome) {
        self.written = true;
        let (call, rule) = (self.call, &self.call.rule);
        let plane = &self.worker.plane;
        let took = call.arrived_at.elapsed();
        plane
            .metrics
            .record_call(rule.name, outcome.name(), outcome.reason(), took);
        let steps = call.steps.take();
        // A call that succeeds at its first target has two steps.
        let notable = !outcome.is_success() || steps.len() > 2;
        if !plane.log_budget.should_log(call.request_id, notable) {
            return;
        }
        log::info!(
            target: LOG_TARGET,
            "call ended request={} service={} kind={} customer={} fingerprint={:016x} version={} \
             origin={} rank={} outcome={} why={} status={} took_ms={} budget_ms={} tries={}",
            call.request_id,
            rule.service,
            rule.name,
            call.caller.customer.unwrap_or(""),
            call.fingerprint.0,
            rule.version,
            call.origin,
            rule.rank,
            outcome.name(),
            outcome.reason(),
            outcome.status(),
            took.as_millis(),
            call.deadline
                .saturating_duration_since(call.arrived_at)
                .as_millis(),
            format_steps(&steps, rule.profile_name),
        );
    }
}

impl Drop for CallRecord<'_> {
    fn drop(&mut self) {
        if !self.written {
            self.write(&Outcome::Unknown(CALLER_LEFT));
        }
    }
}
