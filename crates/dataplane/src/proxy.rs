//! Caller's side of a call: routing, then attempts within the retry budget until an answer or the
//! deadline.

use std::cell::{
    Cell,
    RefCell, //
};
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
    deadline_after_ms,
    KeyRefusal,
    NotRunReason,
    RequestView, //
};

use crate::attempts::run_attempts;
use crate::call::{
    Call,
    Outcome,
    Rule,
    DEADLINE_EXCEEDED, //
};
use crate::caller::Caller;
use crate::interface::Addressing;
use crate::keyed::run_keyed;
use crate::pick::shortest_wait;
use crate::record::{
    record_unrouted,
    CallRecord, //
};
use crate::routed::serve_by_host;
use crate::steps::Step;
use crate::worker::Worker;

/// Longest time that a call is held while the node has no routes or no target for it.
pub(crate) const HOLD_MAX: Duration = Duration::from_millis(400);

/// Largest fraction of a call's budget for which it is held, so that a caller that is refused still
/// has time to retry.
pub(crate) const HOLD_BUDGET_RATIO: f64 = 0.3;

/// A request of a caller, before routing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Incoming<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) addressing: Addressing<'a>,
    pub(crate) request: &'a Request,
    /// Service on whose host the call began.
    pub(crate) origin: &'a str,
    /// When the caller stops waiting, if it set a deadline.
    pub(crate) deadline: Option<Instant>,
}

/// Result of a caller's request.
pub(crate) struct ServedCall {
    /// Outcome of the whole submission.
    pub(crate) outcome: Outcome,
    /// Time until a target is expected to start the call, if the call was refused for a rate limit.
    pub(crate) expected_wait: Option<Duration>,
}

impl From<Outcome> for ServedCall {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            expected_wait: None,
        }
    }
}

/// Serves a caller's request.
pub(crate) async fn serve_call(worker: &Worker, incoming: &Incoming<'_>) -> ServedCall {
    if let Addressing::Host(_) = incoming.addressing {
        wait_for_routes(worker, incoming).await;
    }
    let mut view = worker.plane.mesh.view();
    let mut served = serve_by_view(worker, &view, incoming).await;
    let newest = worker.plane.mesh.view();
    if is_key_removed(&served.outcome) && newest.routes.version > view.routes.version {
        // The routes changed while the call waited, so that the new ones decide whose it is.
        view = newest;
        served = serve_by_view(worker, &view, incoming).await;
    }
    if let Outcome::NotRun(
        reason @ (NotRunReason::NoConfiguration
        | NotRunReason::NoService
        | NotRunReason::NoRoute
        | NotRunReason::Unauthorized(_)
        | NotRunReason::UnknownParent),
    ) = served.outcome
    {
        // The call of a removed key was routed, and is recorded where it ended.
        if !is_key_removed(&served.outcome) {
            record_unrouted(worker, incoming, reason, view.routes.version);
        }
    }
    served
}

async fn serve_by_view(worker: &Worker, view: &View, incoming: &Incoming<'_>) -> ServedCall {
    match incoming.addressing {
        Addressing::Service(service) => serve_by_service(worker, view, incoming, service).await,
        Addressing::Host(host) => serve_by_host(worker, view, incoming, host).await,
    }
}

fn is_key_removed(outcome: &Outcome) -> bool {
    *outcome == Outcome::NotRun(NotRunReason::Unauthorized(KeyRefusal::Removed))
}

/// Waits until the node has routes, at most for the time that a call may be held. A node has none
/// just after its start.
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

/// Serves a call addressed to a service, by the request kinds of the service's profile.
async fn serve_by_service(
    worker: &Worker,
    view: &View,
    incoming: &Incoming<'_>,
    service: &str,
) -> ServedCall {
    let request = incoming.request;
    let Some(in_force) = view.services.get(service) else {
        return unrouted_outcome(incoming, NotRunReason::NoService).into();
    };
    let Some(kind) = in_force.profile.kind_of(&request.method, &request.path) else {
        return unrouted_outcome(incoming, NotRunReason::NoRoute).into();
    };
    let key = request
        .headers
        .get(&kind.key_header.to_ascii_lowercase())
        .filter(|_| !kind.idempotent);
    let rule = Rule::from_request_kind(
        kind,
        service,
        &in_force.profile,
        &in_force.profile_name,
        in_force.version_offset.0,
        view.routes.overload_control,
    );
    let properties = CallProperties {
        budget_ms: kind.budget_ms,
        key,
        parent_is_repeat: false,
        caller: Caller::UNROUTED,
    };
    let headers = worker.plane.interface.forwarded_headers(request);
    run_call(worker, incoming, &headers, rule, properties).await
}

/// Properties of a call that its rule does not hold.
pub(crate) struct CallProperties<'a> {
    /// Time from arrival to deadline that the operator allows, in milliseconds.
    pub(crate) budget_ms: u64,
    /// Idempotency key under which the call runs at most once.
    pub(crate) key: Option<&'a str>,
    /// Whether the call is nested in a run that was a retry or a hedge.
    pub(crate) parent_is_repeat: bool,
    pub(crate) caller: Caller<'a>,
}

/// Runs a routed call until its outcome or deadline, then records its metrics and log line.
pub(crate) async fn run_call(
    worker: &Worker,
    incoming: &Incoming<'_>,
    headers: &Headers,
    rule: Rule<'_>,
    properties: CallProperties<'_>,
) -> ServedCall {
    let CallProperties {
        budget_ms,
        key,
        parent_is_repeat,
        caller,
    } = properties;
    let request = incoming.request;
    let fingerprint = RequestView {
        caller: incoming.origin,
        addressee: incoming.addressing.name(),
        method: &request.method,
        path: &request.path,
        body: &request.body,
    }
    .fingerprint();
    let rule_deadline = deadline_after_ms(request.arrived_at, budget_ms);
    let deadline = incoming
        .deadline
        .unwrap_or(rule_deadline)
        .min(rule_deadline);
    let steps: RefCell<Vec<Step>> = RefCell::default();
    let earlier_outcome: RefCell<Outcome> = RefCell::default();
    let attempts = Cell::default();
    let call = Call {
        request_id: incoming.request_id,
        steps: &steps,
        rule,
        method: &request.method,
        path: &request.path,
        headers,
        body: &request.body,
        origin: incoming.origin,
        caller,
        arrived_at: request.arrived_at,
        prompt_by: rule
            .prompt_ms
            .map(|prompt_ms| deadline_after_ms(request.arrived_at, prompt_ms)),
        deadline,
        fingerprint,
        parent_is_repeat,
        earlier_outcome: &earlier_outcome,
        attempts: &attempts,
    };
    let serving = async {
        match key {
            Some(key) => run_keyed(worker, &call, key).await,
            None => run_unkeyed(worker, &call).await,
        }
    };
    let mut record = CallRecord::new(worker, &call);
    let counted = CountedCall {
        worker,
        call: &call,
    };
    let outcome = match tokio::time::timeout_at(deadline.into(), serving).await {
        Ok(outcome) => outcome,
        // An attempt was in flight. A failed answer of an earlier attempt is preferred to no
        // answer.
        Err(_) => Outcome::Unknown(DEADLINE_EXCEEDED).merge_earlier(earlier_outcome.take()),
    };
    drop(counted);
    record.write(&outcome);
    let expected_wait = match outcome {
        Outcome::NotRun(NotRunReason::RateLimited) => shortest_wait(worker, &rule),
        Outcome::NotRun(NotRunReason::Overloaded | NotRunReason::Expired)
            if rule.overload_control =>
        {
            let random_ratio = worker.plane.mesh.random_ratio();
            let overload = &worker.plane.overload;
            overload.retry_after(rule.service, call.overload_class(), random_ratio)
        }
        _ => None,
    };
    ServedCall {
        outcome,
        expected_wait,
    }
}

/// Returns the outcome of a call that has no route on this node. A call with an idempotency key
/// gets `Unknown`, not `NotRun`, since its key may have run through another node before.
fn unrouted_outcome(incoming: &Incoming<'_>, reason: NotRunReason) -> Outcome {
    if incoming.request.headers.get("idempotency-key").is_some() {
        return Outcome::Unknown(reason.name());
    }
    Outcome::NotRun(reason)
}

async fn run_unkeyed(worker: &Worker, call: &Call<'_>) -> Outcome {
    if worker.plane.refuses_as_quarantined(call.fingerprint) {
        return Outcome::NotRun(NotRunReason::Quarantined);
    }
    if !call.rule.overload_control {
        return run_attempts(worker, call).await;
    }
    let (service, class) = (call.rule.service, call.overload_class());
    let overload = &worker.plane.overload;
    if let Err(retry_after) = overload.try_call(
        service,
        class,
        call.caller.holder,
        worker.plane.mesh.random_ratio(),
    ) {
        worker.plane.metrics.count("throttled");
        call.steps
            .borrow_mut()
            .push(Step::Throttled { retry_after });
        return Outcome::NotRun(NotRunReason::Overloaded);
    }
    run_attempts(worker, call).await
}

/// Counts a call at its throttle on drop: when it ends, when its deadline passes during an attempt, or when
/// its caller disconnects.
struct CountedCall<'a> {
    worker: &'a Worker,
    call: &'a Call<'a>,
}

impl Drop for CountedCall<'_> {
    fn drop(&mut self) {
        let (plane, call) = (&self.worker.plane, self.call);
        if !call.rule.overload_control {
            return;
        }
        if let Some(accepted) = call.attempts.get().accepted() {
            let class = call.overload_class();
            plane
                .overload
                .record_call(call.rule.service, class, call.caller.holder, accepted);
        }
    }
}
