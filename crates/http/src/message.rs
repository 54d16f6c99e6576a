//! Requests and answers with complete bodies, and the trait that sends them.

use std::time::Instant;

use futures::future::LocalBoxFuture;
use hyper::body::Bytes;

use crate::headers::Headers;

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Headers as received, including those of the connection.
    pub headers: Headers,
    /// Complete body.
    pub body: Bytes,
    /// Time at which the first bytes of the request were received.
    pub arrived_at: Instant,
}

/// An answer to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers; those of the connection are set when the answer is written.
    pub headers: Headers,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns an answer without headers or a body.
    pub fn of_status(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// Returns an answer with a JSON body.
    pub fn of_json(status: u16, body: impl Into<Bytes>) -> Self {
        let mut answer = Self::of_status(status);
        answer.headers.push("content-type", "application/json");
        answer.body = body.into();
        answer
    }

    /// Returns whether the status is a success, 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns the first value of the header `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// Returns the content type, or an empty string if there is none.
    pub fn content_type(&self) -> &str {
        self.header("content-type").unwrap_or("")
    }
}

/// A request to send to a server.
#[derive(Clone, Copy, Debug)]
pub struct OutboundRequest<'a> {
    /// `ip:port` of the server.
    pub address: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Headers with names in lower case. The `host` header defaults to the address.
    pub headers: &'a Headers,
    /// Complete body.
    pub body: &'a Bytes,
    /// Pace at which the body is sent, in bytes per second; at once if absent.
    pub body_bytes_per_s: Option<f64>,
    /// Time at which sending ends with [`SendFailure::Late`].
    pub deadline: Instant,
    /// Header that the server copies from the request to its answer, if any. An answer whose value
    /// differs is for another request and is rejected.
    pub echo_header: Option<&'a str>,
    /// Whether the request may run twice. A request that must not run twice is never sent on a
    /// connection that has been idle for so long that the server may be closing it.
    pub idempotent: bool,
}

impl OutboundRequest<'_> {
    /// Returns the value of the header that the server copies to its answer.
    pub(crate) fn echo(&self) -> Option<&str> {
        self.headers.get(self.echo_header?)
    }
}

/// Reason why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection could be opened, or the request could not be built or written; nothing was
    /// sent.
    Refused(String),
    /// The connection ended before the answer was complete, the answer is for another request, or its
    /// status is none.
    Broken(String),
    /// The answer body exceeds the limit, or there is no memory for it; the connection is closed.
    TooLarge,
    /// The deadline passed; the connection is closed.
    Late,
}

/// What a server does with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It accepts the connection and keeps it open, or accepts the next one.
    Accepts,
    /// It refuses the connection.
    Refuses,
    /// Nothing answers in time, or no connection can be opened from here.
    Silent,
}

/// Sends requests and returns answers with complete bodies. Dropping the future of a request closes
/// its connection.
pub trait Transport {
    /// Sends one request, without retries.
    fn send<'a>(
        &'a self,
        outbound: &'a OutboundRequest<'a>,
    ) -> LocalBoxFuture<'a, Result<Answer, SendFailure>>;

    /// Opens a connection to `address`, and returns what became of it.
    fn probe<'a>(&'a self, address: &'a str) -> LocalBoxFuture<'a, Reachability>;
}
