//! What the log holds of a rollout, and what to append to it.
//!
//! A record is appended only at the end that was read together with the newest status, so that of
//! two nodes that decide at the same time one reads what the other has appended.

use std::time::Instant;

use figway_types::Offset;

use crate::phase::Phase;
use crate::rollout::Rollout;

/// State of a rollout in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusState {
    /// The rollout has begun.
    Running,
    /// The new version serves everything.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

/// Newest status of a service in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Service.
    pub service: String,
    /// Version of the order.
    pub target_version: String,
    /// State.
    pub state: StatusState,
}

/// Status with its place in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusRecord {
    /// Status.
    pub status: RolloutStatus,
    /// Offset of its record.
    pub offset: Offset,
}

/// What to do after the newest status of a service was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusStep {
    /// Nothing.
    Nothing,
    /// Take over what the log holds.
    Adopt(Phase),
    /// The log holds that the rollout is running.
    Recorded,
    /// Append this state at the end that was read.
    Append(StatusState),
}

/// Returns whether the log has to be asked for the status of `rollout`.
pub fn needs_status(rollout: &Rollout, now: Instant) -> bool {
    match rollout.phase {
        Phase::Completed | Phase::RolledBack => false,
        Phase::Stopped => true,
        Phase::Full => rollout.is_settled(now),
        Phase::Canary | Phase::Rising => !rollout.recorded || rollout.awaits_log(now),
    }
}

/// Decides what to do with the `newest` status of the service of `rollout`. `has_targets` says whether
/// targets of the new version serve.
pub fn plan_status(
    rollout: &Rollout,
    newest: Option<&StatusRecord>,
    has_targets: bool,
    now: Instant,
) -> StatusStep {
    if rollout.phase.is_final() {
        return StatusStep::Nothing;
    }
    let own = newest.filter(|record| {
        record.status.target_version == rollout.order.target_version
            && rollout.owns_status(record.status.state, record.offset)
    });
    match own.map(|record| record.status.state) {
        Some(StatusState::Completed) => StatusStep::Adopt(Phase::Completed),
        Some(StatusState::RolledBack) => StatusStep::Adopt(Phase::RolledBack),
        None => StatusStep::Append(StatusState::Running),
        Some(StatusState::Running) => match rollout.phase {
            Phase::Stopped => StatusStep::Append(StatusState::RolledBack),
            Phase::Full if has_targets && rollout.is_settled(now) => {
                StatusStep::Append(StatusState::Completed)
            }
            _ if !rollout.recorded => StatusStep::Recorded,
            _ => StatusStep::Nothing,
        },
    }
}
