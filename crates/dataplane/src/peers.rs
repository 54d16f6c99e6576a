//! Calls that the nodes of callers hand over for admission to the target beside this node.

use std::time::Duration;

use figway_http::{
    Answer,
    Headers,
    Request, //
};
use figway_routing::LoadReport;
use figway_types::{
    Fingerprint,
    NotRunReason, //
};

use crate::admit::{
    admit,
    AdmittedFate, //
};
use crate::call::{
    AdmissionRequest,
    AttemptKind,
    Outcome, //
};
use crate::headers;
use crate::worker::Worker;

/// Share of failed calls from which it is told.
const FAILED_TOLD_MIN: f64 = 0.02;

/// Returns whether a peer hands the request over.
pub(crate) fn is_handed_over(request: &Request) -> bool {
    request.headers.get(headers::ADMIT_KIND).is_some()
}

/// Admits a call that a peer hands over.
pub(crate) async fn take_handed_over(worker: &Worker, request: &Request) -> Answer {
    let mut rank = 0;
    let ended = match read(request) {
        Some(call) => {
            rank = call.rank;
            let onward = onward_headers(request);
            let call = AdmissionRequest {
                headers: &onward,
                ..call
            };
            admit(worker, &call).await
        }
        None => {
            log::warn!("a peer handed over a call that can't be read");
            AdmittedFate::not_sent(NotRunReason::NoRoute)
        }
    };
    let report = worker.plane.gate.report(rank);
    write(ended, report)
}

fn read(request: &Request) -> Option<AdmissionRequest<'_>> {
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
        prompt_by: prompt_ms.map(|ms| request.arrived_at + Duration::from_millis(ms)),
        fingerprint: Fingerprint(fingerprint),
        method: &request.method,
        path: &request.path,
        headers: &request.headers,
        body: &request.body,
        origin: header(headers::ADMIT_ORIGIN)?,
        deadline: request.arrived_at + Duration::from_millis(budget_ms),
        attempt_kind: header(headers::ADMIT_TURN)
            .map_or(AttemptKind::First, AttemptKind::from_name),
    })
}

/// Returns the caller's headers for the target.
fn onward_headers(request: &Request) -> Headers {
    let mut onward = request.headers.end_to_end();
    onward.retain(|name| name != "host" && !name.starts_with(headers::PREFIX));
    if let Some(host) = request.headers.get(headers::ADMIT_HOST) {
        onward.push("host", host);
    }
    onward
}

fn write(ended: AdmittedFate, report: LoadReport) -> Answer {
    let outcome = ended.fate.name();
    let reason = ended.fate.reason();
    let mut answer = match ended.fate {
        Outcome::Answered(answer) => answer,
        Outcome::NotRun(_) => Answer::of_status(503),
        Outcome::Unknown(_) => Answer::of_status(504),
    };
    answer.headers.push(headers::OUTCOME, outcome);
    if !reason.is_empty() {
        answer.headers.push(headers::REASON, reason);
    }
    if !ended.sent {
        answer.headers.push(headers::SENT, "false");
    }
    answer
        .headers
        .push(headers::BUSY, format!("{:.3}", report.busy_ratio));
    answer
        .headers
        .push(headers::WAIT_MS, format!("{:.1}", report.wait_ms));
    if report.failed_ratio >= FAILED_TOLD_MIN {
        answer
            .headers
            .push(headers::FAILED, format!("{:.2}", report.failed_ratio));
    }
    if let Some(usual_ran_ms) = ended.usual_ran_ms {
        answer
            .headers
            .push(headers::USUAL_RAN_MS, format!("{usual_ran_ms:.1}"));
    }
    if outcome == "answered" {
        let (waited, ran) = (ended.waited.as_secs_f64(), ended.ran.as_secs_f64());
        let spent = format!("{:.1},{:.1}", waited * 1_000.0, ran * 1_000.0);
        answer.headers.push(headers::SPENT_MS, spent);
    }
    if let Some(crash_id) = ended.crash_id {
        answer
            .headers
            .push(headers::CRASH_ID, format!("{crash_id:016x}"));
    }
    answer
}
