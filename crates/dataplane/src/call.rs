//! A call that a node serves: its rule, its attempts and its outcome.

use std::cell::{
    Cell,
    RefCell, //
};
use std::time::Instant;

use figway_admission::{
    AttemptCounts,
    ShareHolder,
    Treatment, //
};
use figway_cost::RequestClass;
use figway_http::{
    Answer,
    Bytes,
    Headers, //
};
use figway_profile::{
    Profile,
    RequestKind,
    Route,
    RouteIndex, //
};
use figway_types::{
    Fingerprint,
    NotRunReason, //
};

use crate::caller::{
    Caller,
    StatedKey, //
};
use crate::offers::OFFERED_MIN_BYTES;
use crate::overload::CallClass;
use crate::steps::Step;

/// How calls of one request kind of a profile, or of one route of the route table, are handled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rule<'a> {
    /// Name of the request kind or route, used in logs and latency estimates.
    pub(crate) name: &'a str,
    /// Service whose targets run the calls.
    pub(crate) service: &'a str,
    /// Subset of the service's targets.
    pub(crate) subset: &'a str,
    /// Whether a call may run more than once.
    pub(crate) idempotent: bool,
    /// Worth of serving one call.
    pub(crate) worth: f64,
    /// Whether calls run for a long time; long calls may not occupy all slots of a target.
    pub(crate) long: bool,
    /// Priority in the target's queue; rank 0 is served first.
    pub(crate) rank: u32,
    /// Time after arrival within which an answer has its full worth, in milliseconds.
    pub(crate) prompt_ms: Option<u64>,
    /// Maximum number of targets that one call may be sent to.
    pub(crate) attempt_max_count: usize,
    /// Profile that the service follows.
    pub(crate) profile: &'a Profile,
    /// Name of that profile.
    pub(crate) profile_name: &'a str,
    /// Offset of the profile's version in force, or version of the route table.
    pub(crate) version: u64,
    /// Whether the route table calls for overload control.
    pub(crate) overload_control: bool,
}

/// Maximum number of targets that one call of a request kind may be sent to.
const KIND_ATTEMPT_MAX_COUNT: usize = 4;

/// Worth of a call on a route of priority 0. Each further priority level halves it.
const ROUTE_WORTH: f64 = 1.0;

impl<'a> Rule<'a> {
    /// Returns the rule of a profile's request kind. `called_service` runs the calls unless the
    /// kind names another service.
    pub(crate) fn from_request_kind(
        kind: &'a RequestKind,
        called_service: &'a str,
        profile: &'a Profile,
        profile_name: &'a str,
        version: u64,
        overload_control: bool,
    ) -> Self {
        Self {
            name: &kind.name,
            service: kind.service.as_deref().unwrap_or(called_service),
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
            overload_control,
        }
    }

    /// Returns the rule of a route of `routes` for calls of `rank` to `service`, the service of one of its
    /// parts.
    pub(crate) fn from_route(
        routes: &RouteIndex,
        name: &'a str,
        route: &'a Route,
        rank: u32,
        service: &'a str,
        profile: &'a Profile,
        profile_name: &'a str,
    ) -> Self {
        Self {
            name,
            service,
            subset: "all",
            idempotent: route.may_repeat(),
            worth: ROUTE_WORTH * 0.5_f64.powi(route.priority.min(60) as i32),
            long: false,
            rank,
            prompt_ms: Some(route.prompt_ms),
            attempt_max_count: route.attempt_max_count.max(1) as usize,
            profile,
            profile_name,
            version: routes.version,
            overload_control: routes.overload_control,
        }
    }
}

/// A routed call at the caller's node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call<'a> {
    pub(crate) request_id: &'a str,
    /// Steps of the call so far, for its log line.
    pub(crate) steps: &'a RefCell<Vec<Step>>,
    /// When the request arrived.
    pub(crate) arrived_at: Instant,
    pub(crate) rule: Rule<'a>,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    /// Headers of the caller that are forwarded to the target.
    pub(crate) headers: &'a Headers,
    pub(crate) body: &'a Bytes,
    /// Service on whose host the call began.
    pub(crate) origin: &'a str,
    /// Caller, with its customer.
    pub(crate) caller: Caller<'a>,
    /// Time after which an answer loses part of its worth.
    pub(crate) prompt_by: Option<Instant>,
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: Fingerprint,
    /// Whether the call is nested in a run that was a retry or a hedge.
    pub(crate) parent_is_repeat: bool,
    /// Merged outcome of the attempts that have ended.
    pub(crate) earlier_outcome: &'a RefCell<Outcome>,
    /// Attempts so far, by how targets treated them.
    pub(crate) attempts: &'a Cell<AttemptCounts>,
}

impl Call<'_> {
    /// Returns the class by which the cost of the call is estimated.
    pub(crate) fn class(&self) -> RequestClass<'_> {
        RequestClass {
            kind: self.rule.name,
            body_bytes: self.body.len(),
            customer: self.caller.customer,
        }
    }

    /// Returns the class whose refusals tell whether the call would be refused.
    pub(crate) fn overload_class(&self) -> CallClass {
        CallClass {
            rank: self.rule.rank,
            has_large_body: self.has_large_body(),
        }
    }

    /// Records that an attempt begins.
    pub(crate) fn begin_attempt(&self) {
        let mut attempts = self.attempts.get();
        attempts.begin();
        self.attempts.set(attempts);
    }

    /// Records how the target treated an attempt that ended.
    pub(crate) fn end_attempt(&self, treatment: Treatment) {
        let mut attempts = self.attempts.get();
        attempts.end(treatment);
        self.attempts.set(attempts);
    }

    /// Returns whether the body is offered before it is sent.
    pub(crate) fn has_large_body(&self) -> bool {
        self.body.len() >= OFFERED_MIN_BYTES
    }
}

/// Why an attempt of a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// No earlier attempt reached a target.
    First,
    /// An earlier attempt reached a target and ended.
    Retry,
    /// Another attempt is still in flight. A hedge does not wait for a slot.
    Hedge,
}

impl AttemptKind {
    /// Returns the name on the wire between nodes.
    pub(crate) fn name(self) -> &'static str {
        match self {
            AttemptKind::First => "first",
            AttemptKind::Retry => "retry",
            AttemptKind::Hedge => "hedge",
        }
    }

    /// Parses a name from the wire. An unknown name counts as a first attempt.
    pub(crate) fn from_name(name: &str) -> Self {
        match name {
            "retry" => AttemptKind::Retry,
            "hedge" => AttemptKind::Hedge,
            _ => AttemptKind::First,
        }
    }
}

/// An attempt of a call, as it is submitted to admission at the target's node.
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
    /// Customer to whom the call belongs, if any.
    pub(crate) customer: Option<&'a str>,
    /// Key that identified the customer, if one did.
    pub(crate) key: Option<StatedKey>,
    pub(crate) deadline: Instant,
    pub(crate) attempt_kind: AttemptKind,
    /// Whether the route table calls for overload control.
    pub(crate) overload_control: bool,
    /// Customer for whose share of the target the call counts, if the route table has customers.
    pub(crate) holder: Option<ShareHolder<'a>>,
}

impl<'a> AdmissionRequest<'a> {
    /// Returns the admission request for an attempt of `call`.
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
            customer: call.caller.customer,
            key: call.caller.stated_key(),
            deadline: call.deadline,
            attempt_kind: call.reported_attempt_kind(attempt_kind),
            overload_control: call.rule.overload_control,
            holder: call.caller.holder,
        }
    }
}

impl Call<'_> {
    /// Returns the attempt kind that is reported to the target's node. The first attempt of a call
    /// that is nested in a retry or hedge counts as a retry.
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
    /// A target answered, with any status.
    Answered(Answer),
    /// No byte was sent to a target, or the target reported that it did not run the call.
    NotRun(NotRunReason),
    /// The call may have run. Holds the reason for the caller.
    Unknown(&'static str),
}

impl Default for Outcome {
    fn default() -> Self {
        Outcome::NotRun(NotRunReason::NoTarget)
    }
}

impl Outcome {
    /// Returns the name on the wire and in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }

    /// Returns the reason on the wire and in logs, empty for an answer.
    pub fn reason(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "",
            Outcome::NotRun(reason) => reason.name(),
            Outcome::Unknown(reason) => reason,
        }
    }

    /// Returns the HTTP status of the target's answer, or 0 without an answer.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Outcome::Answered(answer) => answer.status,
            Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
        }
    }

    /// Returns whether a target answered with a status below [`FAILED_STATUS_MIN`].
    pub(crate) fn is_success(&self) -> bool {
        matches!(self, Outcome::Answered(answer) if answer.status < FAILED_STATUS_MIN)
    }

    /// Merges this outcome with that of the earlier attempts of the same submission. The result is
    /// `NotRun` only if no attempt ran, and an earlier answer is kept unless this outcome is an
    /// answer.
    pub(crate) fn merge_earlier(self, earlier: Outcome) -> Outcome {
        match (self, earlier) {
            (Outcome::NotRun(_), earlier @ (Outcome::Answered(_) | Outcome::Unknown(_)))
            | (Outcome::Unknown(_), earlier @ Outcome::Answered(_)) => earlier,
            (outcome, _) => outcome,
        }
    }
}

/// Lowest HTTP status that counts as a failure of the target.
pub(crate) const FAILED_STATUS_MIN: u16 = 500;

/// Reason of an unknown outcome: the deadline passed before an answer.
pub const DEADLINE_EXCEEDED: &str = "deadline";
