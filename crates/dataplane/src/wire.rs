//! Requests and fates as HTTP.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::Fingerprint;
use ntex::http::header::{
    HeaderName,
    HeaderValue,
    CONNECTION, //
};
use ntex::http::StatusCode;
use ntex::web::{
    HttpRequest,
    HttpResponse, //
};

use crate::call::Fate;
use crate::headers;

/// Headers that belong to one connection and don't go on.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What comes back besides the fate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerNotes {
    pub(crate) request_id: u64,
    /// Calls per slot beside the answering target, for a peer.
    pub(crate) busy_ratio: Option<f64>,
    pub(crate) crash_id: Option<u64>,
    /// Whether the connection is closed after the answer.
    pub(crate) close: bool,
}

/// Returns the text of a header.
pub(crate) fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns the headers that go on to the target.
pub(crate) fn forwarded_headers(request: &HttpRequest) -> Vec<(String, String)> {
    let mut forwarded = Vec::new();
    for (name, value) in request.headers().iter() {
        let name = name.as_str();
        if HOP_HEADERS.contains(&name) || name.starts_with(headers::PREFIX) {
            continue;
        }
        let Ok(value) = value.to_str() else {
            continue;
        };
        forwarded.push((name.to_owned(), value.to_owned()));
    }
    forwarded
}

/// Returns the service that the request names.
pub(crate) fn service_of(request: &HttpRequest) -> String {
    if let Some(service) = header(request, headers::SERVICE) {
        return service.to_owned();
    }
    let host = header(request, "host").unwrap_or("");
    host.split(':').next().unwrap_or("").to_owned()
}

/// Returns the path with its query.
pub(crate) fn path_of(request: &HttpRequest) -> String {
    match request.uri().path_and_query() {
        Some(path) => path.as_str().to_owned(),
        None => request.path().to_owned(),
    }
}

/// Returns when the sender stops waiting, if it says so.
pub(crate) fn deadline_of(request: &HttpRequest, now: Instant) -> Option<Instant> {
    let budget_ms: u64 = header(request, headers::BUDGET_MS)?.parse().ok()?;
    now.checked_add(Duration::from_millis(budget_ms))
}

/// Returns the request id that the sender gave.
pub(crate) fn request_id_of(request: &HttpRequest) -> Option<u64> {
    u64::from_str_radix(header(request, headers::REQUEST_ID)?, 16).ok()
}

/// Returns the fingerprint that a peer gave.
pub(crate) fn fingerprint_of(request: &HttpRequest) -> Option<Fingerprint> {
    let text = header(request, headers::ADMIT_FINGERPRINT)?;
    Some(Fingerprint(u64::from_str_radix(text, 16).ok()?))
}

/// Writes a fate as the answer to the caller or the peer.
pub(crate) fn respond(fate: Fate, notes: AnswerNotes) -> HttpResponse {
    let outcome = fate.name();
    let reason = fate.reason();
    let mut response = match fate {
        Fate::Answered(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = HttpResponse::build(status).body(answer.body);
            for (name, value) in &answer.headers {
                if HOP_HEADERS.contains(&name.as_str()) {
                    continue;
                }
                append_header(&mut response, name, value);
            }
            response
        }
        Fate::NotRun(_) => refusal(StatusCode::SERVICE_UNAVAILABLE, outcome, reason, notes),
        Fate::Unknown(_) => refusal(StatusCode::GATEWAY_TIMEOUT, outcome, reason, notes),
    };
    append_header(&mut response, headers::OUTCOME, outcome);
    if !reason.is_empty() {
        append_header(&mut response, headers::REASON, reason);
    }
    let request_id = format!("{:016x}", notes.request_id);
    append_header(&mut response, headers::REQUEST_ID, &request_id);
    if let Some(busy_ratio) = notes.busy_ratio {
        append_header(&mut response, headers::BUSY, &format!("{busy_ratio:.3}"));
    }
    if let Some(crash_id) = notes.crash_id {
        append_header(
            &mut response,
            headers::CRASH_ID,
            &format!("{crash_id:016x}"),
        );
    }
    if notes.close {
        append_header(&mut response, CONNECTION.as_str(), "close");
        response
            .head_mut()
            .set_connection_type(ntex::http::ConnectionType::Close);
    }
    response
}

fn refusal(status: StatusCode, outcome: &str, reason: &str, notes: AnswerNotes) -> HttpResponse {
    HttpResponse::build(status).json(&serde_json::json!({
        "outcome": outcome,
        "reason": reason,
        "request_id": format!("{:016x}", notes.request_id),
    }))
}

fn append_header(response: &mut HttpResponse, name: &str, value: &str) {
    let Ok(name) = HeaderName::try_from(name) else {
        return;
    };
    let Ok(value) = HeaderValue::from_str(value) else {
        return;
    };
    response.headers_mut().append(name, value);
}
