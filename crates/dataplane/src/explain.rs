//! Explanation of where a request would go now. Nothing is sent, and no limit is drawn on.

use std::time::{
    Duration,
    Instant, //
};

use figway_control::View;
use figway_cost::RequestClass;
use figway_customers::{
    Customer,
    CustomerLimit, //
};
use figway_profile::{
    NamedRoute,
    WeightedService, //
};
use figway_rate_limit::LimitSource;
use figway_routing::{
    CallContext,
    Candidate,
    Weighed, //
};
use serde::Deserialize;
use serde_json::{
    json,
    Value, //
};

use crate::call::Rule;
use crate::pick::{
    build_candidates,
    entries,
    route_picker, //
};
use crate::rank::{
    priority_of,
    rank_of, //
};
use crate::worker::Worker;

/// A request that an operator asks about.
#[derive(Debug, Deserialize)]
pub(crate) struct ExplainRequest {
    /// Host that the caller names.
    host: String,
    path: String,
    /// Customer that makes the request. Keys are not needed.
    customer: Option<String>,
    /// Size of the request body.
    #[serde(default)]
    body_bytes: usize,
}

/// Returns where the request would go and why.
pub(crate) fn explain_request(worker: &Worker, request: &ExplainRequest) -> Value {
    let view = worker.plane.mesh.view();
    let version = view.routes.version;
    let Some(named) = view.routes.find(&request.host, &request.path) else {
        return json!({ "version": version, "why": "no-route" });
    };
    let customers = view.routes.customers.as_deref();
    let mut customer = None;
    if let (Some(index), Some(name)) = (customers, request.customer.as_deref()) {
        customer = index.get(name);
        if customer.is_none() {
            return json!({ "version": version, "route": named.name, "why": "unknown-customer" });
        }
    }
    if customers.is_some() && customer.is_none() && !named.route.anonymous {
        return json!({ "version": version, "route": named.name, "why": "customer-required" });
    }
    let mut services = Vec::new();
    for part in &named.route.weighted_services {
        let customer = customer.map(|customer| &**customer);
        services.push(explain_part(worker, &view, named, part, request, customer));
    }
    json!({
        "version": version,
        "route": named.name,
        "overload_control": view.routes.overload_control,
        "customer": customer.and(request.customer.as_deref()),
        "priority": customer.and_then(|customer| customer.priority).unwrap_or(named.route.priority),
        "call_priority": priority_of(&view.routes, customer.map(|customer| &**customer), &named.route),
        "limit": customer.and_then(|customer| customer.limit),
        "limit_left": request
            .customer
            .as_deref()
            .zip(customer.and_then(|customer| customer.limit))
            .map(|(name, limit)| explain_limit(worker, name, &limit)),
        "services": services,
    })
}

/// Returns what is left of a customer's limit, as this node knows it. The tokens at all nodes together are
/// known to coordinators only.
fn explain_limit(worker: &Worker, customer: &str, limit: &CustomerLimit) -> Value {
    let mesh = &worker.plane.mesh;
    let (standing, token_count) = mesh.limit_standing(customer, limit);
    let (ratio, coordinator) = match standing.source {
        LimitSource::Coordinator(ratio) => (Some(ratio), mesh.limit_status().0),
        LimitSource::OwnShare => (None, None),
    };
    json!({
        "coordinator": coordinator,
        "admitted_ratio": ratio,
        "token_count": token_count,
        "own_share_count": standing.own_share_count,
    })
}

/// Returns the candidates of one service of the route, and the one that would be picked.
fn explain_part(
    worker: &Worker,
    view: &View,
    named: &NamedRoute,
    part: &WeightedService,
    request: &ExplainRequest,
    customer: Option<&Customer>,
) -> Value {
    let plane = &worker.plane;
    let (profile, profile_name) = plane.profile_of(view, &part.service);
    let rule = Rule::from_route(
        &view.routes,
        &named.name,
        &named.route,
        rank_of(&view.routes, customer, &named.route),
        &part.service,
        profile,
        profile_name,
    );
    let entries = entries(worker, &rule, true);
    let candidates = build_candidates(plane, &entries);
    let call = CallContext {
        kind: rule.name,
        prompt_left: Duration::from_millis(named.route.prompt_ms),
        deadline_left: Duration::from_millis(named.route.budget_ms),
    };
    let class = RequestClass {
        kind: rule.name,
        body_bytes: request.body_bytes,
        customer: customer.and(request.customer.as_deref()),
    };
    let now = Instant::now();
    let mut loads = plane.loads();
    // As for a call: the gate of this node knows the load of its target exactly.
    let own_report = plane.gate.load_report(rule.rank);
    loads.record_report(&worker.own_member.node_id, own_report, now);
    let mut picker = route_picker(worker, &rule).borrow_mut();
    let mut targets = Vec::new();
    for candidate in &candidates {
        let weighed = picker.weigh(&call, &class, candidate, &loads, now);
        let refused = loads.has_recent_refusal(candidate.node_id, now);
        targets.push(explain_target(candidate, weighed.as_ref(), refused));
    }
    let picked = picker.pick_for_class(&call, &class, &candidates, &[], &loads, now);
    json!({
        "service": part.service,
        "weight": part.weight,
        "picked": picked.map(|picked| &candidates[picked.index].node_id),
        "why": picked.map_or("no-target", |picked| picked.reason),
        "targets": targets,
    })
}

/// Returns what a call is expected to meet at a candidate.
fn explain_target(candidate: &Candidate<'_>, weighed: Option<&Weighed>, refused: bool) -> Value {
    json!({
        "node": candidate.node_id,
        "distance": candidate.distance.name(),
        "slots": candidate.slot_count,
        "suspect": candidate.suspect,
        "refused_recently": refused,
        "run_ms": weighed.map(|weighed| weighed.ran_ms),
        "wait_ms": weighed.map(|weighed| weighed.wait_ms),
        "path_ms": weighed.map(|weighed| weighed.path_ms),
        "price": weighed.map(|weighed| weighed.price),
        "loss": weighed.map(|weighed| weighed.loss),
    })
}
