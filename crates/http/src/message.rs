//! Whole requests and answers, and the border to the client.

use std::time::Instant;

use futures::future::LocalBoxFuture;
use ntex::util::Bytes;

/// Headers that belong to one connection and never go on.
const HOP_NAMES: [&str; 9] = [
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

/// Headers in their order, with names in small letters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    list: Vec<(String, String)>,
}

impl Headers {
    /// Returns the first value of `name`, which is in small letters.
    pub fn get(&self, name: &str) -> Option<&str> {
        for (known, value) in &self.list {
            if known == name {
                return Some(value);
            }
        }
        None
    }

    /// Adds a header behind the others.
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.list.push((name.to_owned(), value.into()));
    }

    /// Keeps the headers whose name passes.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.list.retain(|(name, _)| keep(name));
    }

    /// Returns names and values in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.list
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns whether `name` concerns one connection only: the listed ones, and those that the
    /// `Connection` header names.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        if HOP_NAMES.contains(&name) {
            return true;
        }
        let Some(named) = self.get("connection") else {
            return false;
        };
        named
            .split(',')
            .any(|other| other.trim().eq_ignore_ascii_case(name))
    }

    /// Returns the headers that go on to the next hop.
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

/// A whole request as a server read it.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Headers as they came, those of the connection included.
    pub headers: Headers,
    /// Whole body.
    pub body: Bytes,
    /// When the first bytes of the request were there.
    pub arrived_at: Instant,
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers; those of the connection are set by whoever writes the answer.
    pub headers: Headers,
    /// Whole body.
    pub body: Bytes,
}

impl Answer {
    /// Returns an answer without headers and body.
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

    /// Returns the value of a header, by its name in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// Returns the content type, empty if none.
    pub fn content_type(&self) -> &str {
        self.header("content-type").unwrap_or("")
    }
}

/// A request on its way out.
#[derive(Clone, Copy, Debug)]
pub struct OutboundRequest<'a> {
    /// `ip:port` of the server.
    pub address: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Headers by their names in small letters; without `host` the address is sent as one.
    pub headers: &'a Headers,
    /// Whole body.
    pub body: &'a Bytes,
    /// When the answer is no longer wanted.
    pub deadline: Instant,
    /// Header that the answer must repeat with the request's value, if the server does so.
    pub echo_header: Option<&'a str>,
    /// Whether the request may run twice; one that may not is never sent on a connection that the
    /// server may just be closing.
    pub idempotent: bool,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection; nothing was sent.
    Refused(String),
    /// The connection ended before a whole answer, or what came was no answer to the request.
    Broken(String),
    /// The answer is larger than the limit; the connection is closed.
    TooLarge,
    /// The deadline passed; the connection is closed.
    Late,
}

/// Sends requests and returns whole answers. Dropping the future closes its connection.
pub trait Transport {
    /// Sends one request, once.
    fn send<'a>(
        &'a self,
        outbound: &'a OutboundRequest<'a>,
    ) -> LocalBoxFuture<'a, Result<Answer, SendFailure>>;

    /// Returns whether a server takes connections at `address`.
    fn can_connect<'a>(&'a self, address: &'a str) -> LocalBoxFuture<'a, bool>;
}
