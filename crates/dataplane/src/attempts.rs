//! Attempts of one call: targets are tried within the retry budget until one answers.

use std::time::{
    Duration,
    Instant, //
};

use figway_routing::{
    CallNeed,
    Distance, //
};
use figway_types::{
    NodeId,
    NotRunReason, //
};

use crate::admit::AdmittedFate;
use crate::attempt::attempt;
use crate::call::{
    AttemptKind,
    Call,
    Outcome,
    FAILED_STATUS_MIN, //
};
use crate::candidates::{
    CandidateKey,
    TargetEntry, //
};
use crate::proxy::{
    HOLD_BUDGET_RATIO,
    HOLD_MAX, //
};
use crate::steps::Step;
use crate::worker::Worker;

/// Targets that one call is offered to at most, those included that turned it away unsent.
const TRY_MAX_COUNT: usize = 6;

/// Targets that a hedge is offered to; one whose slots are taken turns it away.
const HEDGE_TRY_COUNT: usize = 2;

/// Calls per slot at a target up to which it takes hedges.
const HEDGE_BUSY_RATIO: f64 = 0.85;

/// Expected time of an answer after which it is overdue, as a multiple.
const HEDGE_OVERDUE_RATIO: f64 = 1.3;

/// Part of the time until an answer loses worth after which a call is hedged at the latest.
const HEDGE_PROMPT_SHARE: f64 = 0.55;

/// Tries targets until one answers. A call that is not idempotent goes to another target only as
/// long as no target ran it.
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
    while sent_count < rule.attempt_max_count && tried.len() < TRY_MAX_COUNT {
        if call.deadline <= Instant::now() {
            return Outcome::NotRun(NotRunReason::Expired)
                .merge_earlier(call.earlier_outcome.take());
        }
        let Some(chosen) = pick_or_wait(worker, call, &tried).await else {
            break;
        };
        if sent_count > 0 && !retries.try_withdraw(rule.service) {
            worker.plane.metrics.count("retry_refused");
            call.steps.borrow_mut().push(Step::NoBudget);
            break;
        }
        tried.push(chosen.entry.member.node_id.clone());
        let first = First {
            chosen: &chosen,
            attempt_kind: if sent_count > 0 {
                AttemptKind::Retry
            } else {
                AttemptKind::First
            },
        };
        let hedges = rule.idempotent && sent_count + 1 < rule.attempt_max_count;
        let (ended, hedge_sent) = if hedges {
            run_hedged(worker, call, first, &mut tried).await
        } else {
            let ended = attempt(worker, call, &chosen.entry, first.attempt_kind).await;
            (ended, false)
        };
        if first.attempt_kind == AttemptKind::Retry && !ended.sent {
            retries.refund(rule.service);
        }
        sent_count += usize::from(ended.sent) + usize::from(hedge_sent);
        let again = may_try_again(call, &ended.fate);
        let joined = ended.fate.merge_earlier(call.earlier_outcome.take());
        call.earlier_outcome.replace(joined);
        if !again || is_quarantined(worker, call) {
            break;
        }
        worker.plane.metrics.count("retry");
    }
    call.earlier_outcome.take()
}

/// An attempt that another may be made beside.
#[derive(Clone, Copy)]
struct First<'a> {
    chosen: &'a Chosen,
    attempt_kind: AttemptKind,
}

/// Returns whether the request crashed targets before.
pub(crate) fn is_quarantined(worker: &Worker, call: &Call<'_>) -> bool {
    let quarantine = worker.plane.mesh.quarantine();
    quarantine.is_quarantined(call.fingerprint, Instant::now())
}

/// Returns whether another target may run the call after this fate.
fn may_try_again(call: &Call<'_>, fate: &Outcome) -> bool {
    match fate {
        Outcome::Answered(answer) => call.rule.idempotent && answer.status >= FAILED_STATUS_MIN,
        Outcome::NotRun(reason) => reason.may_try_elsewhere(),
        Outcome::Unknown(_) => call.rule.idempotent,
    }
}

/// Makes an attempt and, when it takes longer than most calls of its kind, a second one elsewhere;
/// the first good answer wins and the other attempt is given up. Returns whether a second one may have
/// reached a target.
async fn run_hedged(
    worker: &Worker,
    call: &Call<'_>,
    first: First<'_>,
    tried: &mut Vec<NodeId>,
) -> (AdmittedFate, bool) {
    let chosen = first.chosen;
    let first = attempt(worker, call, &chosen.entry, first.attempt_kind);
    let Some(hedge_at) = hedge_at(worker, call, chosen.expected) else {
        return (first.await, false);
    };
    tokio::pin!(first);
    tokio::select! {
        ended = &mut first => return (ended, false),
        () = tokio::time::sleep_until(hedge_at.into()) => {}
    }
    let second = hedge(worker, call, tried);
    tokio::pin!(second);
    let (second, first) = tokio::select! {
        ended = &mut first => {
            if ended.fate.is_success() {
                return (ended, true);
            }
            (second.await, ended)
        }
        ended = &mut second => match ended {
            Some(ended) if ended.fate.is_success() => return (ended, true),
            ended => (ended, first.await),
        },
    };
    match second {
        Some(second) => (second.joined(first), true),
        None => (first, false),
    }
}

/// Makes a second attempt where a slot is free, within the region: between regions an answer costs
/// more than a prompt one gains. None if no target takes it.
async fn hedge(worker: &Worker, call: &Call<'_>, tried: &mut Vec<NodeId>) -> Option<AdmittedFate> {
    let service = call.rule.service;
    let retries = &worker.plane.retries;
    for _ in 0..HEDGE_TRY_COUNT {
        let other = pick(worker, call, tried)?.entry;
        if other.distance == Distance::Far
            || !has_room_for_hedge(worker, &other)
            || !retries.try_withdraw(service)
        {
            return None;
        }
        tried.push(other.member.node_id.clone());
        let ended = attempt(worker, call, &other, AttemptKind::Hedge).await;
        if ended.sent {
            worker.plane.metrics.count("hedge");
            return Some(ended);
        }
        retries.refund(service);
    }
    None
}

/// Returns when a second attempt is due: when most calls of the kind would have been answered, or
/// early enough for the second answer to be prompt, but not before the first answer is overdue.
fn hedge_at(worker: &Worker, call: &Call<'_>, expected: Option<Duration>) -> Option<Instant> {
    let rule = &call.rule;
    let now = Instant::now();
    let after_most = worker
        .plane
        .retries
        .hedge_delay(rule.service, rule.name)
        .map(|hedge_after| now + hedge_after);
    let prompt_by = call.prompt_by.filter(|prompt_by| *prompt_by > now);
    let in_time = prompt_by.map(|prompt_by| now + (prompt_by - now).mul_f64(HEDGE_PROMPT_SHARE));
    let due = match (after_most, in_time) {
        (Some(after_most), Some(in_time)) => after_most.min(in_time),
        (after_most, in_time) => after_most.or(in_time)?,
    };
    Some(match expected {
        Some(expected) => due.max(now + expected.mul_f64(HEDGE_OVERDUE_RATIO)),
        None => due,
    })
}

/// Returns whether a hedge would find a free slot. A call that is slow by its own work is slow
/// everywhere; hedging it must not take slots from calls that wait.
fn has_room_for_hedge(worker: &Worker, entry: &TargetEntry) -> bool {
    let slot_count = entry.candidate().slot_count;
    let loads = worker.plane.loads();
    let busy_ratio = loads.busy_ratio(&entry.member.node_id, slot_count, Instant::now());
    busy_ratio <= HEDGE_BUSY_RATIO
}

/// A target that was picked for an attempt.
struct Chosen {
    entry: TargetEntry,
    /// Time in which the answer is expected, if it can be told.
    expected: Option<Duration>,
}

/// Picks a target. A call for which none is known yet is held for a short while.
async fn pick_or_wait(worker: &Worker, call: &Call<'_>, tried: &[NodeId]) -> Option<Chosen> {
    let mesh = &worker.plane.mesh;
    let mut changes = mesh.watch_view();
    let budget = call.deadline - call.arrived_at;
    let hold_until = call.arrived_at + HOLD_MAX.min(budget.mul_f64(HOLD_BUDGET_RATIO));
    loop {
        let chosen = pick(worker, call, tried);
        if chosen.is_some() || !tried.is_empty() || call.prompt_by.is_none() {
            return chosen;
        }
        let changed = tokio::time::timeout_at(hold_until.into(), changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return None;
        }
    }
}

fn pick(worker: &Worker, call: &Call<'_>, tried: &[NodeId]) -> Option<Chosen> {
    let plane = &worker.plane;
    let rule = &call.rule;
    let view = plane.mesh.view();
    let own_member = &worker.own_member;
    let key = CandidateKey {
        service: rule.service,
        subset_name: rule.subset,
        profile: rule.profile,
        profile_name: rule.profile_name,
    };
    let share = worker.candidates.borrow_mut().share(&view, own_member, key);
    let mut candidates = Vec::with_capacity(share.len());
    for entry in share.iter() {
        candidates.push(entry.candidate());
    }
    let excluded: Vec<&NodeId> = tried.iter().collect();
    let mut loads = plane.loads();
    let now = Instant::now();
    // Beside this node the load is known, whoever sent the calls.
    loads.note_report(&own_member.node_id, plane.gate.report(rule.rank), now);
    let mut picker = match call.prompt_by {
        Some(_) => worker.route_picker.borrow_mut(),
        None => worker.picker.borrow_mut(),
    };
    let need = CallNeed {
        kind: rule.name,
        prompt_left: call
            .prompt_by
            .unwrap_or(call.deadline)
            .saturating_duration_since(now),
        deadline_left: call.deadline.saturating_duration_since(now),
    };
    let picked = picker.pick(&need, &candidates, &excluded, &loads, now);
    let Some(picked) = picked else {
        call.steps.borrow_mut().push(Step::NoTarget {
            known_count: candidates.len(),
        });
        return None;
    };
    let entry = share[picked.index].clone();
    call.steps.borrow_mut().push(Step::Picked {
        target: entry.member.node_id.clone(),
        reason: picked.reason,
        cost: picked.cost,
        at_ms: call.arrived_at.elapsed().as_millis(),
    });
    Some(Chosen {
        entry,
        expected: picked.expected,
    })
}
