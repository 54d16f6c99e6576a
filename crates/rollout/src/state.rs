//! State of a rollout in messages between nodes.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::Offset;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::excluded::ExcludedVersions;
use crate::order::RolloutOrder;
use crate::phase::Phase;
use crate::probe::Probe;

/// State of a rollout in messages between nodes. Times are ages, since clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The order.
    pub order: RolloutOrder,
    /// Offset of the order in the operator's topic.
    pub order_offset: Offset,
    /// Time since the order was read, in milliseconds.
    pub age_ms: u64,
    /// Phase.
    pub phase: Phase,
    /// Time since the phase began, in milliseconds.
    pub phase_age_ms: u64,
    /// Version that the service ran before, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// Versions of earlier rollouts that did not complete.
    #[serde(default, skip_serializing_if = "ExcludedVersions::is_empty")]
    pub excluded_versions: ExcludedVersions,
    /// Version of the order before this one, if that was completed after this one was read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub completed_before: Option<String>,
    /// Whether the log holds that the rollout is running.
    #[serde(default)]
    pub recorded: bool,
    /// Offset of the newest status of this rollout in the log that was written or read.
    #[serde(default)]
    pub status_at: Option<Offset>,
    /// Offset of the newest status in the log of an earlier order of the service, if known.
    #[serde(default)]
    pub earlier_status_at: Option<Offset>,
    /// Whether the order replaced one whose end may still be written.
    #[serde(default)]
    pub replaces_open: bool,
    /// Whether the order was read as soon as it was written, so that an end in the log is of an earlier
    /// order.
    #[serde(default)]
    pub fresh: bool,
    /// What the node that decides asks of the canary.
    #[serde(default)]
    pub probe: Probe,
}

/// Returns the time `age_ms` before `now`, or `now` if there is no such time.
pub(crate) fn instant_before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}
