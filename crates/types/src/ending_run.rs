//! Runs of targets that have begun to end. A run never goes back to an earlier stage; only a later
//! start of the target is ready again.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::NodeId;

/// Stage of a run that has begun to end; a later variant follows an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStage {
    /// The target accepts no new calls.
    Draining,
    /// The target has left. A stage that only a later build knows is read as this one.
    #[serde(other)]
    Departed,
}

/// Report that a run of a target has begun to end, as nodes gossip it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndingRun {
    /// Node beside the target.
    pub node_id: NodeId,
    /// Name of the target's instance.
    pub instance: String,
    /// Start time of the target, in Unix milliseconds. With the instance it identifies the run.
    pub started_at_ms: u64,
    /// Stage that the run has reached.
    pub stage: RunStage,
    /// Time until the report expires, in milliseconds; the receiver stores it as a deadline.
    pub left_ms: u64,
}
