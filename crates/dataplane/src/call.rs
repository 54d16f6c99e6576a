//! A call on its way through a node.

use std::cell::RefCell;
use std::time::Instant;

use figway_http::{
    Answer,
    Headers, //
};
use figway_profile::{
    Profile,
    RequestKind,
    Route, //
};
use figway_types::{
    Fingerprint,
    NotRunReason, //
};
use ntex::util::Bytes;

use crate::steps::Step;

/// How calls of one kind are treated: a request kind of a profile, or a route of the route table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rule<'a> {
    /// Name of the kind or route, for logs and latency estimates.
    pub(crate) name: &'a str,
    /// Service whose targets run the call.
    pub(crate) service: &'a str,
    /// Subset of the service's targets.
    pub(crate) subset: &'a str,
    /// Whether a call may run more than once.
    pub(crate) idempotent: bool,
    /// Worth of serving a call.
    pub(crate) worth: f64,
    /// Whether a call is long work, which may not take all slots.
    pub(crate) long: bool,
    /// Rank at the target, 0 is served first.
    pub(crate) rank: u32,
    /// Time within which an answer has its full worth, in milliseconds.
    pub(crate) prompt_ms: Option<u64>,
    /// Targets to which one call may be sent.
    pub(crate) attempt_max_count: usize,
    /// Profile that the service follows.
    pub(crate) profile: &'a Profile,
    /// Name of that profile.
    pub(crate) profile_name: &'a str,
    /// Version of the profile's pick or of the route table.
    pub(crate) version: u64,
}

/// Targets that one call of a request kind tries at most.
const KIND_ATTEMPT_MAX_COUNT: usize = 4;

/// Worth of a route of priority 0; each rank below has half of the one before.
const ROUTE_WORTH: f64 = 1.0;

/// Rank of routes of priority 0. Calls that targets make while they run others come before all
/// routes, since the slot of their parent is held meanwhile.
const OUTER_RANK: u32 = 1;

/// Rank of calls that targets make while they run others.
pub(crate) const NESTED_RANK: u32 = 0;

impl<'a> Rule<'a> {
    /// Reads the rule of a profile's request kind.
    pub(crate) fn of_kind(
        kind: &'a RequestKind,
        called: &'a str,
        profile: &'a Profile,
        profile_name: &'a str,
        version: u64,
    ) -> Self {
        Self {
            name: &kind.name,
            service: kind.service.as_deref().unwrap_or(called),
            subset: &kind.subset,
            idempotent: kind.idempotent,
            worth: kind.worth,
            long: kind.long,
            rank: 0,
            prompt_ms: None,
            attempt_max_count: KIND_ATTEMPT_MAX_COUNT,
            profile,
            profile_name,
            version,
        }
    }

    /// Reads the rule of a route, one of whose parts is `service`.
    pub(crate) fn of_route(
        name: &'a str,
        route: &'a Route,
        service: &'a str,
        profile: &'a Profile,
        profile_name: &'a str,
        version: u64,
    ) -> Self {
        Self {
            name,
            service,
            subset: "all",
            idempotent: route.idempotent,
            worth: ROUTE_WORTH * 0.5_f64.powi(route.priority.min(60) as i32),
            long: false,
            rank: OUTER_RANK + route.priority,
            prompt_ms: Some(route.prompt_ms),
            attempt_max_count: route.attempt_max_count.max(1) as usize,
            profile,
            profile_name,
            version,
        }
    }
}

/// A call that has a route, as the caller's node sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call<'a> {
    pub(crate) request_id: &'a str,
    /// What happened so far.
    pub(crate) steps: &'a RefCell<Vec<Step>>,
    /// When the request came in.
    pub(crate) arrived_at: Instant,
    pub(crate) rule: Rule<'a>,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    /// Headers of the caller that go on to the target.
    pub(crate) headers: &'a Headers,
    pub(crate) body: &'a Bytes,
    /// Service on whose host the call began.
    pub(crate) origin: &'a str,
    /// When an answer loses part of its worth.
    pub(crate) prompt_by: Option<Instant>,
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: Fingerprint,
    /// Whether a run that was itself a repeat made the call.
    pub(crate) parent_is_repeat: bool,
    /// Outcome of the attempts that have ended, joined.
    pub(crate) earlier_outcome: &'a RefCell<Outcome>,
}

/// Place of an attempt among those of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// The first one that reaches a target.
    First,
    /// One after another has ended.
    Retry,
    /// One beside another that goes on; it does not wait for a slot.
    Hedge,
}

impl AttemptKind {
    /// Name on the wire between nodes.
    pub(crate) fn name(self) -> &'static str {
        match self {
            AttemptKind::First => "first",
            AttemptKind::Retry => "retry",
            AttemptKind::Hedge => "hedge",
        }
    }

    /// Reads a name; an unknown one counts as a first attempt.
    pub(crate) fn from_name(name: &str) -> Self {
        match name {
            "retry" => AttemptKind::Retry,
            "hedge" => AttemptKind::Hedge,
            _ => AttemptKind::First,
        }
    }
}

/// What admission beside the target is told of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionRequest<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) kind: &'a str,
    pub(crate) service: &'a str,
    pub(crate) idempotent: bool,
    pub(crate) worth: f64,
    pub(crate) long: bool,
    pub(crate) rank: u32,
    pub(crate) prompt_by: Option<Instant>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) headers: &'a Headers,
    pub(crate) body: &'a Bytes,
    pub(crate) origin: &'a str,
    pub(crate) deadline: Instant,
    pub(crate) attempt_kind: AttemptKind,
}

impl<'a> AdmissionRequest<'a> {
    /// Returns what admission needs for an attempt of `call`.
    pub(crate) fn new(call: &Call<'a>, attempt_kind: AttemptKind) -> Self {
        Self {
            request_id: call.request_id,
            kind: call.rule.name,
            service: call.rule.service,
            idempotent: call.rule.idempotent,
            worth: call.rule.worth,
            long: call.rule.long,
            rank: call.rule.rank,
            prompt_by: call.prompt_by,
            fingerprint: call.fingerprint,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            origin: call.origin,
            deadline: call.deadline,
            attempt_kind: call.reported_attempt_kind(attempt_kind),
        }
    }
}

impl Call<'_> {
    /// Returns the turn that the target's node is told: calls of a repeated run are repeats too.
    pub(crate) fn reported_attempt_kind(&self, attempt_kind: AttemptKind) -> AttemptKind {
        match attempt_kind {
            AttemptKind::First if self.parent_is_repeat => AttemptKind::Retry,
            attempt_kind => attempt_kind,
        }
    }
}

/// Outcome of a call or of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered(Answer),
    /// No byte went to a target, or the target says that it did not run the call.
    NotRun(NotRunReason),
    /// It may have run; the reason is for the caller.
    Unknown(&'static str),
}

impl Default for Outcome {
    fn default() -> Self {
        Outcome::NotRun(NotRunReason::NoTarget)
    }
}

impl Outcome {
    /// Name on the wire and in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }

    /// Reason on the wire and in logs, empty for an answer.
    pub fn reason(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "",
            Outcome::NotRun(reason) => reason.name(),
            Outcome::Unknown(reason) => reason,
        }
    }

    /// Status of the target's answer, 0 if there is none.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Outcome::Answered(answer) => answer.status,
            Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
        }
    }

    /// Returns whether a target answered and did not fail.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self, Outcome::Answered(answer) if answer.status < FAILED_STATUS_MIN)
    }

    /// Joins this fate with that of the earlier attempts of the same submission: `not run` holds only
    /// if it holds of every attempt, and an answer is not given up for none.
    pub(crate) fn merge_earlier(self, earlier: Outcome) -> Outcome {
        match (self, earlier) {
            (Outcome::NotRun(_), earlier @ (Outcome::Answered(_) | Outcome::Unknown(_)))
            | (Outcome::Unknown(_), earlier @ Outcome::Answered(_)) => earlier,
            (fate, _) => fate,
        }
    }
}

/// Least status by which a target says that it failed.
pub(crate) const FAILED_STATUS_MIN: u16 = 500;

/// Reason of a fate that is unknown because the deadline passed.
pub const DEADLINE_EXCEEDED: &str = "deadline";
