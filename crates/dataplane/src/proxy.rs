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
use figway_types::{
    NotRunReason,
    RequestView, //
};

use crate::attempts::{
    is_quarantined,
    run_attempts, //
};
use crate::call::{
    AttemptKind,
    Call,
    Outcome,
    Rule,
    DEADLINE_EXCEEDED,
    NESTED_RANK, //
};
use crate::interface::Addressing;
use crate::keyed::run_keyed;
use crate::steps::{
    format_steps,
    Step, //
};
use crate::worker::Worker;

/// Longest time for which a call is held that has no routes or no target yet.
pub(crate) const HOLD_MAX: Duration = Duration::from_millis(400);

/// Share of a call's budget for which it is held at most; a caller that is refused then still has
/// time to come back.
pub(crate) const HOLD_BUDGET_RATIO: f64 = 0.3;

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
pub(crate) async fn serve_call(worker: &Worker, incoming: &Incoming<'_>) -> Outcome {
    if let Addressing::Host(_) = incoming.addressing {
        wait_for_routes(worker, incoming).await;
    }
    let view = worker.plane.mesh.view();
    let fate = match incoming.addressing {
        Addressing::Service(service) => serve_service(worker, &view, incoming, service).await,
        Addressing::Host(host) => serve_host(worker, &view, incoming, host).await,
    };
    if let Outcome::NotRun(
        reason @ (NotRunReason::NoConfiguration | NotRunReason::NoService | NotRunReason::NoRoute),
    ) = fate
    {
        note_unrouted(worker, incoming, reason, view.routes.version);
    }
    fate
}

/// Holds a call of a node that has just started until there are routes, for a short while.
async fn wait_for_routes(worker: &Worker, incoming: &Incoming<'_>) {
    let mesh = &worker.plane.mesh;
    if mesh.view().routes.version > 0 {
        return;
    }
    let arrived_at = incoming.request.arrived_at;
    let budget = incoming
        .deadline
        .map_or(HOLD_MAX, |deadline| deadline - arrived_at);
    let hold_until = arrived_at + HOLD_MAX.min(budget.mul_f64(HOLD_BUDGET_RATIO));
    let mut changes = mesh.watch_view();
    while mesh.view().routes.version == 0 {
        let changed = tokio::time::timeout_at(hold_until.into(), changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return;
        }
    }
}

fn note_unrouted(
    worker: &Worker,
    incoming: &Incoming<'_>,
    reason: NotRunReason,
    routes_version: u64,
) {
    let plane = &worker.plane;
    let request = incoming.request;
    plane
        .metrics
        .note_call("", "not-run", reason.name(), request.arrived_at.elapsed());
    if plane.lines.keeps(incoming.request_id, true) {
        log::info!(
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

/// Serves a call that names a service, by the request kinds of the service's profile.
async fn serve_service(
    worker: &Worker,
    view: &View,
    incoming: &Incoming<'_>,
    service: &str,
) -> Outcome {
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
    let terms = Terms {
        budget_ms: kind.budget_ms,
        key,
        parent_is_repeat: false,
    };
    run(worker, incoming, rule, terms).await
}

/// Serves a call that names a host, by the route table.
async fn serve_host(worker: &Worker, view: &View, incoming: &Incoming<'_>, host: &str) -> Outcome {
    if view.routes.version == 0 {
        return Outcome::NotRun(NotRunReason::NoConfiguration);
    }
    let Some(named) = view.routes.find(host, &incoming.request.path) else {
        return Outcome::NotRun(NotRunReason::NoRoute);
    };
    let route = &named.route;
    let weights: Vec<u32> = route.parts.iter().map(|part| part.weight).collect();
    let seed = worker.plane.mesh.random();
    let turn = worker.splits.borrow_mut().next(&named.name, &weights, seed);
    let Some(part) = route.parts.get(turn) else {
        return Outcome::NotRun(NotRunReason::NoTarget);
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
    let parent_turn = worker.plane.parent_turn(incoming.request);
    if parent_turn.is_some() {
        // Its parent waits for the answer whatever its own objective is.
        rule.rank = NESTED_RANK;
        rule.prompt_ms = Some(route.budget_ms);
    }
    let parent_is_repeat = parent_turn.is_some_and(|turn| turn != AttemptKind::First);
    let terms = Terms {
        budget_ms: route.budget_ms,
        key: None,
        parent_is_repeat,
    };
    run(worker, incoming, rule, terms).await
}

/// What applies to a call beside its rule.
struct Terms<'a> {
    /// Time that the operator grants it, in milliseconds.
    budget_ms: u64,
    /// Key under which it runs at most once.
    key: Option<&'a str>,
    /// Whether a run that was itself a repeat made it.
    parent_is_repeat: bool,
}

async fn run(
    worker: &Worker,
    incoming: &Incoming<'_>,
    rule: Rule<'_>,
    terms: Terms<'_>,
) -> Outcome {
    let Terms {
        budget_ms,
        key,
        parent_is_repeat,
    } = terms;
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
    let steps: RefCell<Vec<Step>> = RefCell::default();
    let earlier_outcome: RefCell<Outcome> = RefCell::default();
    let call = Call {
        request_id: incoming.request_id,
        steps: &steps,
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
        parent_is_repeat,
        earlier_outcome: &earlier_outcome,
    };
    let serving = async {
        match key {
            Some(key) => run_keyed(worker, &call, key).await,
            None => run_unkeyed(worker, &call).await,
        }
    };
    let fate = match tokio::time::timeout_at(deadline.into(), serving).await {
        Ok(fate) => fate,
        // An attempt was under way; a failed answer of an earlier one is still worth more.
        Err(_) => Outcome::Unknown(DEADLINE_EXCEEDED).merge_earlier(earlier_outcome.take()),
    };
    let took = request.arrived_at.elapsed();
    let plane = &worker.plane;
    plane
        .metrics
        .note_call(rule.name, fate.name(), fate.reason(), took);
    let steps = steps.take();
    // A call that went well at its first target has two steps.
    let notable = !fate.is_success() || steps.len() > 2;
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
            fate.status(),
            took.as_millis(),
            deadline
                .saturating_duration_since(request.arrived_at)
                .as_millis(),
            format_steps(&steps, rule.profile_name),
        );
    }
    fate
}

/// Refuses a call that has no route here. A key may have run elsewhere before, so that a call which
/// bears one is not told `not run`.
fn refuse_unrouted(incoming: &Incoming<'_>, reason: NotRunReason) -> Outcome {
    if incoming.headers.get("idempotency-key").is_some() {
        return Outcome::Unknown(reason.name());
    }
    Outcome::NotRun(reason)
}

async fn run_unkeyed(worker: &Worker, call: &Call<'_>) -> Outcome {
    if is_quarantined(worker, call) {
        worker.plane.metrics.count("quarantined");
        return Outcome::NotRun(NotRunReason::Quarantined);
    }
    run_attempts(worker, call).await
}
