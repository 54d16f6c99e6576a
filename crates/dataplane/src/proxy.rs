//! Caller's side: route, then attempts within the retry budget until an answer or the deadline.

use std::time::{
    Duration,
    Instant, //
};

use figway_routing::LoadReport;
use figway_types::{
    NodeId,
    NotRunReason,
    RequestView, //
};
use ntex::util::Bytes;

use crate::admit::AdmittedFate;
use crate::attempt::attempt;
use crate::call::{
    Call,
    Fate, //
};
use crate::candidates::{
    ShareEntry,
    ShareKey, //
};
use crate::keyed::run_keyed;
use crate::plane::Worker;

/// Targets that one call tries at most.
const ATTEMPT_MAX_COUNT: usize = 4;

/// Calls per slot at a target up to which it takes hedges.
const HEDGE_BUSY_RATIO: f64 = 0.5;

/// Status by which a target itself sheds load.
const SHED_STATUS: u16 = 503;

/// A request as it came from a caller.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub(crate) request_id: u64,
    pub(crate) service: String,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    /// When the caller stops waiting, if it said so.
    pub(crate) deadline: Option<Instant>,
}

impl Incoming {
    fn header(&self, name: &str) -> Option<&str> {
        for (known, value) in &self.headers {
            if known.eq_ignore_ascii_case(name) {
                return Some(value);
            }
        }
        None
    }
}

/// Serves a caller's request and returns the fate of the whole submission.
pub(crate) async fn serve_call(worker: &Worker, incoming: &Incoming) -> Fate {
    let view = worker.plane.mesh.view();
    let Some(in_force) = view.services.get(&incoming.service) else {
        return refuse_unrouted(incoming, NotRunReason::NoService);
    };
    let Some(kind) = in_force.profile.kind_of(&incoming.method, &incoming.path) else {
        return refuse_unrouted(incoming, NotRunReason::NoRoute);
    };
    let key = incoming
        .header(&kind.key_header)
        .filter(|_| !kind.idempotent);
    let request = RequestView {
        service: &incoming.service,
        method: &incoming.method,
        path: &incoming.path,
        key,
        body: &incoming.body,
    };
    let kind_deadline = Instant::now() + Duration::from_millis(kind.budget_ms);
    let call = Call {
        request_id: incoming.request_id,
        service: &incoming.service,
        method: &incoming.method,
        path: &incoming.path,
        headers: &incoming.headers,
        body: &incoming.body,
        deadline: incoming
            .deadline
            .unwrap_or(kind_deadline)
            .min(kind_deadline),
        fingerprint: request.fingerprint(),
        in_force,
        kind,
    };
    let fate = match key {
        Some(key) => run_keyed(worker, &call, key).await,
        None => run_unkeyed(worker, &call).await,
    };
    log::info!(
        "call ended request={:016x} service={} kind={} version={} outcome={} why={}",
        call.request_id,
        call.service,
        call.kind.name,
        call.in_force.version_offset,
        fate.name(),
        fate.reason(),
    );
    fate
}

/// Refuses a call that has no route here. A key may have run elsewhere before, so that a call which
/// bears one is not told `not run`.
fn refuse_unrouted(incoming: &Incoming, reason: NotRunReason) -> Fate {
    if incoming.header("Idempotency-Key").is_some() {
        return Fate::Unknown(reason.name());
    }
    Fate::NotRun(reason)
}

async fn run_unkeyed(worker: &Worker, call: &Call<'_>) -> Fate {
    if is_quarantined(worker, call) {
        worker.plane.metrics.count("quarantined");
        return Fate::NotRun(NotRunReason::Quarantined);
    }
    run_attempts(worker, call).await
}

fn is_quarantined(worker: &Worker, call: &Call<'_>) -> bool {
    let quarantine = worker.plane.mesh.quarantine();
    quarantine.is_quarantined(call.fingerprint, Instant::now())
}

/// Tries targets until one answers. A call that is not idempotent goes to another target only as
/// long as no byte of it went to one.
pub(crate) async fn run_attempts(worker: &Worker, call: &Call<'_>) -> Fate {
    let limits = &call.in_force.profile.limits;
    let retries = &worker.plane.retries;
    retries.deposit(call.service, limits);
    let mut tried: Vec<NodeId> = Vec::new();
    let mut earlier_unknown: Option<&'static str> = None;
    let mut last = Fate::NotRun(NotRunReason::NoTarget);
    while tried.len() < ATTEMPT_MAX_COUNT {
        if call.deadline <= Instant::now() {
            return Fate::NotRun(NotRunReason::Expired).after(earlier_unknown);
        }
        let Some(entry) = pick(worker, call, &tried) else {
            break;
        };
        tried.push(entry.member.node_id.clone());
        let ended = if call.kind.idempotent {
            run_hedged(worker, call, &entry, &mut tried).await
        } else {
            attempt(worker, call, &entry).await
        };
        let again = may_try_again(call, &ended.fate);
        if let Fate::Unknown(reason) = ended.fate {
            earlier_unknown = Some(reason);
        }
        last = ended.fate.after(earlier_unknown);
        if !again || is_quarantined(worker, call) {
            break;
        }
        if costs_budget(&last) && !retries.try_withdraw(call.service, limits) {
            worker.plane.metrics.count("retry_refused");
            break;
        }
        worker.plane.metrics.count("retry");
    }
    last
}

/// Returns whether another target may run the call after this fate.
fn may_try_again(call: &Call<'_>, fate: &Fate) -> bool {
    match fate {
        Fate::Answered(answer) => call.kind.idempotent && answer.status == SHED_STATUS,
        Fate::NotRun(reason) => reason.may_try_elsewhere(),
        Fate::Unknown(_) => call.kind.idempotent,
    }
}

/// A target that is gone costs nothing to leave; what may add load is paid for.
fn costs_budget(fate: &Fate) -> bool {
    !matches!(
        fate,
        Fate::NotRun(NotRunReason::Draining | NotRunReason::Unreachable | NotRunReason::NoTarget)
    )
}

/// Makes an attempt and, when it takes longer than most calls of its kind, a second one elsewhere;
/// the first answer wins and the other attempt is given up.
async fn run_hedged(
    worker: &Worker,
    call: &Call<'_>,
    entry: &ShareEntry,
    tried: &mut Vec<NodeId>,
) -> AdmittedFate {
    let first = attempt(worker, call, entry);
    let hedge_after = worker
        .plane
        .retries
        .hedge_after(call.service, &call.kind.name);
    let Some(hedge_after) = hedge_after else {
        return first.await;
    };
    tokio::pin!(first);
    let hedge_at = Instant::now() + hedge_after;
    tokio::select! {
        ended = &mut first => return ended,
        () = tokio::time::sleep_until(hedge_at.into()) => {}
    }
    let limits = &call.in_force.profile.limits;
    let Some(other) = pick(worker, call, tried) else {
        return first.await;
    };
    let has_room = has_room_for_hedge(worker, &other);
    if !has_room || !worker.plane.retries.try_withdraw(call.service, limits) {
        return first.await;
    }
    worker.plane.metrics.count("hedge");
    tried.push(other.member.node_id.clone());
    let second = attempt(worker, call, &other);
    tokio::pin!(second);
    tokio::select! {
        ended = &mut first => first_or(ended, second).await,
        ended = &mut second => first_or(ended, first).await,
    }
}

/// Returns whether a hedge would find a free slot. A call that is slow by its own work is slow
/// everywhere; hedging it must not take slots from calls that wait.
fn has_room_for_hedge(worker: &Worker, entry: &ShareEntry) -> bool {
    let slot_count = entry.candidate().slot_count;
    let loads = worker.plane.loads();
    let busy_ratio = loads.busy_ratio(&entry.member.node_id, slot_count, Instant::now());
    busy_ratio <= HEDGE_BUSY_RATIO
}

/// Returns the first answer; an attempt that ended without one waits for the other.
async fn first_or(
    ended: AdmittedFate,
    other: impl std::future::Future<Output = AdmittedFate>,
) -> AdmittedFate {
    if matches!(ended.fate, Fate::Answered(_)) {
        return ended;
    }
    let other = other.await;
    if matches!(other.fate, Fate::Answered(_)) || matches!(ended.fate, Fate::NotRun(_)) {
        return other;
    }
    ended
}

fn pick(worker: &Worker, call: &Call<'_>, tried: &[NodeId]) -> Option<ShareEntry> {
    let plane = &worker.plane;
    let view = plane.mesh.view();
    let home = &worker.home;
    let key = ShareKey {
        service: call.runs_at(),
        subset_name: &call.kind.subset,
        profile: &call.in_force.profile,
        profile_name: &call.in_force.profile_name,
    };
    let share = worker.candidates.borrow_mut().share(&view, home, key);
    let mut candidates = Vec::with_capacity(share.len());
    for entry in share.iter() {
        candidates.push(entry.candidate());
    }
    let excluded: Vec<&NodeId> = tried.iter().collect();
    let mut loads = plane.loads();
    // Beside this node the load is known, whoever sent the calls.
    let own_load = LoadReport {
        busy_ratio: plane.gate.busy_ratio(),
    };
    loads.note_report(&home.node_id, own_load, Instant::now());
    let mut picker = worker.picker.borrow_mut();
    let picked = picker.pick(&candidates, &excluded, &loads, Instant::now())?;
    let entry = share[picked.index].clone();
    log::info!(
        "target picked request={:016x} service={} kind={} profile={} version={} target={} why={} \
         cost_us={:.0}",
        call.request_id,
        call.service,
        call.kind.name,
        call.in_force.profile_name,
        call.in_force.version_offset,
        entry.member.node_id,
        picked.reason,
        picked.cost_us,
    );
    Some(entry)
}
