//! Attempts of one call, made within the retry budget until a target answers.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::Treatment;
use figway_routing::{
    prompt_answer_justifies,
    Distance,
    HedgeContext,
    HedgePlan, //
};
use figway_types::{
    NodeId,
    NotRunReason, //
};

use crate::admit::AttemptResult;
use crate::attempt::attempt;
use crate::call::{
    AttemptKind,
    Call,
    Outcome,
    FAILED_STATUS_MIN, //
};
use crate::candidates::TargetEntry;
use crate::pick::{
    pick,
    pick_or_wait,
    PickedTarget, //
};
use crate::steps::Step;
use crate::worker::Worker;

/// Maximum number of targets tried for one call, including those that refused it unsent.
const TARGET_TRY_MAX_COUNT: usize = 6;

/// Maximum number of targets tried for one call while they refuse it, if the route table calls for
/// overload control. If two targets refuse a call, most do.
const REFUSAL_MAX_COUNT: usize = 2;

/// Mean calls per slot of a service above which its calls are not hedged, if the route table calls for
/// overload control. A hedge takes a slot from another call there.
const HEDGE_SERVICE_BUSY_MAX_RATIO: f64 = 0.55;

/// Maximum number of targets tried for one hedge. A target without a free slot refuses it.
const HEDGE_TRY_MAX_COUNT: usize = 2;

/// Calls per slot at a target above which it is not sent hedges.
const HEDGE_BUSY_MAX_RATIO: f64 = 0.85;

/// Makes attempts until a target answers, and returns their merged outcome. A call that is not
/// idempotent is retried only while no target can have run it.
pub(crate) async fn run_attempts(worker: &Worker, call: &Call<'_>) -> Outcome {
    let rule = &call.rule;
    let retries = &worker.plane.retries;
    let node_count = worker.plane.mesh.view().node_count;
    retries.deposit(rule.service, &rule.profile.limits, node_count);
    if call.parent_is_repeat {
        retries.charge(rule.service);
    }
    let mut tried: Vec<NodeId> = Vec::new();
    let mut sent_count = 0;
    while sent_count < rule.attempt_max_count && tried.len() < TARGET_TRY_MAX_COUNT {
        if call.deadline <= Instant::now() {
            return Outcome::NotRun(NotRunReason::Expired)
                .merge_earlier(call.earlier_outcome.take());
        }
        let Some(picked_target) = pick_or_wait(worker, call, &tried).await else {
            break;
        };
        if sent_count > 0 && !retries.try_withdraw(rule.service) {
            worker.plane.metrics.count("retry_refused");
            call.steps.borrow_mut().push(Step::RetryBudgetExhausted);
            break;
        }
        tried.push(picked_target.entry.member.node_id.clone());
        let first = PrimaryAttempt {
            picked_target: &picked_target,
            attempt_kind: if sent_count > 0 {
                AttemptKind::Retry
            } else {
                AttemptKind::First
            },
        };
        let may_hedge = rule.idempotent
            && sent_count + 1 < rule.attempt_max_count
            && !(rule.overload_control && is_busy(worker, rule.service));
        let (result, hedge_sent) = if may_hedge {
            run_hedged(worker, call, first, &mut tried).await
        } else {
            let result = attempt(worker, call, &picked_target.entry, first.attempt_kind).await;
            (result, false)
        };
        if first.attempt_kind == AttemptKind::Retry && !result.sent {
            retries.refund(rule.service);
        }
        sent_count += usize::from(result.sent) + usize::from(hedge_sent);
        let is_retryable = may_retry(call, &result.outcome);
        let merged = result.outcome.merge_earlier(call.earlier_outcome.take());
        call.earlier_outcome.replace(merged);
        if rule.overload_control && call.attempts.get().refused_count() >= REFUSAL_MAX_COUNT {
            break;
        }
        if !is_retryable || worker.plane.refuses_as_quarantined(call.fingerprint) {
            break;
        }
        worker.plane.metrics.count("retry");
    }
    call.earlier_outcome.take()
}

/// Returns whether the targets of the service have little room for hedges.
fn is_busy(worker: &Worker, service: &str) -> bool {
    worker.plane.overload.busy_ratio(service) > HEDGE_SERVICE_BUSY_MAX_RATIO
}

/// Returns whether the target's node refused the call since it has no room.
pub(crate) fn is_overload_refusal(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotRun(NotRunReason::Overloaded | NotRunReason::RateLimited)
    )
}

/// Returns how the target treated an attempt with this outcome.
pub(crate) fn treatment_of(outcome: &Outcome) -> Treatment {
    match outcome {
        Outcome::Answered(_) | Outcome::Unknown(_) => Treatment::Accepted,
        Outcome::NotRun(_) if is_overload_refusal(outcome) => Treatment::Refused,
        Outcome::NotRun(_) => Treatment::Failed,
    }
}

/// An attempt that may be hedged.
#[derive(Clone, Copy)]
struct PrimaryAttempt<'a> {
    picked_target: &'a PickedTarget,
    attempt_kind: AttemptKind,
}

/// Returns whether the call may be sent to another target after an attempt with this outcome.
fn may_retry(call: &Call<'_>, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered(answer) => call.rule.idempotent && answer.status >= FAILED_STATUS_MIN,
        Outcome::NotRun(reason) => reason.is_retryable(),
        Outcome::Unknown(_) => call.rule.idempotent,
    }
}

/// What a hedge is meant to save.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HedgeAim {
    /// A prompt answer.
    Prompt,
    /// An answer before the deadline.
    Rescue,
}

/// Outcome of an attempt to hedge a call.
enum Hedge {
    /// The hedge may have reached a target.
    Made(AttemptResult),
    /// No target accepts the hedge, or the retry budget does not allow it.
    NotMade,
    /// The hedge's bytes cost more than a prompt answer gains.
    TooDear,
}

/// Makes an attempt and hedges it at another target when its answer takes too long, see [`HedgePlan`].
/// The first success wins and cancels the other attempt. Also returns whether a hedge may have
/// reached a target.
async fn run_hedged(
    worker: &Worker,
    call: &Call<'_>,
    first: PrimaryAttempt<'_>,
    tried: &mut Vec<NodeId>,
) -> (AttemptResult, bool) {
    let picked_target = first.picked_target;
    let first = attempt(worker, call, &picked_target.entry, first.attempt_kind);
    let Some(plan) = hedge_plan(worker, call, picked_target.expected_latency) else {
        return (first.await, false);
    };
    tokio::pin!(first);
    for (aim, hedge_at) in [
        (HedgeAim::Prompt, plan.prompt_at),
        (HedgeAim::Rescue, plan.rescue_at),
    ] {
        tokio::select! {
            result = &mut first => return (result, false),
            () = tokio::time::sleep_until(hedge_at.into()) => {}
        }
        let second = make_hedge(worker, call, aim, tried);
        tokio::pin!(second);
        let (second, first) = tokio::select! {
            result = &mut first => {
                if result.outcome.is_success() {
                    return (result, true);
                }
                (second.await, result)
            }
            result = &mut second => match result {
                Hedge::Made(result) if result.outcome.is_success() => return (result, true),
                Hedge::TooDear => continue,
                result => (result, first.await),
            },
        };
        return match second {
            Hedge::Made(second) => (second.merge(first), true),
            Hedge::NotMade | Hedge::TooDear => (first, false),
        };
    }
    (first.await, false)
}

/// Makes the hedge at a target in the same region that has a free slot. A target in another region
/// is not used, since an answer from there costs more than a prompt answer gains.
async fn make_hedge(
    worker: &Worker,
    call: &Call<'_>,
    aim: HedgeAim,
    tried: &mut Vec<NodeId>,
) -> Hedge {
    let service = call.rule.service;
    let retries = &worker.plane.retries;
    if call.rule.overload_control && is_busy(worker, service) {
        return Hedge::NotMade;
    }
    for _ in 0..HEDGE_TRY_MAX_COUNT {
        let Some(picked_target) = pick(worker, call, tried) else {
            return Hedge::NotMade;
        };
        if aim == HedgeAim::Prompt && !prompt_answer_justifies(picked_target.price) {
            return Hedge::TooDear;
        }
        let entry = picked_target.entry;
        if entry.distance == Distance::Far
            || !has_room_for_hedge(worker, &entry)
            || !retries.try_withdraw(service)
        {
            return Hedge::NotMade;
        }
        tried.push(entry.member.node_id.clone());
        let result = attempt(worker, call, &entry, AttemptKind::Hedge).await;
        if result.sent {
            worker.plane.metrics.count("hedge");
            return Hedge::Made(result);
        }
        retries.refund(service);
    }
    Hedge::NotMade
}

fn hedge_plan(
    worker: &Worker,
    call: &Call<'_>,
    expected_latency: Option<Duration>,
) -> Option<HedgePlan> {
    let rule = &call.rule;
    let context = HedgeContext {
        expected: expected_latency,
        quantile: worker.plane.retries.hedge_delay(rule.service, rule.name),
        prompt_by: call.prompt_by,
        deadline: call.deadline,
    };
    HedgePlan::of(&context, Instant::now())
}

/// Returns whether the target is expected to have a free slot for a hedge. A call whose own work is
/// slow is slow at every target, so its hedge must not take slots from calls that wait.
fn has_room_for_hedge(worker: &Worker, entry: &TargetEntry) -> bool {
    let slot_count = entry.candidate().slot_count;
    let loads = worker.plane.loads();
    let busy_ratio = loads.busy_ratio(&entry.member.node_id, slot_count, Instant::now());
    busy_ratio <= HEDGE_BUSY_MAX_RATIO
}
