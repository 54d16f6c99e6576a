//! Border to the wire: how requests, answers and refusals look to callers and targets.

use std::time::Duration;

use figway_http::{
    Answer,
    Headers,
    Request, //
};
use figway_types::NotRunReason;

use crate::call::Outcome;

/// What a request names to be routed by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Addressing<'a> {
    /// A service, whose profile holds the request kinds.
    Service(&'a str),
    /// A host of the route table.
    Host(&'a str),
}

impl std::fmt::Display for Addressing<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Addressing::Service(name) => write!(f, "service {name}"),
            Addressing::Host(name) => write!(f, "host {name}"),
        }
    }
}

/// What a target is told of a call besides the request itself.
#[derive(Clone, Copy, Debug)]
pub struct Onward<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// Time that is left.
    pub left: Duration,
    /// Service on whose host the call began.
    pub origin: &'a str,
    /// Start of the target that is meant, empty if it has no name.
    pub instance: &'a str,
}

/// An answer or refusal on its way to the caller.
#[derive(Clone, Debug)]
pub struct Reply<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// What became of it.
    pub fate: Outcome,
    /// When a refused caller may come back.
    pub retry_after: Option<Duration>,
}

/// Names and forms of one wire. Decides nothing.
pub trait Interface: Send + Sync {
    /// Returns what the request names to be routed by.
    fn addressing<'a>(&self, request: &'a Request) -> Addressing<'a>;

    /// Returns the id that the caller gave.
    fn request_id<'a>(&self, request: &'a Request) -> Option<&'a str>;

    /// Returns the id of the call during which a target made this one, if the request tells.
    fn parent_id<'a>(&self, request: &'a Request) -> Option<&'a str>;

    /// Returns whether a request without an id is refused; else it is given one.
    fn requires_id(&self) -> bool;

    /// Returns how long the caller waits, if it says so.
    fn budget(&self, request: &Request) -> Option<Duration>;

    /// Returns the headers that go on to the target.
    fn onward_headers(&self, request: &Request) -> Headers;

    /// Adds what the target is told of a call.
    fn tell_target(&self, headers: &mut Headers, onward: &Onward<'_>);

    /// Returns the header that a target repeats in its answer, if targets do so.
    fn echo(&self) -> Option<&'static str>;

    /// Returns why the target did not run the call, if its answer says so.
    fn not_run(&self, answer: &Answer) -> Option<NotRunReason>;

    /// Returns whether the answer is one that a target of this wire gives.
    fn is_sound(&self, answer: &Answer) -> bool;

    /// Writes the answer to the caller.
    fn write(&self, reply: Reply<'_>) -> Answer;
}
