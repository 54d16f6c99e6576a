//! Views of new calls, and records of those that run or wait.

use std::time::Instant;

use figway_cost::RequestClass;

use crate::estimate::Costed;

/// Properties of a call that admission uses.
#[derive(Clone, Copy, Debug)]
pub struct CallView<'a> {
    /// Request kind.
    pub kind: &'a str,
    /// Size of the request body.
    pub body_bytes: usize,
    /// Customer to whom the call belongs.
    pub customer: Option<&'a str>,
    /// Worth of serving the call.
    pub worth: f64,
    /// Whether the call is long work.
    pub long: bool,
    /// Rank in the queue; 0 is served first.
    pub rank: u32,
    /// Time after which an answer loses part of its worth, if that is before the deadline.
    pub prompt_by: Option<Instant>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Whether the call may wait for a slot. A hedge, whose first attempt is still in flight, may
    /// not.
    pub may_wait: bool,
}

impl<'a> CallView<'a> {
    /// Returns the class by which the cost of the call is estimated.
    pub(super) fn class(&self) -> RequestClass<'a> {
        RequestClass {
            kind: self.kind,
            body_bytes: self.body_bytes,
            customer: self.customer,
        }
    }
}

/// Identifies a call from its admission to its release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Class and expected cost of a call that runs or waits.
#[derive(Clone, Debug)]
pub(super) struct HeldClass {
    kind: String,
    body_bytes: usize,
    customer: Option<String>,
    /// Expected cost when the call arrived, as a multiple of the mean of the kind.
    cost_ratio: f64,
}

impl HeldClass {
    pub(super) fn new(call: &CallView<'_>, costed: Costed<'_>) -> Self {
        Self {
            kind: call.kind.to_owned(),
            body_bytes: call.body_bytes,
            customer: call.customer.map(str::to_owned),
            cost_ratio: costed.ratio,
        }
    }

    pub(super) fn class(&self) -> RequestClass<'_> {
        RequestClass {
            kind: &self.kind,
            body_bytes: self.body_bytes,
            customer: self.customer.as_deref(),
        }
    }

    pub(super) fn costed(&self) -> Costed<'_> {
        Costed {
            kind: &self.kind,
            ratio: self.cost_ratio,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) class: HeldClass,
    pub(super) worth: f64,
    pub(super) long: bool,
    pub(super) rank: u32,
    pub(super) prompt_by: Option<Instant>,
    /// Whether the call was expected to be late when it arrived.
    pub(super) expected_late: bool,
    pub(super) deadline: Instant,
}

#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) ticket: Ticket,
    pub(super) class: HeldClass,
    pub(super) long: bool,
    pub(super) started_at: Instant,
}
