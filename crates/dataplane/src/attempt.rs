//! One attempt of a call at one target, on this host or through the target's node.

use std::time::{
    Duration,
    Instant, //
};

use figway_control::RouteConfirmation;
use figway_http::{
    Answer,
    Headers,
    OutboundRequest,
    SendFailure, //
};
use figway_routing::{
    CallTimings,
    Distance,
    LoadReport, //
};
use figway_types::{
    BootInstant,
    KeyRefusal,
    NodeId,
    NotRunReason, //
};

use crate::admit::{
    admit,
    AttemptResult, //
};
use crate::attempts::treatment_of;
use crate::call::{
    AdmissionRequest,
    AttemptKind,
    Call,
    Outcome,
    DEADLINE_EXCEEDED, //
};
use crate::candidates::TargetEntry;
use crate::headers;
use crate::in_flight::InFlightAttempt;
use crate::offers::{
    offer_body,
    Offered, //
};
use crate::plane::DataPlane;
use crate::steps::Step;
use crate::target_state::TargetState;
use crate::worker::Worker;

/// Number of headers that a node adds to a call that it forwards.
const ADMISSION_HEADER_COUNT: usize = 16;

/// Usual size of the names and values of these headers, in bytes.
const ADMISSION_TEXT_BYTES: usize = 512;

/// Largest number that is taken from a peer: an hour in milliseconds.
const PEER_NUMBER_MAX: f64 = 3_600_000.0;

/// Makes one attempt and records its outcome. Dropping the future cancels the attempt and releases
/// all its resources.
pub(crate) async fn attempt(
    worker: &Worker,
    call: &Call<'_>,
    entry: &TargetEntry,
    attempt_kind: AttemptKind,
) -> AttemptResult {
    let plane = &worker.plane;
    let node_id = &entry.member.node_id;
    let mut in_flight = InFlightAttempt::begin(plane, node_id);
    call.begin_attempt();
    let result = if plane.refuses_as_quarantined(call.fingerprint) {
        // The call may have waited for a target since it was last checked.
        AttemptResult::not_sent(NotRunReason::Quarantined)
    } else if !call.caller.is_authorized(&plane.mesh.view().routes) {
        // The operator may have removed its key meanwhile.
        AttemptResult::not_sent(NotRunReason::Unauthorized(KeyRefusal::Removed))
    } else if entry.distance == Distance::Host {
        let result = admit(worker, &AdmissionRequest::new(call, attempt_kind)).await;
        let report = plane.gate.load_report(call.rule.rank);
        record_busy(plane, call, report.busy_ratio);
        result
    } else {
        forward_to_peer(worker, call, entry, attempt_kind).await
    };
    call.end_attempt(treatment_of(&result.outcome));
    let took = in_flight.finish();
    record_result(plane, call, entry, &result, took);
    call.steps.borrow_mut().push(Step::Ended {
        outcome: result.outcome.name(),
        reason: result.outcome.reason(),
        status: result.outcome.status(),
        took_ms: took.as_millis(),
        waited_ms: result.queue_time.as_millis(),
    });
    if let Some(crash_id) = result.crash_id {
        plane.mesh.record_crash(call.fingerprint, crash_id);
    }
    result
}

/// Updates load and latency estimates and the retry state with the outcome of an attempt.
fn record_result(
    plane: &DataPlane,
    call: &Call<'_>,
    entry: &TargetEntry,
    result: &AttemptResult,
    took: Duration,
) {
    let now = Instant::now();
    let rule = &call.rule;
    let node_id = &entry.member.node_id;
    match &result.outcome {
        Outcome::Answered(answer) if result.outcome.is_success() => {
            let timings = CallTimings {
                took_ms: to_ms(took),
                waited_ms: to_ms(result.queue_time),
                ran_ms: to_ms(result.run_time),
                mean_ran_ms: result.mean_ran_ms,
                round_trip_ms: entry.round_trip_us / 1_000.0,
            };
            let mut loads = plane.loads();
            loads.record_latency(node_id, took, now);
            let body_bytes = call.body.len() + answer.body.len();
            loads.record_timings(node_id, rule.name, timings, body_bytes, now);
            if rule.overload_control {
                loads.record_run(node_id, &call.class(), &timings, now);
            }
            drop(loads);
            let limits = &rule.profile.limits;
            plane
                .retries
                .record_latency(rule.service, rule.name, limits, took);
        }
        // The latency of a failure does not predict the latency of a successful answer.
        Outcome::Answered(_) => {}
        Outcome::Unknown(_) => plane.loads().record_latency(node_id, took, now),
        Outcome::NotRun(NotRunReason::Overloaded) => {
            plane.loads().record_overload(node_id, rule.name, now);
            plane.retries.record_overload(rule.service);
        }
        // The load report that came with the refusal holds the wait for a turn.
        Outcome::NotRun(NotRunReason::RateLimited) => {
            plane.retries.record_overload(rule.service);
        }
        Outcome::NotRun(
            NotRunReason::Unreachable
            | NotRunReason::Draining
            | NotRunReason::NoTarget
            | NotRunReason::Misdirected,
        ) => plane.loads().record_refusal(node_id, now),
        Outcome::NotRun(_) => {}
    }
}

fn to_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Forwards the call to the target's node for admission there.
async fn forward_to_peer(
    worker: &Worker,
    call: &Call<'_>,
    entry: &TargetEntry,
    attempt_kind: AttemptKind,
) -> AttemptResult {
    let body_bytes_per_s = match offer_body(worker, call, entry).await {
        Offered::Accepted(bytes_per_s) => bytes_per_s,
        Offered::Refused(result) => return result,
    };
    // The budget is sent in whole milliseconds, rounded down, so that the peer times out first.
    let left = call.deadline.saturating_duration_since(Instant::now());
    if left.as_millis() == 0 {
        return AttemptResult::not_sent(NotRunReason::Expired);
    }
    let node_id = &entry.member.node_id;
    let mut headers = admission_headers(call, left, attempt_kind);
    if let Some(state) = worker.plane.peer_targets.lock().state_of(&entry.member) {
        headers.push(headers::ADMIT_TARGET_STATE, state.encode());
    }
    let outbound = OutboundRequest {
        address: &entry.member.call_address,
        method: call.method,
        path: call.path,
        headers: &headers,
        body: call.body,
        body_bytes_per_s,
        deadline: call.deadline,
        echo_header: None,
        idempotent: call.rule.idempotent,
    };
    let sent_at = BootInstant::now();
    match worker.peers.send(&outbound).await {
        Ok(answer) => {
            merge_route_confirmation(&worker.plane, &answer, sent_at);
            parse_peer_answer(&worker.plane, call, node_id, answer)
        }
        Err(SendFailure::Refused(why)) => {
            worker.plane.mesh.suspect(node_id, &why);
            AttemptResult::not_sent(NotRunReason::Unreachable)
        }
        Err(SendFailure::Broken(why)) => {
            if worker.plane.log_budget.should_log(call.request_id, true) {
                log::warn!(
                    "peer broke off request={} node={node_id} why={why}",
                    call.request_id
                );
            }
            worker.plane.loads().record_refusal(node_id, Instant::now());
            AttemptResult::sent(Outcome::Unknown("peer-broken"))
        }
        Err(SendFailure::TooLarge) => AttemptResult::sent(Outcome::Unknown("answer-too-large")),
        Err(SendFailure::Late) => AttemptResult::sent(Outcome::Unknown(DEADLINE_EXCEEDED)),
    }
}

fn admission_headers(call: &Call<'_>, left: Duration, attempt_kind: AttemptKind) -> Headers {
    let rule = &call.rule;
    let mut onward = call.headers.clone();
    onward.reserve(ADMISSION_HEADER_COUNT, ADMISSION_TEXT_BYTES);
    headers::escape_call(&mut onward);
    if let Some(host) = call.headers.get("host") {
        onward.retain(|name| name != "host");
        onward.push(headers::ADMIT_HOST, host);
    }
    onward.push(headers::ADMIT_KIND, rule.name);
    onward.push(headers::ADMIT_SERVICE, rule.service);
    onward.push_display(headers::ADMIT_WORTH, rule.worth);
    onward.push_display(headers::ADMIT_RANK, rule.rank);
    let attempt_kind = call.reported_attempt_kind(attempt_kind);
    if attempt_kind != AttemptKind::First {
        onward.push(headers::ADMIT_ATTEMPT_KIND, attempt_kind.name());
    }
    if let Some(prompt_by) = call.prompt_by {
        let prompt_left = prompt_by.saturating_duration_since(Instant::now());
        onward.push_display(headers::ADMIT_PROMPT_MS, prompt_left.as_millis());
    }
    if rule.long {
        onward.push(headers::ADMIT_LONG, "true");
    }
    if rule.idempotent {
        onward.push(headers::ADMIT_IDEMPOTENT, "true");
    }
    onward.push_display(
        headers::ADMIT_FINGERPRINT,
        format_args!("{:016x}", call.fingerprint.0),
    );
    onward.push(headers::ADMIT_ORIGIN, call.origin);
    if let Some(customer) = call.caller.customer {
        onward.push(headers::ADMIT_CUSTOMER, customer);
    }
    if let Some(key) = call.caller.stated_key() {
        onward.push(headers::ADMIT_KEY, key.encode());
    }
    onward.push(headers::REQUEST_ID, call.request_id);
    onward.push_display(headers::BUDGET_MS, left.as_millis());
    onward
}

/// Returns the result of an attempt of `call` that a peer answered, and records the load that it reports.
pub(crate) fn parse_peer_answer(
    plane: &DataPlane,
    call: &Call<'_>,
    node_id: &NodeId,
    mut answer: Answer,
) -> AttemptResult {
    let parse_number = |name| answer.header(name).and_then(parse_peer_number);
    if let (Some(busy_ratio), Some(wait_ms)) = (
        parse_number(headers::BUSY_RATIO),
        parse_number(headers::WAIT_MS),
    ) {
        let report = LoadReport {
            busy_ratio,
            wait_ms,
            failed_ratio: parse_number(headers::FAILED_RATIO).unwrap_or(0.0),
        };
        plane.loads().record_report(node_id, report, Instant::now());
        record_busy(plane, call, busy_ratio);
    }
    let state = answer
        .header(headers::TARGET_STATE)
        .and_then(TargetState::decode);
    let is_success = answer.is_success() && answer.header(headers::OUTCOME) == Some("answered");
    if let Some(leaving) = state.as_ref().filter(|state| state.leaving) {
        // Its node may be killed before it has told anyone else.
        plane
            .mesh
            .learn_draining(node_id, &leaving.instance, leaving.started_at_ms);
    }
    plane.peer_targets.record(node_id, state, is_success);
    let (queue_time, run_time) = answer
        .header(headers::QUEUE_AND_RUN_MS)
        .and_then(parse_queue_and_run_ms)
        .unwrap_or_default();
    let mean_ran_ms = parse_number(headers::MEAN_RAN_MS);
    let crash_id = answer
        .header(headers::CRASH_ID)
        .and_then(|id| u64::from_str_radix(id, 16).ok());
    let sent = answer.header(headers::SENT) != Some("false");
    let outcome = match answer.header(headers::OUTCOME) {
        Some("answered") => {
            headers::unescape_answer(&mut answer.headers);
            Outcome::Answered(answer)
        }
        Some("not-run") => Outcome::NotRun(not_run_reason(&answer)),
        Some(_) => Outcome::Unknown(
            if answer.header(headers::REASON) == Some(DEADLINE_EXCEEDED) {
                DEADLINE_EXCEEDED
            } else {
                "at-peer"
            },
        ),
        None => Outcome::Unknown("no-outcome"),
    };
    AttemptResult {
        outcome,
        crash_id,
        sent,
        queue_time,
        run_time,
        mean_ran_ms,
    }
}

/// Records the calls per slot that a target of the call's service reports.
fn record_busy(plane: &DataPlane, call: &Call<'_>, busy_ratio: f64) {
    if call.rule.overload_control {
        plane.overload.record_busy(call.rule.service, busy_ratio);
    }
}

/// Parses a number that a peer states. One that no node of this build would state is left out.
fn parse_peer_number(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (0.0..=PEER_NUMBER_MAX).contains(&number).then_some(number)
}

/// Merges what the peer's answer tells of its route table. The peer wrote the answer later than the
/// time at which the call was sent by the call's time in the queue and at the target.
fn merge_route_confirmation(plane: &DataPlane, answer: &Answer, sent_at: BootInstant) {
    let Some(confirmation) = answer
        .header(headers::ROUTES)
        .and_then(parse_route_confirmation)
    else {
        return;
    };
    let (queue_time, run_time) = answer
        .header(headers::QUEUE_AND_RUN_MS)
        .and_then(parse_queue_and_run_ms)
        .unwrap_or_default();
    plane
        .mesh
        .merge_route_confirmation(&confirmation, sent_at + queue_time + run_time);
}

/// Parses a confirmation from `VERSION,AGE_MS`.
fn parse_route_confirmation(text: &str) -> Option<RouteConfirmation> {
    let (version, age_ms) = text.split_once(',')?;
    Some(RouteConfirmation {
        version: version.parse().ok()?,
        age: Duration::from_millis(age_ms.parse().ok()?),
    })
}

/// Parses the time in the queue and the time at the target from `QUEUE_MS,RUN_MS`.
fn parse_queue_and_run_ms(text: &str) -> Option<(Duration, Duration)> {
    let (queue_ms, run_ms) = text.split_once(',')?;
    let parse_ms = |ms: &str| Some(Duration::from_secs_f64(parse_peer_number(ms)? / 1_000.0));
    Some((parse_ms(queue_ms)?, parse_ms(run_ms)?))
}

/// Returns why the peer did not run the call. A missing or unknown reason counts as overload.
fn not_run_reason(answer: &Answer) -> NotRunReason {
    let name = answer.header(headers::REASON).unwrap_or("");
    for reason in NotRunReason::ALL {
        if reason.name() == name {
            return reason;
        }
    }
    NotRunReason::Overloaded
}
