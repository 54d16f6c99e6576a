//! Attempts of one call, made within the retry budget until a target answers.

use std::time::{
    Duration,
    Instant, //
};

use figway_routing::Distance;
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

/// Maximum number of targets tried for one hedge. A target without a free slot refuses it.
const HEDGE_TRY_MAX_COUNT: usize = 2;

/// Calls per slot at a target above which it is not sent hedges.
const HEDGE_BUSY_MAX_RATIO: f64 = 0.85;

/// Multiple of the expected latency after which an answer is overdue.
const HEDGE_OVERDUE_RATIO: f64 = 1.3;

/// Fraction of the time until an answer loses worth after which the hedge is due at the latest.
const HEDGE_PROMPT_RATIO: f64 = 0.55;

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
        let may_hedge = rule.idempotent && sent_count + 1 < rule.attempt_max_count;
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
        if !is_retryable || is_quarantined(worker, call) {
            break;
        }
        worker.plane.metrics.count("retry");
    }
    call.earlier_outcome.take()
}

/// An attempt that may be hedged.
#[derive(Clone, Copy)]
struct PrimaryAttempt<'a> {
    picked_target: &'a PickedTarget,
    attempt_kind: AttemptKind,
}

/// Returns whether the request is quarantined because it crashed targets.
pub(crate) fn is_quarantined(worker: &Worker, call: &Call<'_>) -> bool {
    let quarantine = worker.plane.mesh.quarantine();
    quarantine.is_quarantined(call.fingerprint, Instant::now())
}

/// Returns whether the call may be sent to another target after an attempt with this outcome.
fn may_retry(call: &Call<'_>, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered(answer) => call.rule.idempotent && answer.status >= FAILED_STATUS_MIN,
        Outcome::NotRun(reason) => reason.is_retryable(),
        Outcome::Unknown(_) => call.rule.idempotent,
    }
}

/// Makes an attempt and hedges it at another target when its answer takes too long, see
/// [`hedge_at`]. The first success wins and cancels the other attempt. Also returns whether a hedge
/// may have reached a target.
async fn run_hedged(
    worker: &Worker,
    call: &Call<'_>,
    first: PrimaryAttempt<'_>,
    tried: &mut Vec<NodeId>,
) -> (AttemptResult, bool) {
    let picked_target = first.picked_target;
    let first = attempt(worker, call, &picked_target.entry, first.attempt_kind);
    let Some(hedge_at) = hedge_at(worker, call, picked_target.expected_latency) else {
        return (first.await, false);
    };
    tokio::pin!(first);
    tokio::select! {
        result = &mut first => return (result, false),
        () = tokio::time::sleep_until(hedge_at.into()) => {}
    }
    let second = make_hedge(worker, call, tried);
    tokio::pin!(second);
    let (second, first) = tokio::select! {
        result = &mut first => {
            if result.outcome.is_success() {
                return (result, true);
            }
            (second.await, result)
        }
        result = &mut second => match result {
            Some(result) if result.outcome.is_success() => return (result, true),
            result => (result, first.await),
        },
    };
    match second {
        Some(second) => (second.merge(first), true),
        None => (first, false),
    }
}

/// Makes the hedge at a target in the same region that has a free slot. A target in another region
/// is not used, since an answer from there costs more than a prompt answer gains. Returns `None` if
/// no target accepts the hedge or the retry budget does not allow it.
async fn make_hedge(
    worker: &Worker,
    call: &Call<'_>,
    tried: &mut Vec<NodeId>,
) -> Option<AttemptResult> {
    let service = call.rule.service;
    let retries = &worker.plane.retries;
    for _ in 0..HEDGE_TRY_MAX_COUNT {
        let entry = pick(worker, call, tried)?.entry;
        if entry.distance == Distance::Far
            || !has_room_for_hedge(worker, &entry)
            || !retries.try_withdraw(service)
        {
            return None;
        }
        tried.push(entry.member.node_id.clone());
        let result = attempt(worker, call, &entry, AttemptKind::Hedge).await;
        if result.sent {
            worker.plane.metrics.count("hedge");
            return Some(result);
        }
        retries.refund(service);
    }
    None
}

/// Returns when the hedge is due: after the hedge quantile of latencies of the request kind, or
/// early enough that its answer can be prompt, whichever is earlier, but not before the first
/// answer is overdue. Returns `None` if neither time is known.
fn hedge_at(
    worker: &Worker,
    call: &Call<'_>,
    expected_latency: Option<Duration>,
) -> Option<Instant> {
    let rule = &call.rule;
    let now = Instant::now();
    let quantile_at = worker
        .plane
        .retries
        .hedge_delay(rule.service, rule.name)
        .map(|hedge_delay| now + hedge_delay);
    let prompt_by = call.prompt_by.filter(|prompt_by| *prompt_by > now);
    let prompt_hedge_at =
        prompt_by.map(|prompt_by| now + (prompt_by - now).mul_f64(HEDGE_PROMPT_RATIO));
    let due = match (quantile_at, prompt_hedge_at) {
        (Some(quantile_at), Some(prompt_hedge_at)) => quantile_at.min(prompt_hedge_at),
        (quantile_at, prompt_hedge_at) => quantile_at.or(prompt_hedge_at)?,
    };
    Some(match expected_latency {
        Some(expected_latency) => due.max(now + expected_latency.mul_f64(HEDGE_OVERDUE_RATIO)),
        None => due,
    })
}

/// Returns whether the target is expected to have a free slot for a hedge. A call whose own work is
/// slow is slow at every target, so its hedge must not take slots from calls that wait.
fn has_room_for_hedge(worker: &Worker, entry: &TargetEntry) -> bool {
    let slot_count = entry.candidate().slot_count;
    let loads = worker.plane.loads();
    let busy_ratio = loads.busy_ratio(&entry.member.node_id, slot_count, Instant::now());
    busy_ratio <= HEDGE_BUSY_MAX_RATIO
}
