//! Boundary to the wire format of callers and targets: how requests, answers and refusals are
//! encoded.

use std::time::Duration;

use figway_customers::Credentials;
use figway_http::{
    Answer,
    Headers,
    Request, //
};
use figway_types::{
    NotRunReason,
    RateLimit,
    RateLimitError, //
};

use crate::call::Outcome;

/// Name in a request by which the request is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Addressing<'a> {
    /// A service, whose profile defines the request kinds.
    Service(&'a str),
    /// A host in the route table.
    Host(&'a str),
}

impl<'a> Addressing<'a> {
    /// Returns the name of the service or host.
    pub(crate) fn name(self) -> &'a str {
        match self {
            Addressing::Service(name) | Addressing::Host(name) => name,
        }
    }
}

impl std::fmt::Display for Addressing<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Addressing::Service(name) => write!(f, "service {name}"),
            Addressing::Host(name) => write!(f, "host {name}"),
        }
    }
}

/// Facts about a call that are sent to the target besides the request itself.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// Time until the deadline of the call.
    pub remaining: Duration,
    /// Service of the host at which the call originated.
    pub origin: &'a str,
    /// Customer to whom the call belongs, if any.
    pub customer: Option<&'a str>,
    /// Instance id of the target that should run the call, empty if the target has none.
    pub instance: &'a str,
}

/// What a target states about itself in an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Rate limit that the answer states, if any.
    pub rate_limit: Option<StatedRateLimit>,
    /// Whether the target states that it is leaving.
    pub leaving: bool,
}

/// Rate limit as an answer states it.
#[derive(Clone, Debug, PartialEq)]
pub enum StatedRateLimit {
    /// A valid limit.
    Valid(RateLimit),
    /// A text that is not a limit, and why.
    Invalid {
        /// Text of the answer.
        text: String,
        /// Why the text is not a limit.
        error: RateLimitError,
    },
}

/// Answer or refusal for the caller.
#[derive(Clone, Debug)]
pub struct Reply<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Delay after which a refused caller may retry.
    pub retry_after: Option<Duration>,
}

/// Wire format of callers and targets. It only encodes and decodes, and makes no decisions.
pub trait Interface: Send + Sync {
    /// Returns the name by which the request is routed.
    fn addressing<'a>(&self, request: &'a Request) -> Addressing<'a>;

    /// Returns the request id that the caller set.
    fn request_id<'a>(&self, request: &'a Request) -> Option<&'a str>;

    /// Returns the id of the call that a target was running when it made a request with this id, if the
    /// id has the form of one that names a call. Targets need not use that form, and others may.
    fn parent_id<'a>(&self, request_id: &'a str) -> Option<&'a str>;

    /// Returns the credentials of the request.
    fn credentials<'a>(&self, request: &'a Request) -> Credentials<'a>;

    /// Removes the headers that carry credentials.
    fn remove_credentials(&self, headers: &mut Headers);

    /// Returns whether a request without an id is refused. Otherwise the node generates an id.
    fn requires_id(&self) -> bool;

    /// Returns the time that the caller waits for the answer, if the request states it.
    fn budget(&self, request: &Request) -> Option<Duration>;

    /// Returns the request's headers that are forwarded to the target.
    fn forwarded_headers(&self, request: &Request) -> Headers;

    /// Adds the headers that carry `context` to the target.
    fn add_target_headers(&self, headers: &mut Headers, context: &ForwardContext<'_>);

    /// Returns the name of the header that targets repeat in their answers, or `None` if they
    /// repeat none.
    fn echo_header(&self) -> Option<&'static str>;

    /// Returns the reason why the target did not run the call, if the answer states one.
    fn not_run_reason(&self, answer: &Answer) -> Option<NotRunReason>;

    /// Returns what the target states about itself in the answer.
    fn target_notice(&self, answer: &Answer) -> TargetNotice;

    /// Returns whether the answer is valid in this wire format.
    fn is_valid_answer(&self, answer: &Answer) -> bool;

    /// Encodes the reply as an HTTP answer to the caller.
    fn encode_reply(&self, reply: Reply<'_>) -> Answer;
}
