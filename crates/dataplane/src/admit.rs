//! Admission to the local target: waits for a slot, then runs the call.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::CallEnding;
use figway_http::{
    Answer,
    OutboundRequest,
    Reachability,
    SendFailure, //
};
use figway_types::{
    KeyRefusal,
    NotRunReason,
    Target, //
};

use crate::call::{
    AdmissionRequest,
    Outcome,
    DEADLINE_EXCEEDED,
    FAILED_STATUS_MIN, //
};
use crate::entry::{
    admission_limits,
    enter,
    refuses_for_nested_calls, //
};
use crate::evidence::record_run;
use crate::interface::ForwardContext;
use crate::plane::DataPlane;
use crate::run_log::RunLog;
use crate::run_watch::{
    CallGuard,
    DoubtCause,
    RunEndEvidence, //
};
use crate::worker::Worker;

/// Shortest remaining time with which a call is still worth sending to the target.
const TARGET_TIME_MIN: Duration = Duration::from_millis(2);

/// Result of one attempt.
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    /// Id of the target's crash, if a crash ended the call.
    pub(crate) crash_id: Option<u64>,
    /// Whether any byte of the call may have reached a target.
    pub(crate) sent: bool,
    /// Time that the call spent in the queue of the target's node.
    pub(crate) queue_time: Duration,
    /// Time that the call spent at the target.
    pub(crate) run_time: Duration,
    /// Mean run time of calls of this kind at the target, in milliseconds, if known.
    pub(crate) mean_ran_ms: Option<f64>,
}

impl AttemptResult {
    /// Returns the result of a call that was not sent to a target.
    pub(crate) fn not_sent(reason: NotRunReason) -> Self {
        Self {
            outcome: Outcome::NotRun(reason),
            crash_id: None,
            sent: false,
            queue_time: Duration::ZERO,
            run_time: Duration::ZERO,
            mean_ran_ms: None,
        }
    }

    /// Merges the results of two concurrent attempts. A good answer of either takes precedence.
    pub(crate) fn merge(self, other: Self) -> Self {
        let sent = self.sent || other.sent;
        let (preferred, merged) = if other.outcome.is_success() {
            (other, self)
        } else {
            (self, other)
        };
        let crash_id = preferred.crash_id.or(merged.crash_id);
        Self {
            outcome: preferred.outcome.merge_earlier(merged.outcome),
            crash_id,
            sent,
            ..preferred
        }
    }

    /// Returns the result of a call that reached, or may have reached, a target.
    pub(crate) fn sent(outcome: Outcome) -> Self {
        Self {
            outcome,
            crash_id: None,
            sent: true,
            queue_time: Duration::ZERO,
            run_time: Duration::ZERO,
            mean_ran_ms: None,
        }
    }
}

/// Admits a call to the local target and runs it there.
pub(crate) async fn admit(worker: &Worker, call: &AdmissionRequest<'_>) -> AttemptResult {
    let plane = &worker.plane;
    let target = match local_target(plane, call) {
        Ok(target) => target,
        Err(reason) => return AttemptResult::not_sent(reason),
    };
    if target.draining || plane.is_draining() {
        return AttemptResult::not_sent(NotRunReason::Draining);
    }
    if refuses_for_nested_calls(plane, call) {
        plane.metrics.count("refused_for_nested_calls");
        return AttemptResult::not_sent(NotRunReason::Overloaded);
    }
    let limits = admission_limits(plane, &target);
    let entered_at = Instant::now();
    let mut slot = match enter(plane, call, limits).await {
        Ok(slot) => slot,
        Err(reason) => return AttemptResult::not_sent(reason),
    };
    // The process may have been paused or the target replaced while the call was queued.
    if remaining_time(call) < TARGET_TIME_MIN {
        return AttemptResult::not_sent(NotRunReason::Expired);
    }
    // Others may have crashed targets while this one was queued.
    if plane.refuses_as_quarantined(call.fingerprint) {
        return AttemptResult::not_sent(NotRunReason::Quarantined);
    }
    // The operator may have removed the key while the call was queued.
    if plane.refuses_key(call) {
        return refuse_removed_key(plane, call, entered_at);
    }
    let target = match local_target(plane, call) {
        Ok(target) => target,
        Err(reason) => return AttemptResult::not_sent(reason),
    };
    if plane.target_watch.rejects_queued_calls(Instant::now()) {
        return AttemptResult::not_sent(NotRunReason::Draining);
    }
    let started_at = Instant::now();
    let mut run_log = RunLog {
        plane,
        call,
        target: &target,
        queue_time: started_at.saturating_duration_since(entered_at),
        started_at,
        written: false,
    };
    let result = run_at_target(worker, call, &target).await;
    slot.answered = result.outcome.is_success();
    if result.sent && result.outcome != Outcome::Unknown(DEADLINE_EXCEEDED) {
        plane.gate.record_outcome(!result.outcome.is_success());
    }
    plane.metrics.record_admission(
        result.outcome.name(),
        result.outcome.reason(),
        started_at.saturating_duration_since(entered_at),
    );
    record_run(plane, &target, call.kind, started_at, Some(&result.outcome));
    run_log.write(result.outcome.name(), result.outcome.reason(), false);
    AttemptResult {
        queue_time: started_at.saturating_duration_since(entered_at),
        run_time: started_at.elapsed(),
        mean_ran_ms: plane.gate.mean_ran_ms(call.kind),
        ..result
    }
}

/// Refuses a call whose key was removed while it waited, and records it.
fn refuse_removed_key(
    plane: &DataPlane,
    call: &AdmissionRequest<'_>,
    entered_at: Instant,
) -> AttemptResult {
    let reason = NotRunReason::Unauthorized(KeyRefusal::Removed);
    let waited = entered_at.elapsed();
    plane
        .metrics
        .record_admission("not-run", reason.name(), waited);
    if plane.log_budget.should_log(call.request_id, true) {
        log::info!(
            "call refused request={} kind={} customer={} why={} routes_version={} waited_ms={}",
            call.request_id,
            call.kind,
            call.customer.unwrap_or(""),
            reason.name(),
            plane.mesh.view().routes.version,
            waited.as_millis(),
        );
    }
    AttemptResult::not_sent(reason)
}

pub(crate) fn remaining_time(call: &AdmissionRequest<'_>) -> Duration {
    call.deadline.saturating_duration_since(Instant::now())
}

fn local_target(plane: &DataPlane, call: &AdmissionRequest<'_>) -> Result<Target, NotRunReason> {
    let members = plane.mesh.members();
    match &members.own().target {
        Some(target) if target.service == call.service => Ok(target.clone()),
        _ => Err(NotRunReason::NoTarget),
    }
}

async fn run_at_target(
    worker: &Worker,
    call: &AdmissionRequest<'_>,
    target: &Target,
) -> AttemptResult {
    let plane = &worker.plane;
    let mut headers = call.headers.clone();
    let context = ForwardContext {
        request_id: call.request_id,
        remaining: remaining_time(call),
        origin: call.origin,
        customer: call.customer,
        instance: &target.instance,
    };
    plane.interface.add_target_headers(&mut headers, &context);
    let outbound = OutboundRequest {
        address: &target.address,
        method: call.method,
        path: call.path,
        headers: &headers,
        body: call.body,
        body_bytes_per_s: None,
        deadline: call.deadline,
        echo_header: plane.interface.echo_header(),
        idempotent: call.idempotent,
    };
    let running = plane.running.begin(call);
    plane
        .local_target
        .record_sent(call.attempt_kind, Instant::now());
    plane.metrics.count_sent(call.attempt_kind.name());
    let at_work = plane
        .run_watch
        .begin_call(call.fingerprint, call.request_id);
    match worker.targets.send(&outbound).await {
        Ok(answer) => {
            let nested_refused = running.finish();
            if call.overload_control {
                let served = !nested_refused || answer.status < FAILED_STATUS_MIN;
                plane.overload.record_run(call.kind, call.holder, served);
            }
            plane.record_notice(target, &answer);
            take_answer(plane, call, target, at_work, answer)
        }
        Err(SendFailure::Late) => AttemptResult::sent(Outcome::Unknown(DEADLINE_EXCEEDED)),
        Err(SendFailure::TooLarge) => {
            at_work.finish(CallEnding::Answered);
            AttemptResult::sent(Outcome::Unknown("answer-too-large"))
        }
        Err(SendFailure::Refused(why)) => {
            running.finish();
            at_work.finish(CallEnding::NotSent);
            plane.run_watch.suspect(DoubtCause::Refused);
            plane.target_watch.mark_lost(&plane.mesh, &why);
            AttemptResult::not_sent(NotRunReason::Unreachable)
        }
        Err(SendFailure::Broken(why)) => {
            let reachability = worker.targets.probe(&target.address).await;
            let crashed = reachability != Reachability::Accepts;
            log::warn!(
                "target broke off request={} kind={} instance={} crashed={crashed} why={why}",
                call.request_id,
                call.kind,
                target.instance,
            );
            if crashed {
                plane.record_run_end(at_work.run_number(), RunEndEvidence::Broken);
            }
            AttemptResult {
                crash_id: plane
                    .run_watch
                    .crash_id(at_work.run_number(), call.fingerprint),
                ..AttemptResult::sent(Outcome::Unknown("broken"))
            }
        }
    }
}

/// Returns the result of a call that the target answered.
fn take_answer(
    plane: &DataPlane,
    call: &AdmissionRequest<'_>,
    target: &Target,
    at_work: CallGuard<'_>,
    answer: Answer,
) -> AttemptResult {
    if let Some(stated) = plane.interface.not_run_reason(&answer) {
        let reason = match stated {
            // Its node counted a free slot, so that fewer calls would not change this.
            NotRunReason::Overloaded if call.overload_control => NotRunReason::Shed,
            stated => stated,
        };
        log::info!(
            "target refused request={} kind={} instance={} status={} why={}",
            call.request_id,
            call.kind,
            target.instance,
            answer.status,
            reason.name(),
        );
        let run_number = at_work.run_number();
        if reason == NotRunReason::Misdirected {
            at_work.finish(CallEnding::NotSent);
            plane.record_run_end(run_number, RunEndEvidence::Misdirected);
        } else {
            at_work.finish(CallEnding::Answered);
        }
        return AttemptResult::sent(Outcome::NotRun(reason));
    }
    if !plane.interface.is_valid_answer(&answer) {
        log::warn!(
            "answer discarded request={} kind={} instance={} status={}",
            call.request_id,
            call.kind,
            target.instance,
            answer.status,
        );
        return AttemptResult::sent(Outcome::Unknown("unsound-answer"));
    }
    let run_number = at_work.run_number();
    at_work.finish(CallEnding::Answered);
    plane.withdraw_crashes(run_number);
    if let Some(answer_id) = plane.run_watch.answer_id(call.fingerprint) {
        plane.mesh.record_answer(call.fingerprint, answer_id);
    }
    AttemptResult::sent(Outcome::Answered(answer))
}
