//! Calls that are addressed to a host, by the route table: caller, limit, route, then the call itself.

use figway_control::View;
use figway_http::Headers;
use figway_profile::{
    NamedRoute,
    WeightedService, //
};
use figway_types::NotRunReason;

use crate::attempts::is_overload_refusal;
use crate::call::{
    Outcome,
    Rule, //
};
use crate::caller::{
    identify_caller,
    Caller,
    IdentifiedCaller, //
};
use crate::limits::{
    draw_token,
    Drawn, //
};
use crate::overload::share_holder;
use crate::proxy::{
    run_call,
    CallProperties,
    Incoming,
    ServedCall, //
};
use crate::rank::rank_of;
use crate::worker::Worker;

/// Serves a call addressed to a host, by the route table.
pub(crate) async fn serve_by_host(
    worker: &Worker,
    view: &View,
    incoming: &Incoming<'_>,
    host: &str,
) -> ServedCall {
    if view.routes.version == 0 {
        return Outcome::NotRun(NotRunReason::NoConfiguration).into();
    }
    let Some(named) = view.routes.find(host, &incoming.request.path) else {
        return Outcome::NotRun(NotRunReason::NoRoute).into();
    };
    let caller = match identify_caller(&worker.plane, view, incoming, &named.route) {
        Ok(caller) => caller,
        Err(reason) => return Outcome::NotRun(reason).into(),
    };
    let customers = view.routes.customers.as_deref();
    // A nested call carries no key: its parent has drawn a token.
    let limited = caller.customer.as_deref().filter(|_| caller.key.is_some());
    let token = match draw_token(worker, incoming, customers, limited) {
        Drawn::Token(token) => token,
        Drawn::Limited(served) => return served,
    };
    let served = match choose_part(worker, named) {
        Some(part) => serve_part(worker, view, incoming, named, part, &caller).await,
        None => Outcome::NotRun(NotRunReason::NoTarget).into(),
    };
    if let Outcome::NotRun(_) = served.outcome {
        token.give_back();
    }
    served
}

/// Returns the service of the route that gets the call, by the weights.
fn choose_part<'a>(worker: &Worker, named: &'a NamedRoute) -> Option<&'a WeightedService> {
    let parts = &named.route.weighted_services;
    let weights: Vec<u32> = parts.iter().map(|part| part.weight).collect();
    let seed = worker.plane.mesh.random();
    let index = worker.splits.borrow_mut().next(&named.name, &weights, seed);
    parts.get(index)
}

/// Serves the call by one service of its route.
async fn serve_part(
    worker: &Worker,
    view: &View,
    incoming: &Incoming<'_>,
    named: &NamedRoute,
    part: &WeightedService,
    caller: &IdentifiedCaller,
) -> ServedCall {
    let plane = &worker.plane;
    let route = named.route.as_ref();
    if route.unknown_kind.is_some() {
        plane.metrics.count("unknown_kind_calls");
    }
    let customers = view.routes.customers.as_deref();
    let customer = caller
        .customer
        .as_deref()
        .and_then(|name| Some(customers?.get(name)?.as_ref()));
    let (profile, profile_name) = plane.profile_of(view, &part.service);
    let mut rule = Rule::from_route(
        &view.routes,
        &named.name,
        route,
        rank_of(&view.routes, customer, route),
        &part.service,
        profile,
        profile_name,
    );
    let mut incoming = *incoming;
    let parent = caller.parent_call.as_ref();
    if let Some(parent) = parent {
        rule.rank = parent.nested_rank(&view.routes);
        // The parent's run waits for the answer, so the route's own prompt time does not apply.
        rule.prompt_ms = Some(route.budget_ms);
        if customers.is_some() {
            let expires_at = parent.deadline();
            incoming.deadline = Some(incoming.deadline.unwrap_or(expires_at).min(expires_at));
        }
    }
    let properties = CallProperties {
        budget_ms: route.budget_ms,
        key: None,
        parent_is_repeat: parent
            .is_some_and(|parent| parent.is_repeat(|| plane.mesh.random_ratio())),
        caller: Caller {
            customer: caller.customer.as_deref(),
            key: caller.key,
            routes_version: Some(view.routes.version),
            has_customers: customers.is_some(),
            holder: share_holder(&view.routes, caller.customer.as_deref()),
        },
    };
    let headers = onward_headers(worker, &incoming, customers.is_some());
    let served = run_call(worker, &incoming, &headers, rule, properties).await;
    if let Some(parent) = parent.filter(|_| is_overload_refusal(&served.outcome)) {
        parent.record_nested_refusal();
    }
    served
}

/// Returns the headers of the caller that are forwarded, without credentials if there are customers.
fn onward_headers(worker: &Worker, incoming: &Incoming<'_>, has_customers: bool) -> Headers {
    let interface = worker.plane.interface.as_ref();
    let mut headers = interface.forwarded_headers(incoming.request);
    if has_customers {
        interface.remove_credentials(&mut headers);
    }
    headers
}
