//! figway's own interface to callers and targets.

use std::time::Duration;

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
    Interface,
    Onward,
    Reply, //
};

/// The interface of headers that start with `x-figway-`.
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

    fn parent_id<'a>(&self, _: &'a Request) -> Option<&'a str> {
        None
    }

    fn requires_id(&self) -> bool {
        false
    }

    fn budget(&self, request: &Request) -> Option<Duration> {
        let budget_ms = request.headers.get(headers::BUDGET_MS)?.parse().ok()?;
        Some(Duration::from_millis(budget_ms))
    }

    fn onward_headers(&self, request: &Request) -> Headers {
        let mut onward = request.headers.end_to_end();
        onward.retain(|name| name != "host" && !name.starts_with(headers::PREFIX));
        onward
    }

    fn tell_target(&self, told: &mut Headers, onward: &Onward<'_>) {
        told.push(headers::BUDGET_MS, onward.left.as_millis().to_string());
        told.push(headers::REQUEST_ID, onward.request_id);
    }

    fn echo(&self) -> Option<&'static str> {
        None
    }

    fn not_run(&self, _: &Answer) -> Option<NotRunReason> {
        None
    }

    fn is_sound(&self, _: &Answer) -> bool {
        true
    }

    fn write(&self, reply: Reply<'_>) -> Answer {
        let outcome = reply.fate.name();
        let reason = reply.fate.reason();
        let refusal = |status| {
            let body = serde_json::json!({
                "outcome": outcome,
                "reason": reason,
                "request_id": reply.request_id,
            });
            Answer::of_json(status, body.to_string())
        };
        let mut answer = match reply.fate {
            Outcome::Answered(answer) => answer,
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
