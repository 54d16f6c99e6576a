//! What is known of one run of a target besides its announcement: the rate limit that it states, and
//! that it is leaving. Nodes exchange it in the headers of the calls that they forward.

use figway_types::{
    RateLimit,
    Target, //
};

/// Text of an absent rate limit between nodes.
const NO_LIMIT: &str = "-";

/// Text of the leaving state between nodes.
const LEAVING: &str = "leaving";

/// Text of the opposite of [`LEAVING`].
const STAYING: &str = "staying";

/// State of one run of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TargetState {
    /// Instance of the target.
    pub(crate) instance: String,
    /// Start time of the target, in Unix milliseconds. With the instance it identifies the run.
    pub(crate) started_at_ms: u64,
    /// Rate limit that the target states.
    pub(crate) rate_limit: Option<RateLimit>,
    /// Whether the target stated that it is leaving.
    pub(crate) leaving: bool,
}

impl TargetState {
    /// Returns the state of a run of which nothing is known yet.
    pub(crate) fn of_run(target: &Target) -> Self {
        Self {
            instance: target.instance.clone(),
            started_at_ms: target.started_at_ms,
            ..Self::default()
        }
    }

    /// Returns whether the state is that of the run that `target` announces.
    pub(crate) fn is_of_run(&self, target: &Target) -> bool {
        target.is_run(&self.instance, self.started_at_ms)
    }

    /// Returns whether the state is that of the same run as `other`.
    pub(crate) fn is_same_run(&self, other: &Self) -> bool {
        self.instance == other.instance && self.started_at_ms == other.started_at_ms
    }

    /// Returns whether the target stated a limit, or that it is leaving.
    pub(crate) fn is_notable(&self) -> bool {
        self.rate_limit.is_some() || self.leaving
    }

    /// Encodes the state as `STARTED_AT_MS LIMIT leaving|staying INSTANCE`, with `-` for no limit.
    pub(crate) fn encode(&self) -> String {
        let limit = match self.rate_limit {
            Some(limit) => limit.to_string(),
            None => NO_LIMIT.to_owned(),
        };
        let leaving = if self.leaving { LEAVING } else { STAYING };
        format!("{} {limit} {leaving} {}", self.started_at_ms, self.instance)
    }

    /// Decodes the text of [`TargetState::encode`]. Returns `None` if it is malformed.
    pub(crate) fn decode(text: &str) -> Option<Self> {
        let mut parts = text.splitn(4, ' ');
        let started_at_ms = parts.next()?.parse().ok()?;
        let rate_limit = match parts.next()? {
            NO_LIMIT => None,
            limit => Some(limit.parse().ok()?),
        };
        let leaving = parts.next()? == LEAVING;
        Some(Self {
            instance: parts.next()?.to_owned(),
            started_at_ms,
            rate_limit,
            leaving,
        })
    }
}
