//! Caller's side: route, then attempts within the retry budget until an answer or the deadline.

use std::cell::RefCell;
use std::time::{
    Duration,
    Instant, //
};

use figway_control::View;
use figway_http::{
    Headers,
    Request, //
};
use figway_routing::CallNeed;
use figway_types::{
    NodeId,
    NotRunReason,
    RequestView, //
};

use crate::admit::AdmittedFate;
use crate::attempt::attempt;
use crate::call::{
    Call,
    Fate,
    Rule,
    LATE,
    NESTED_RANK, //
};
use crate::candidates::{
    ShareEntry,
    ShareKey, //
};
use crate::interface::Addressing;
use crate::keyed::run_keyed;
use crate::plane::Worker;
use crate::story::{
    told,
    Step, //
};

/// Targets that one call is offered to at most, those included that turned it away unsent.
const TRY_MAX_COUNT: usize = 6;

/// Calls per slot at a target up to which it takes hedges.
const HEDGE_BUSY_RATIO: f64 = 0.85;

/// Part of the time until an answer loses worth after which a call is hedged at the latest.
const HEDGE_PROMPT_SHARE: f64 = 0.55;

/// Least status by which a target says that it failed.
const FAILED_STATUS: u16 = 500;

/// A request as it came from a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Incoming<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) addressing: Addressing<'a>,
    pub(crate) request: &'a Request,
    /// Headers that go on to the target.
    pub(crate) headers: &'a Headers,
    /// Service on whose host the call began.
    pub(crate) origin: &'a str,
    /// When the caller stops waiting, if it said so.
    pub(crate) deadline: Option<Instant>,
}

/// Serves a caller's request and returns the fate of the whole submission.
pub(crate) async fn serve_call(worker: &Worker, incoming: &Incoming<'_>) -> Fate {
    let view = worker.plane.mesh.view();
    let fate = match incoming.addressing {
        Addressing::Service(service) => serve_service(worker, &view, incoming, service).await,
        Addressing::Host(host) => serve_host(worker, &view, incoming, host).await,
    };
    let request = incoming.request;
    match &fate {
        Fate::NotRun(
            NotRunReason::NoConfiguration | NotRunReason::NoService | NotRunReason::NoRoute,
        ) => {
            let plane = &worker.plane;
            plane
                .metrics
                .note_call("", fate.name(), fate.reason(), request.arrived_at.elapsed());
            if plane.lines.keeps(incoming.request_id, true) {
                log::info!(
                    "call not routed request={} to={:?} method={} path={} routes_version={} why={}",
                    incoming.request_id,
                    incoming.addressing,
                    request.method,
                    request.path,
                    view.routes.version,
                    fate.reason(),
                );
            }
        }
        _ => {}
    }
    fate
}

/// Serves a call that names a service, by the request kinds of the service's profile.
async fn serve_service(
    worker: &Worker,
    view: &View,
    incoming: &Incoming<'_>,
    service: &str,
) -> Fate {
    let request = incoming.request;
    let Some(in_force) = view.services.get(service) else {
        return refuse_unrouted(incoming, NotRunReason::NoService);
    };
    let Some(kind) = in_force.profile.kind_of(&request.method, &request.path) else {
        return refuse_unrouted(incoming, NotRunReason::NoRoute);
    };
    let key = incoming
        .headers
        .get(&kind.key_header.to_ascii_lowercase())
        .filter(|_| !kind.idempotent);
    let rule = Rule::of_kind(
        kind,
        service,
        &in_force.profile,
        &in_force.profile_name,
        in_force.version_offset.0,
    );
    run(worker, incoming, rule, kind.budget_ms, key).await
}

/// Serves a call that names a host, by the route table.
async fn serve_host(worker: &Worker, view: &View, incoming: &Incoming<'_>, host: &str) -> Fate {
    if view.routes.version == 0 {
        return Fate::NotRun(NotRunReason::NoConfiguration);
    }
    let Some(named) = view.routes.find(host, &incoming.request.path) else {
        return Fate::NotRun(NotRunReason::NoRoute);
    };
    let route = &named.route;
    let weights: Vec<u32> = route.parts.iter().map(|part| part.weight).collect();
    let seed = worker.plane.mesh.random();
    let turn = worker.splits.borrow_mut().next(&named.name, &weights, seed);
    let Some(part) = route.parts.get(turn) else {
        return Fate::NotRun(NotRunReason::NoTarget);
    };
    let (profile, profile_name) = worker.plane.profile_of(view, &part.service);
    let mut rule = Rule::of_route(
        &named.name,
        route,
        &part.service,
        profile,
        profile_name,
        view.routes.version,
    );
    if worker.plane.is_nested(incoming.request) {
        // Its parent waits for the answer whatever its own objective is.
        rule.rank = NESTED_RANK;
        rule.prompt_ms = Some(route.budget_ms);
    }
    run(worker, incoming, rule, route.budget_ms, None).await
}

async fn run(
    worker: &Worker,
    incoming: &Incoming<'_>,
    rule: Rule<'_>,
    budget_ms: u64,
    key: Option<&str>,
) -> Fate {
    let request = incoming.request;
    let fingerprint = RequestView {
        service: rule.service,
        method: &request.method,
        path: &request.path,
        key,
        body: &request.body,
    }
    .fingerprint();
    let rule_deadline = request.arrived_at + Duration::from_millis(budget_ms);
    let deadline = incoming
        .deadline
        .unwrap_or(rule_deadline)
        .min(rule_deadline);
    let story: RefCell<Vec<Step>> = RefCell::default();
    let call = Call {
        request_id: incoming.request_id,
        story: &story,
        rule,
        method: &request.method,
        path: &request.path,
        headers: incoming.headers,
        body: &request.body,
        origin: incoming.origin,
        arrived_at: request.arrived_at,
        prompt_by: rule
            .prompt_ms
            .map(|prompt_ms| request.arrived_at + Duration::from_millis(prompt_ms)),
        deadline,
        fingerprint,
    };
    let serving = async {
        match key {
            Some(key) => run_keyed(worker, &call, key).await,
            None => run_unkeyed(worker, &call).await,
        }
    };
    let fate = match tokio::time::timeout_at(deadline.into(), serving).await {
        Ok(fate) => fate,
        Err(_) => Fate::Unknown(LATE),
    };
    let took = request.arrived_at.elapsed();
    let plane = &worker.plane;
    plane
        .metrics
        .note_call(rule.name, fate.name(), fate.reason(), took);
    let story = story.take();
    let notable = !is_good(&fate) || story.len() > 1;
    if plane.lines.keeps(call.request_id, notable) {
        log::info!(
            "call ended request={} service={} kind={} version={} origin={} rank={} outcome={} \
             why={} status={} took_ms={} budget_ms={} tries={}",
            call.request_id,
            rule.service,
            rule.name,
            rule.version,
            call.origin,
            rule.rank,
            fate.name(),
            fate.reason(),
            status_of(&fate),
            took.as_millis(),
            deadline
                .saturating_duration_since(request.arrived_at)
                .as_millis(),
            told(&story, rule.profile_name),
        );
    }
    fate
}

/// Refuses a call that has no route here. A key may have run elsewhere before, so that a call which
/// bears one is not told `not run`.
fn refuse_unrouted(incoming: &Incoming<'_>, reason: NotRunReason) -> Fate {
    if incoming.headers.get("idempotency-key").is_some() {
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
/// long as no target ran it.
pub(crate) async fn run_attempts(worker: &Worker, call: &Call<'_>) -> Fate {
    let rule = &call.rule;
    let retries = &worker.plane.retries;
    let node_count = worker.plane.mesh.view().node_count;
    retries.deposit(rule.service, &rule.profile.limits, node_count);
    let mut tried: Vec<NodeId> = Vec::new();
    let mut sent_count = 0;
    let mut earlier_unknown: Option<&'static str> = None;
    let mut last = Fate::NotRun(NotRunReason::NoTarget);
    while sent_count < rule.attempt_max_count && tried.len() < TRY_MAX_COUNT {
        if call.deadline <= Instant::now() {
            return Fate::NotRun(NotRunReason::Expired).after(earlier_unknown);
        }
        let Some(entry) = pick(worker, call, &tried) else {
            break;
        };
        if sent_count > 0 && !retries.try_withdraw(rule.service) {
            worker.plane.metrics.count("retry_refused");
            call.story.borrow_mut().push(Step::NoBudget);
            break;
        }
        tried.push(entry.member.node_id.clone());
        let hedges = rule.idempotent && sent_count + 1 < rule.attempt_max_count;
        let (ended, hedged) = if hedges {
            run_hedged(worker, call, &entry, &mut tried).await
        } else {
            (attempt(worker, call, &entry).await, false)
        };
        sent_count += usize::from(ended.sent) + usize::from(hedged);
        let again = may_try_again(call, &ended.fate);
        if let Fate::Unknown(reason) = ended.fate {
            earlier_unknown = Some(reason);
        }
        last = ended.fate.after(earlier_unknown);
        if !again || is_quarantined(worker, call) {
            break;
        }
        worker.plane.metrics.count("retry");
    }
    last
}

/// Returns whether another target may run the call after this fate.
fn may_try_again(call: &Call<'_>, fate: &Fate) -> bool {
    match fate {
        Fate::Answered(answer) => call.rule.idempotent && answer.status >= FAILED_STATUS,
        Fate::NotRun(reason) => reason.may_try_elsewhere(),
        Fate::Unknown(_) => call.rule.idempotent,
    }
}

/// Makes an attempt and, when it takes longer than most calls of its kind, a second one elsewhere;
/// the first answer wins and the other attempt is given up. Returns whether a second was made.
async fn run_hedged(
    worker: &Worker,
    call: &Call<'_>,
    entry: &ShareEntry,
    tried: &mut Vec<NodeId>,
) -> (AdmittedFate, bool) {
    let rule = &call.rule;
    let first = attempt(worker, call, entry);
    let Some(hedge_at) = hedge_at(worker, call) else {
        return (first.await, false);
    };
    tokio::pin!(first);
    tokio::select! {
        ended = &mut first => return (ended, false),
        () = tokio::time::sleep_until(hedge_at.into()) => {}
    }
    let Some(other) = pick(worker, call, tried) else {
        return (first.await, false);
    };
    let has_room = has_room_for_hedge(worker, &other);
    if !has_room || !worker.plane.retries.try_withdraw(rule.service) {
        return (first.await, false);
    }
    worker.plane.metrics.count("hedge");
    tried.push(other.member.node_id.clone());
    let second = attempt(worker, call, &other);
    tokio::pin!(second);
    let ended = tokio::select! {
        ended = &mut first => first_or(ended, second).await,
        ended = &mut second => first_or(ended, first).await,
    };
    (ended, true)
}

/// Returns when a second attempt is due: when most calls of the kind would have been answered, and
/// early enough for the second answer to be prompt.
fn hedge_at(worker: &Worker, call: &Call<'_>) -> Option<Instant> {
    let rule = &call.rule;
    let now = Instant::now();
    let after_most = worker
        .plane
        .retries
        .hedge_after(rule.service, rule.name)
        .map(|hedge_after| now + hedge_after);
    let prompt_by = call.prompt_by.filter(|prompt_by| *prompt_by > now);
    let in_time = prompt_by.map(|prompt_by| now + (prompt_by - now).mul_f64(HEDGE_PROMPT_SHARE));
    match (after_most, in_time) {
        (Some(after_most), Some(in_time)) => Some(after_most.min(in_time)),
        (after_most, in_time) => after_most.or(in_time),
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

/// Returns the first good answer; an attempt that ended without one waits for the other.
async fn first_or(
    ended: AdmittedFate,
    other: impl std::future::Future<Output = AdmittedFate>,
) -> AdmittedFate {
    if is_good(&ended.fate) {
        return ended;
    }
    let other = other.await;
    if is_good(&other.fate) || matches!(ended.fate, Fate::NotRun(_)) {
        return other;
    }
    ended
}

fn status_of(fate: &Fate) -> u16 {
    match fate {
        Fate::Answered(answer) => answer.status,
        Fate::NotRun(_) | Fate::Unknown(_) => 0,
    }
}

fn is_good(fate: &Fate) -> bool {
    matches!(fate, Fate::Answered(answer) if answer.status < FAILED_STATUS)
}

fn pick(worker: &Worker, call: &Call<'_>, tried: &[NodeId]) -> Option<ShareEntry> {
    let plane = &worker.plane;
    let rule = &call.rule;
    let view = plane.mesh.view();
    let home = &worker.home;
    let key = ShareKey {
        service: rule.service,
        subset_name: rule.subset,
        profile: rule.profile,
        profile_name: rule.profile_name,
    };
    let share = worker.candidates.borrow_mut().share(&view, home, key);
    let mut candidates = Vec::with_capacity(share.len());
    for entry in share.iter() {
        candidates.push(entry.candidate());
    }
    let excluded: Vec<&NodeId> = tried.iter().collect();
    let mut loads = plane.loads();
    let now = Instant::now();
    // Beside this node the load is known, whoever sent the calls.
    loads.note_report(&home.node_id, plane.gate.report(rule.rank), now);
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
        call.story.borrow_mut().push(Step::NoTarget {
            known_count: candidates.len(),
        });
        return None;
    };
    let entry = share[picked.index].clone();
    call.story.borrow_mut().push(Step::Picked {
        target: entry.member.node_id.clone(),
        reason: picked.reason,
        cost: picked.cost,
        at_ms: call.arrived_at.elapsed().as_millis(),
    });
    Some(entry)
}
