//! Requests and answers with complete bodies, and the trait that sends them.

use std::time::Instant;

use futures::future::LocalBoxFuture;
use hyper::body::Bytes;

/// Headers that apply to one connection and are never forwarded.
const HOP_BY_HOP_NAMES: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers in the order in which they were added, with names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    list: Vec<(String, String)>,
    /// Names of received headers that were dropped, since their values are not ASCII text.
    dropped_names: Vec<String>,
}

impl Headers {
    /// Returns the first value of the header `name`, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        for (header, value) in &self.list {
            if header == name {
                return Some(value);
            }
        }
        None
    }

    /// Appends a header. `name` must be in lower case.
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.list.push((name.to_owned(), value.into()));
    }

    /// Records that a header was received whose value is not ASCII text, and which is dropped.
    pub(crate) fn record_dropped(&mut self, name: &str) {
        self.dropped_names.push(name.to_owned());
    }

    /// Returns whether a header `name` was received and dropped, since its value is not ASCII text.
    pub fn has_dropped(&self, name: &str) -> bool {
        self.dropped_names.iter().any(|dropped| dropped == name)
    }

    /// Keeps only the headers for whose name `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.list.retain(|(name, _)| keep(name));
    }

    /// Returns the number of headers.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns whether there are no headers.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Removes the headers from the position `at` on and returns them.
    pub fn split_off(&mut self, at: usize) -> Headers {
        let list = self.list.split_off(at);
        Headers {
            list,
            dropped_names: Vec::new(),
        }
    }

    /// Renames each header for whose name `rename` returns a new one, which must be in lower case.
    pub fn rename(&mut self, rename: impl Fn(&str) -> Option<String>) {
        for (name, _) in &mut self.list {
            if let Some(new_name) = rename(name) {
                *name = new_name;
            }
        }
    }

    /// Returns an iterator over names and values, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.list
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns whether the header `name` applies to one connection only: it is one of a fixed list
    /// of hop-by-hop headers or named in the `Connection` header.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        if HOP_BY_HOP_NAMES.contains(&name) {
            return true;
        }
        let Some(listed) = self.get("connection") else {
            return false;
        };
        listed
            .split(',')
            .any(|other| other.trim().eq_ignore_ascii_case(name))
    }

    /// Returns the headers to forward to the next hop.
    pub fn end_to_end(&self) -> Headers {
        let mut kept = Headers::default();
        for (name, value) in self.iter() {
            if !self.is_hop_by_hop(name) {
                kept.push(name, value);
            }
        }
        kept
    }
}

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
