//! A call on its way through a node.

use std::time::Instant;

use figway_control::ServiceInForce;
use figway_profile::RequestKind;
use figway_types::{
    Fingerprint,
    NotRunReason, //
};
use ntex::util::Bytes;

use crate::transport::Answer;

/// A call that has a route, as the caller's node sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call<'a> {
    pub(crate) request_id: u64,
    /// Service that the caller named.
    pub(crate) service: &'a str,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    /// Headers of the caller that go on to the target.
    pub(crate) headers: &'a [(String, String)],
    pub(crate) body: &'a Bytes,
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) in_force: &'a ServiceInForce,
    pub(crate) kind: &'a RequestKind,
}

impl Call<'_> {
    /// Returns the service whose targets run the call.
    pub(crate) fn runs_at(&self) -> &str {
        self.kind.service.as_deref().unwrap_or(self.service)
    }
}

/// What admission beside the target is told of a call.
#[derive(Clone, Debug)]
pub(crate) struct Admitted<'a> {
    pub(crate) request_id: u64,
    pub(crate) kind: &'a str,
    pub(crate) worth: f64,
    pub(crate) long: bool,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [(String, String)],
    pub(crate) body: &'a Bytes,
    pub(crate) deadline: Instant,
}

impl<'a> From<&'a Call<'a>> for Admitted<'a> {
    fn from(call: &'a Call<'a>) -> Self {
        Self {
            request_id: call.request_id,
            kind: &call.kind.name,
            worth: call.kind.worth,
            long: call.kind.long,
            fingerprint: call.fingerprint,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            deadline: call.deadline,
        }
    }
}

/// Fate of a call or of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// The target answered.
    Answered(Answer),
    /// No byte went to a target.
    NotRun(NotRunReason),
    /// It may have run; the reason is for the caller.
    Unknown(&'static str),
}

impl Fate {
    /// Name on the wire and in logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Fate::Answered(_) => "answered",
            Fate::NotRun(_) => "not-run",
            Fate::Unknown(_) => "unknown",
        }
    }

    /// Reason on the wire and in logs, empty for an answer.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Fate::Answered(_) => "",
            Fate::NotRun(reason) => reason.name(),
            Fate::Unknown(reason) => reason,
        }
    }

    /// Joins this fate with earlier attempts of the same submission: `not run` holds only if it
    /// holds of every attempt.
    pub(crate) fn after(self, earlier_unknown: Option<&'static str>) -> Fate {
        match (self, earlier_unknown) {
            (Fate::NotRun(_), Some(reason)) => Fate::Unknown(reason),
            (fate, _) => fate,
        }
    }
}
