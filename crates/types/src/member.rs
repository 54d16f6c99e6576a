//! Members of the mesh: one node per host of a target, and the target beside it.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

/// Name of a node; unique in the mesh and kept across restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub String);

impl std::fmt::Display for NodeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// State of a member as seen by the mesh; within one incarnation, a later variant overrides an
/// earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", from = "ReceivedState")]
pub enum MemberState {
    /// Answers its peers.
    Live,
    /// A peer lost its link to the member.
    Suspect,
    /// Finishes the calls in flight and accepts no new ones. A state that only a later build knows is
    /// read as this one.
    Draining,
    /// Stopped on purpose, remained suspect until the timeout, or lost a link while draining.
    Left,
}

/// State in a message of a peer, whose build may know further ones.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ReceivedState {
    Live,
    Suspect,
    Left,
    #[serde(other)]
    Draining,
}

impl From<ReceivedState> for MemberState {
    fn from(received: ReceivedState) -> Self {
        match received {
            ReceivedState::Live => MemberState::Live,
            ReceivedState::Suspect => MemberState::Suspect,
            ReceivedState::Left => MemberState::Left,
            ReceivedState::Draining => MemberState::Draining,
        }
    }
}

/// Target beside a node, as the target announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service that the target runs.
    pub service: String,
    /// Name of the running instance of the target; empty if targets announce none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub instance: String,
    /// Start time of the target, in Unix milliseconds; 0 if not announced. With the instance it
    /// identifies one run of the target.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub started_at_ms: u64,
    /// `ip:port` of its HTTP server.
    pub address: String,
    /// Number of requests that the target runs concurrently.
    pub slot_count: u32,
    /// Labels by which subsets select targets.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub labels: BTreeMap<String, String>,
    /// Whether the target asked to receive no new calls.
    #[serde(default)]
    pub draining: bool,
}

/// Label that holds the version of a target's software.
pub const VERSION_LABEL: &str = "version";

impl Target {
    /// Returns the version of the target's software; empty if it states none.
    pub fn version(&self) -> &str {
        self.labels.get(VERSION_LABEL).map_or("", String::as_str)
    }

    /// Returns whether the target names its instance and its start, so that its runs can be told
    /// apart.
    pub fn is_identified(&self) -> bool {
        !self.instance.is_empty() && self.started_at_ms > 0
    }

    /// Returns whether the target is the run of `instance` that started at `started_at_ms`, in Unix
    /// milliseconds.
    pub fn is_run(&self, instance: &str, started_at_ms: u64) -> bool {
        self.instance == instance && self.started_at_ms == started_at_ms
    }
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Announcement of a target, with the fields that order announcements even if some arrive late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Announced target.
    pub target: Target,
    /// Sequence number, increasing with each announcement of one run of the target.
    pub sequence: u64,
    /// Remaining time of the cold start, during which the target is slow, in milliseconds.
    pub cold_start_remaining_ms: u64,
}

/// Member of the mesh, as nodes gossip it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node.
    pub node_id: NodeId,
    /// Start time of the process, in Unix milliseconds; a later start replaces an earlier one.
    pub generation_ms: u64,
    /// Counter that only the member itself increments.
    pub incarnation: u64,
    /// State as seen by the mesh.
    pub state: MemberState,
    /// Region of the availability zone.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// `ip:port` of its control listener.
    pub control_address: String,
    /// `ip:port` of its call listener.
    pub call_address: String,
    /// Shortest round trip to the platform's log, in milliseconds.
    #[serde(default)]
    pub log_round_trip_ms: u64,
    /// Bandwidth of the host's link, in megabits per second; 0 if unknown.
    #[serde(default)]
    pub link_mbps: u32,
    /// Target beside the node, if one has announced itself.
    pub target: Option<Target>,
}

impl Member {
    /// Returns the key that orders updates of one node; the update with the greatest key wins.
    pub fn rank(&self) -> (u64, u64, MemberState) {
        (self.generation_ms, self.incarnation, self.state)
    }

    /// Returns the target if it accepts new calls.
    pub fn serving_target(&self) -> Option<&Target> {
        if self.state > MemberState::Suspect {
            return None;
        }
        self.target.as_ref().filter(|target| !target.draining)
    }
}
