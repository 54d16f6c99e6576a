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

use crate::story::Step;

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
    pub(crate) story: &'a RefCell<Vec<Step>>,
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
    pub(crate) of_repeat: bool,
    /// Fate of the attempts that have ended, joined.
    pub(crate) ended: &'a RefCell<Fate>,
}

/// Place of an attempt among those of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// The first one that reaches a target.
    First,
    /// One after another has ended.
    Retry,
    /// One beside another that goes on; it does not wait for a slot.
    Hedge,
}

impl Turn {
    /// Name on the wire between nodes.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Turn::First => "first",
            Turn::Retry => "retry",
            Turn::Hedge => "hedge",
        }
    }

    /// Reads a name; an unknown one counts as a first attempt.
    pub(crate) fn of_name(name: &str) -> Self {
        match name {
            "retry" => Turn::Retry,
            "hedge" => Turn::Hedge,
            _ => Turn::First,
        }
    }
}

/// What admission beside the target is told of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admitted<'a> {
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
    pub(crate) turn: Turn,
}

impl<'a> Admitted<'a> {
    /// Returns what admission needs for an attempt of `call`.
    pub(crate) fn of(call: &Call<'a>, turn: Turn) -> Self {
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
            turn: call.told_turn(turn),
        }
    }
}

impl Call<'_> {
    /// Returns the turn that the target's node is told: calls of a repeated run are repeats too.
    pub(crate) fn told_turn(&self, turn: Turn) -> Turn {
        match turn {
            Turn::First if self.of_repeat => Turn::Retry,
            turn => turn,
        }
    }
}

/// Fate of a call or of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The target answered.
    Answered(Answer),
    /// No byte went to a target, or the target says that it did not run the call.
    NotRun(NotRunReason),
    /// It may have run; the reason is for the caller.
    Unknown(&'static str),
}

impl Default for Fate {
    fn default() -> Self {
        Fate::NotRun(NotRunReason::NoTarget)
    }
}

impl Fate {
    /// Name on the wire and in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Fate::Answered(_) => "answered",
            Fate::NotRun(_) => "not-run",
            Fate::Unknown(_) => "unknown",
        }
    }

    /// Reason on the wire and in logs, empty for an answer.
    pub fn reason(&self) -> &'static str {
        match self {
            Fate::Answered(_) => "",
            Fate::NotRun(reason) => reason.name(),
            Fate::Unknown(reason) => reason,
        }
    }

    /// Status of the target's answer, 0 if there is none.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Fate::Answered(answer) => answer.status,
            Fate::NotRun(_) | Fate::Unknown(_) => 0,
        }
    }

    /// Returns whether a target answered and did not fail.
    pub(crate) fn is_good(&self) -> bool {
        matches!(self, Fate::Answered(answer) if answer.status < FAILED_STATUS)
    }

    /// Joins this fate with that of the earlier attempts of the same submission: `not run` holds only
    /// if it holds of every attempt, and an answer is not given up for none.
    pub(crate) fn after(self, earlier: Fate) -> Fate {
        match (self, earlier) {
            (Fate::NotRun(_), earlier @ (Fate::Answered(_) | Fate::Unknown(_)))
            | (Fate::Unknown(_), earlier @ Fate::Answered(_)) => earlier,
            (fate, _) => fate,
        }
    }
}

/// Least status by which a target says that it failed.
pub(crate) const FAILED_STATUS: u16 = 500;

/// Reason of a fate that is unknown because the deadline passed.
pub const LATE: &str = "deadline";
