//! figway's own wire format for callers and targets.

use std::time::Duration;

use figway_customers::Credentials;
use figway_http::{
    Answer,
    Headers,
    Request, //
};
use figway_types::NotRunReason;

use crate::call::Outcome;
use crate::headers;
use crate::interface::{
    Addressing,
    ForwardContext,
    Interface,
    Reply,
    TargetNotice, //
};

/// Wire format with headers that start with `x-figway-`.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeInterface;

impl Interface for NativeInterface {
    fn addressing<'a>(&self, request: &'a Request) -> Addressing<'a> {
        if let Some(service) = request.headers.get(headers::SERVICE) {
            return Addressing::Service(service);
        }
        let host = request.headers.get("host").unwrap_or("");
        Addressing::Service(host.split(':').next().unwrap_or(""))
    }

    fn request_id<'a>(&self, request: &'a Request) -> Option<&'a str> {
        let id = request.headers.get(headers::REQUEST_ID)?;
        u64::from_str_radix(id, 16).ok()?;
        Some(id)
    }

    fn parent_id<'a>(&self, _: &'a str) -> Option<&'a str> {
        None
    }

    fn credentials<'a>(&self, _: &'a Request) -> Credentials<'a> {
        Credentials::Absent
    }

    fn remove_credentials(&self, _: &mut Headers) {}

    fn requires_id(&self) -> bool {
        false
    }

    fn budget(&self, request: &Request) -> Option<Duration> {
        let budget_ms = request.headers.get(headers::BUDGET_MS)?.parse().ok()?;
        Some(Duration::from_millis(budget_ms))
    }

    fn forwarded_headers(&self, request: &Request) -> Headers {
        let mut forwarded = request.headers.end_to_end();
        forwarded.retain(|name| name != "host" && !name.starts_with(headers::PREFIX));
        forwarded
    }

    fn add_target_headers(&self, headers: &mut Headers, context: &ForwardContext<'_>) {
        headers.push(
            headers::BUDGET_MS,
            context.remaining.as_millis().to_string(),
        );
        headers.push(headers::REQUEST_ID, context.request_id);
    }

    fn echo_header(&self) -> Option<&'static str> {
        None
    }

    fn not_run_reason(&self, _: &Answer) -> Option<NotRunReason> {
        None
    }

    fn target_notice(&self, _: &Answer) -> TargetNotice {
        TargetNotice::default()
    }

    fn is_valid_answer(&self, _: &Answer) -> bool {
        true
    }

    fn encode_reply(&self, reply: Reply<'_>) -> Answer {
        let outcome = reply.outcome.name();
        let reason = reply.outcome.reason();
        let refusal = |status| {
            let body = serde_json::json!({
                "outcome": outcome,
                "reason": reason,
                "request_id": reply.request_id,
            });
            Answer::of_json(status, body.to_string())
        };
        let mut answer = match reply.outcome {
            Outcome::Answered(mut answer) => {
                answer
                    .headers
                    .retain(|name| !name.starts_with(headers::PREFIX));
                answer
            }
            Outcome::NotRun(_) => refusal(503),
            Outcome::Unknown(_) => refusal(504),
        };
        answer.headers.push(headers::OUTCOME, outcome);
        if !reason.is_empty() {
            answer.headers.push(headers::REASON, reason);
        }
        answer.headers.push(headers::REQUEST_ID, reply.request_id);
        if let Some(retry_after) = reply.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            answer.headers.push("retry-after", seconds);
        }
        answer
    }
}
