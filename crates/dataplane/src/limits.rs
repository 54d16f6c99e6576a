//! Limits of customers: draws a token for each request of a caller, and returns it if the request has not
//! run.

use std::time::Instant;

use figway_control::Mesh;
use figway_customers::CustomerIndex;
use figway_rate_limit::{
    Admission,
    LimitSource, //
};
use figway_types::NotRunReason;

use crate::call::Outcome;
use crate::proxy::{
    Incoming,
    ServedCall, //
};
use crate::worker::Worker;

/// Token of an admitted request. Dropping it keeps it drawn, since a request with an unknown outcome may
/// have run.
pub(crate) struct Token<'a> {
    mesh: &'a Mesh,
    /// Customer whose limit the request draws from, if it has one.
    customer: Option<&'a str>,
}

impl Token<'_> {
    /// Returns the token, since the request has not run.
    pub(crate) fn give_back(self) {
        if let Some(customer) = self.customer {
            self.mesh.refund(customer);
        }
    }
}

/// Result of drawing a token.
pub(crate) enum Drawn<'a> {
    /// The request may run.
    Token(Token<'a>),
    /// The customer is above its limit.
    Limited(ServedCall),
}

/// Draws a token of the limit of the customer whose key the request carries, if it has a limit. Nested
/// calls carry no key and draw none: their parent has drawn one.
pub(crate) fn draw_token<'a>(
    worker: &'a Worker,
    incoming: &Incoming<'_>,
    customers: Option<&CustomerIndex>,
    customer: Option<&'a str>,
) -> Drawn<'a> {
    let plane = &worker.plane;
    let mesh: &Mesh = &plane.mesh;
    let limit = customer.and_then(|name| customers?.get(name)?.limit);
    let (Some(name), Some(limit)) = (customer, limit) else {
        return Drawn::Token(Token {
            mesh,
            customer: None,
        });
    };
    match mesh.try_admit(name, &limit, Instant::now()) {
        Admission::Admitted => Drawn::Token(Token { mesh, customer }),
        Admission::Limited {
            retry_after,
            source,
        } => {
            let outcome = Outcome::NotRun(NotRunReason::CustomerLimited);
            record_limited(worker, incoming, name, source);
            Drawn::Limited(ServedCall {
                outcome,
                expected_wait: Some(retry_after),
            })
        }
    }
}

fn record_limited(worker: &Worker, incoming: &Incoming<'_>, customer: &str, source: LimitSource) {
    let plane = &worker.plane;
    let request = incoming.request;
    let reason = NotRunReason::CustomerLimited.name();
    plane
        .metrics
        .record_call("", "not-run", reason, request.arrived_at.elapsed());
    plane.metrics.count_limited(customer);
    if !plane.log_budget.should_log(incoming.request_id, true) {
        return;
    }
    let (ratio, coordinator) = match source {
        LimitSource::Coordinator(ratio) => (ratio, plane.mesh.limit_status().0),
        LimitSource::OwnShare => (0.0, None),
    };
    log::info!(
        "call over its limit request={} to={} method={} path={} customer={customer} \
         ratio={ratio:.3} coordinator={} why={reason}",
        incoming.request_id,
        incoming.addressing,
        request.method,
        request.path,
        coordinator.as_deref().unwrap_or("none"),
    );
}
