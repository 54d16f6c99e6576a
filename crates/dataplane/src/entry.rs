//! Entry of a call into the queue of the local target, or its refusal there.

use std::time::Instant;

use figway_admission::{
    may_wait_above_share,
    queue_rank,
    AdmissionLimits,
    CallView, //
};
use figway_types::{
    NotRunReason,
    Target, //
};

use crate::admit::remaining_time;
use crate::call::{
    AdmissionRequest,
    AttemptKind, //
};
use crate::gate::Slot;
use crate::plane::DataPlane;

/// Decides whether a call is refused since nested calls of earlier calls of its kind were refused.
pub(crate) fn refuses_for_nested_calls(plane: &DataPlane, call: &AdmissionRequest<'_>) -> bool {
    if !call.overload_control {
        return false;
    }
    let random_ratio = plane.mesh.random_ratio();
    !plane.overload.may_run(call.kind, call.holder, random_ratio)
}

/// Waits for a slot of the local target. If the customer was served its share, the call waits behind the
/// others of its rank, and only while few calls wait.
pub(crate) async fn enter<'a>(
    plane: &'a DataPlane,
    call: &AdmissionRequest<'_>,
    limits: AdmissionLimits,
) -> Result<Slot<'a>, NotRunReason> {
    let overload = &plane.overload;
    let is_above = |holder| overload.is_above_share(call.rank, holder);
    let is_above_share = call.holder.is_some_and(is_above);
    if is_above_share {
        plane.metrics.count("above_share");
    }
    let may_wait =
        !is_above_share || may_wait_above_share(plane.gate.counts().1, limits.slot_count);
    let view = CallView {
        kind: call.kind,
        body_bytes: call.body.len(),
        customer: call.customer,
        worth: call.worth,
        long: call.long,
        rank: queue_rank(call.rank, is_above_share),
        prompt_by: call.prompt_by,
        deadline: call.deadline,
        may_wait: may_wait && call.attempt_kind != AttemptKind::Hedge,
    };
    let entered_at = Instant::now();
    let entered = plane.gate.enter(&view, limits).await;
    // Refusals for other reasons don't show whether the customer was served its share.
    if let (Some(holder), Ok(_) | Err(NotRunReason::Overloaded | NotRunReason::Expired)) =
        (call.holder, &entered)
    {
        overload.record_entry(call.rank, holder, entered.is_ok());
    }
    if let Err(reason) = &entered {
        let refusal = Refusal {
            reason: *reason,
            slot_count: limits.slot_count,
            is_above_share,
            entered_at,
        };
        record_refusal(plane, call, &refusal);
    }
    entered
}

/// Returns the limits of the local target by the profile and the route table in force.
pub(crate) fn admission_limits(plane: &DataPlane, target: &Target) -> AdmissionLimits {
    let view = plane.mesh.view();
    let limits = &plane.profile_of(&view, &target.service).0.limits;
    AdmissionLimits {
        slot_count: target.slot_count,
        queue_per_slot_ratio: limits.queue_per_slot_ratio,
        short_share_ratio: limits.short_share_ratio,
        overload_control: view.routes.overload_control,
    }
}

/// Refusal of a call by the gate of the target.
struct Refusal {
    reason: NotRunReason,
    slot_count: u32,
    is_above_share: bool,
    entered_at: Instant,
}

/// Records a call that the gate of the target refused.
fn record_refusal(plane: &DataPlane, call: &AdmissionRequest<'_>, refusal: &Refusal) {
    let (running_count, waiting_count) = plane.gate.counts();
    let reason = refusal.reason.name();
    let waited = refusal.entered_at.elapsed();
    if plane.log_budget.should_log(call.request_id, true) {
        log::info!(
            "call refused request={} kind={} customer={} why={reason} above_share={} \
             running={running_count} waiting={waiting_count} slots={} waited_ms={} left_ms={}",
            call.request_id,
            call.kind,
            call.customer.unwrap_or(""),
            refusal.is_above_share,
            refusal.slot_count,
            waited.as_millis(),
            remaining_time(call).as_millis(),
        );
    }
    plane.metrics.record_admission("not-run", reason, waited);
}
