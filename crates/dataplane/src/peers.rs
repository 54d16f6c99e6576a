//! Calls that peers forward to this node for admission to the local target.

use std::time::Duration;

use figway_control::RouteConfirmation;
use figway_http::{
    Answer,
    Headers,
    Request, //
};
use figway_profile::RouteIndex;
use figway_routing::LoadReport;
use figway_types::{
    deadline_after_ms,
    Fingerprint,
    NotRunReason, //
};

use crate::admit::{
    admit,
    AttemptResult, //
};
use crate::call::{
    AdmissionRequest,
    AttemptKind,
    Outcome, //
};
use crate::caller::StatedKey;
use crate::headers;
use crate::overload::share_holder;
use crate::plane::DataPlane;
use crate::target_state::TargetState;
use crate::worker::Worker;

/// Failed ratio below which the header is left out.
const REPORTED_FAILED_RATIO_MIN: f64 = 0.02;

/// Confirmed age of the route table from which on it is not sent to peers.
const CONFIRMED_AGE_MAX: Duration = Duration::from_millis(700);

/// Returns whether the request is a call that a peer forwards.
pub(crate) fn is_forwarded(request: &Request) -> bool {
    request.headers.get(headers::ADMIT_KIND).is_some()
}

/// Admits a forwarded call to the local target and encodes the result for the peer.
pub(crate) async fn serve_forwarded(worker: &Worker, request: &Request) -> Answer {
    let plane = &worker.plane;
    let known_state = request.headers.get(headers::ADMIT_TARGET_STATE);
    if let Some(known) = known_state.and_then(TargetState::decode) {
        plane.record_peer_state(&known);
    }
    let mut rank = 0;
    let parsed = parse_call(request, &plane.mesh.view().routes);
    let result = match parsed {
        Some(call) => {
            rank = call.rank;
            let forwarded = forwarded_headers(request);
            let call = AdmissionRequest {
                headers: &forwarded,
                ..call
            };
            admit(worker, &call).await
        }
        None => {
            log::warn!("could not parse a call that a peer forwarded");
            AttemptResult::not_sent(NotRunReason::NoRoute)
        }
    };
    let report = plane.gate.load_report(rank);
    let mut answer = encode_result(result, report);
    if let Some(confirmation) = useful_confirmation(plane) {
        answer
            .headers
            .push(headers::ROUTES, encode_confirmation(&confirmation));
    }
    if let Some(state) = plane.local_target.notable_state() {
        answer.headers.push(headers::TARGET_STATE, state.encode());
    }
    answer
}

/// Refuses a forwarded call for whose body there is no memory. The peer may send it elsewhere.
pub(crate) fn refuse_forwarded(worker: &Worker) -> Answer {
    let report = worker.plane.gate.load_report(0);
    encode_result(AttemptResult::not_sent(NotRunReason::Overloaded), report)
}

/// Returns the confirmation of this node's route table, if it can extend a peer's lease.
fn useful_confirmation(plane: &DataPlane) -> Option<RouteConfirmation> {
    plane
        .mesh
        .route_confirmation()
        .filter(|confirmation| confirmation.age < CONFIRMED_AGE_MAX)
}

fn encode_confirmation(confirmation: &RouteConfirmation) -> String {
    // The age is rounded up.
    let age_ms = confirmation.age.as_millis() + 1;
    format!("{},{age_ms}", confirmation.version)
}

fn parse_call<'a>(request: &'a Request, routes: &RouteIndex) -> Option<AdmissionRequest<'a>> {
    let header = |name| request.headers.get(name);
    let budget_ms: u64 = header(headers::BUDGET_MS)?.parse().ok()?;
    let prompt_ms: Option<u64> = header(headers::ADMIT_PROMPT_MS).and_then(|ms| ms.parse().ok());
    let fingerprint = u64::from_str_radix(header(headers::ADMIT_FINGERPRINT)?, 16).ok()?;
    Some(AdmissionRequest {
        request_id: header(headers::REQUEST_ID)?,
        kind: header(headers::ADMIT_KIND)?,
        service: header(headers::ADMIT_SERVICE)?,
        idempotent: header(headers::ADMIT_IDEMPOTENT) == Some("true"),
        worth: header(headers::ADMIT_WORTH)?.parse().ok()?,
        long: header(headers::ADMIT_LONG) == Some("true"),
        rank: header(headers::ADMIT_RANK)?.parse().ok()?,
        prompt_by: prompt_ms.map(|ms| deadline_after_ms(request.arrived_at, ms)),
        fingerprint: Fingerprint(fingerprint),
        method: &request.method,
        path: &request.path,
        headers: &request.headers,
        body: &request.body,
        origin: header(headers::ADMIT_ORIGIN)?,
        customer: header(headers::ADMIT_CUSTOMER),
        key: header(headers::ADMIT_KEY).and_then(StatedKey::decode),
        deadline: deadline_after_ms(request.arrived_at, budget_ms),
        attempt_kind: header(headers::ADMIT_ATTEMPT_KIND)
            .map_or(AttemptKind::First, AttemptKind::from_name),
        overload_control: routes.overload_control,
        holder: share_holder(routes, header(headers::ADMIT_CUSTOMER)),
    })
}

/// Returns the caller's headers that are forwarded to the target.
fn forwarded_headers(request: &Request) -> Headers {
    let mut forwarded = request.headers.end_to_end();
    forwarded.retain(|name| name != "host");
    headers::unescape_call(&mut forwarded);
    if let Some(host) = request.headers.get(headers::ADMIT_HOST) {
        forwarded.push("host", host);
    }
    forwarded
}

pub(crate) fn encode_result(result: AttemptResult, report: LoadReport) -> Answer {
    let outcome = result.outcome.name();
    let reason = result.outcome.reason();
    let mut answer = match result.outcome {
        Outcome::Answered(mut answer) => {
            headers::escape_answer(&mut answer.headers);
            answer
        }
        Outcome::NotRun(_) => Answer::of_status(503),
        Outcome::Unknown(_) => Answer::of_status(504),
    };
    answer.headers.push(headers::OUTCOME, outcome);
    if !reason.is_empty() {
        answer.headers.push(headers::REASON, reason);
    }
    if !result.sent {
        answer.headers.push(headers::SENT, "false");
    }
    answer.headers.push_display(
        headers::BUSY_RATIO,
        format_args!("{:.3}", report.busy_ratio),
    );
    answer
        .headers
        .push_display(headers::WAIT_MS, format_args!("{:.1}", report.wait_ms));
    if report.failed_ratio >= REPORTED_FAILED_RATIO_MIN {
        answer.headers.push_display(
            headers::FAILED_RATIO,
            format_args!("{:.2}", report.failed_ratio),
        );
    }
    if let Some(mean_ran_ms) = result.mean_ran_ms {
        answer
            .headers
            .push_display(headers::MEAN_RAN_MS, format_args!("{mean_ran_ms:.1}"));
    }
    if outcome == "answered" {
        let (queue_s, run_s) = (
            result.queue_time.as_secs_f64(),
            result.run_time.as_secs_f64(),
        );
        answer.headers.push_display(
            headers::QUEUE_AND_RUN_MS,
            format_args!("{:.1},{:.1}", queue_s * 1_000.0, run_s * 1_000.0),
        );
    }
    if let Some(crash_id) = result.crash_id {
        answer
            .headers
            .push_display(headers::CRASH_ID, format_args!("{crash_id:016x}"));
    }
    answer
}
