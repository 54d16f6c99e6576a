//! Parent of a request: the call during which the local target made it, as far as that is known.
//!
//! Clients and the local target use the same address, and nested requests carry no key. A target may form
//! the ids of its requests from the id of the call that it runs, which then names the parent. Where an id
//! names none, the deadlines of the running calls tell which of them can be the parent.

use std::time::Instant;

use figway_admission::{
    ParentSearch,
    PossibleParents, //
};
use figway_customers::Parent;
use figway_profile::RouteIndex;

use crate::plane::DataPlane;
use crate::proxy::Incoming;
use crate::rank::nested_rank_of;
use crate::running_calls::RunningCall;

/// What is known of the parent of a request.
#[derive(Clone, Debug)]
pub(crate) enum ParentEvidence {
    /// The request names a call that the target runs.
    Named(RunningCall),
    /// One of several calls may be the parent.
    OneOf(PossibleParents),
    /// The parent may be a call that the target began before this node started.
    Lost,
    /// The target runs calls, but the request outlives all of them.
    Outlived,
    /// The target runs nothing.
    None,
}

impl ParentEvidence {
    /// Returns the name in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            ParentEvidence::Named(_) => "named",
            ParentEvidence::OneOf(_) => "one-of",
            ParentEvidence::Lost => "lost",
            ParentEvidence::Outlived => "outlived",
            ParentEvidence::None => "none",
        }
    }

    /// Returns the call, or the calls, in which the request is taken to be nested.
    pub(crate) fn into_call(self) -> Option<ParentCall> {
        match self {
            ParentEvidence::Named(call) => Some(ParentCall::Named(call)),
            ParentEvidence::OneOf(calls) => Some(ParentCall::OneOf(calls)),
            ParentEvidence::Lost | ParentEvidence::Outlived | ParentEvidence::None => None,
        }
    }

    /// Returns the parent as the identification of customers takes it.
    pub(crate) fn to_parent(&self) -> Parent {
        match self {
            ParentEvidence::Named(call) => Parent::Running(call.customer.clone()),
            ParentEvidence::OneOf(_) | ParentEvidence::Lost => Parent::Possible,
            ParentEvidence::Outlived => Parent::Outlived,
            ParentEvidence::None => Parent::None,
        }
    }
}

/// Parent of a request that is taken for a nested one.
#[derive(Clone, Debug)]
pub(crate) enum ParentCall {
    /// The call.
    Named(RunningCall),
    /// One of several calls.
    OneOf(PossibleParents),
}

impl ParentCall {
    /// Returns the rank of requests that are nested in the call.
    pub(crate) fn nested_rank(&self, routes: &RouteIndex) -> u32 {
        let rank = match self {
            ParentCall::Named(call) => call.rank,
            ParentCall::OneOf(calls) => calls.rank,
        };
        nested_rank_of(routes, rank)
    }

    /// Returns the time at which requests that are nested in the call expire at the latest.
    pub(crate) fn deadline(&self) -> Instant {
        match self {
            ParentCall::Named(call) => call.deadline,
            ParentCall::OneOf(calls) => calls.deadline,
        }
    }

    /// Returns whether the call counts as a retry or hedge. Of several calls one is drawn by `random_ratio`,
    /// which returns 0 to 1, so that the number of retries is right for many requests.
    pub(crate) fn is_repeat(&self, random_ratio: impl FnOnce() -> f64) -> bool {
        match self {
            ParentCall::Named(call) => call.is_repeat(),
            ParentCall::OneOf(calls) => random_ratio() < calls.repeat_ratio,
        }
    }

    /// Records that a request nested in the call was refused for overload. Nothing is recorded of several
    /// calls, since all but one have nothing to do with it.
    pub(crate) fn record_nested_refusal(&self) {
        match self {
            ParentCall::Named(call) => call.record_nested_refusal(),
            ParentCall::OneOf(_) => {}
        }
    }
}

impl DataPlane {
    /// Returns the call that the local target was running when it made the request, or `None` if the id of
    /// the request names no running call. Of several such calls it is the innermost.
    pub(crate) fn named_parent(&self, request_id: &str) -> Option<RunningCall> {
        let now = Instant::now();
        let mut id = request_id;
        while let Some(parent_id) = self.interface.parent_id(id) {
            if let Some(parent) = self.running.get(parent_id, now) {
                return Some(parent);
            }
            id = parent_id;
        }
        None
    }

    /// Returns what is known of the parent of a request without a key, which its id doesn't name.
    pub(crate) fn find_parent(&self, incoming: &Incoming<'_>) -> ParentEvidence {
        let now = Instant::now();
        if self.lost_calls_until.is_some_and(|until| now < until) {
            return ParentEvidence::Lost;
        }
        match self.running.find_parents(incoming.deadline, now) {
            ParentSearch::Possible(calls) => ParentEvidence::OneOf(calls),
            ParentSearch::Outlived => ParentEvidence::Outlived,
            ParentSearch::Idle => ParentEvidence::None,
        }
    }
}
