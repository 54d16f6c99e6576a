//! Members of the mesh: one node per target host, and the target beside it.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

/// Name of a node, unique in the mesh; kept across restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub String);

impl std::fmt::Display for NodeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// What the mesh believes of a member; a later state wins over an earlier one of the same
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Answers its peers.
    Live,
    /// Some peer lost its link to it.
    Suspect,
    /// Finishes what is in flight and takes no new work.
    Draining,
    /// Stopped on purpose, or suspect for too long.
    Left,
}

/// The target beside a node, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service that it runs.
    pub service: String,
    /// Name of this start of the target; empty where targets have none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub instance: String,
    /// `ip:port` of its HTTP server.
    pub address: String,
    /// Requests that it runs at a time.
    pub slot_count: u32,
    /// Labels that subsets select by.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub labels: BTreeMap<String, String>,
    /// Whether the target asked for no new work.
    #[serde(default)]
    pub draining: bool,
}

/// What a target says of itself, with what orders it among others that may come late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The target.
    pub target: Target,
    /// When this start of the target began, in Unix milliseconds; 0 if it does not say.
    pub started_at_ms: u64,
    /// Grows with each announcement of one start.
    pub sequence: u64,
    /// How much longer the target is slow after its start, in milliseconds.
    pub cold_start_remaining_ms: u64,
}

/// One member as it is gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node.
    pub node_id: NodeId,
    /// Start of the process in Unix milliseconds; a later start replaces an earlier one.
    pub generation_ms: u64,
    /// Counter that only the member itself raises.
    pub incarnation: u64,
    /// State that the mesh believes.
    pub state: MemberState,
    /// Region of the availability zone.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// `ip:port` of its control listener.
    pub control_address: String,
    /// `ip:port` of its call listener.
    pub call_address: String,
    /// Shortest way to the platform's log and back, in milliseconds.
    #[serde(default)]
    pub log_round_trip_ms: u64,
    /// Width of the host's link, in megabits a second; 0 if it is not known.
    #[serde(default)]
    pub link_mbps: u32,
    /// Target beside it, if one announced itself.
    pub target: Option<Target>,
}

impl Member {
    /// Returns the order in which two reports about one node are ranked; the greater one wins.
    pub fn rank(&self) -> (u64, u64, MemberState) {
        (self.generation_ms, self.incarnation, self.state)
    }

    /// Returns the target if it takes new work.
    pub fn serving_target(&self) -> Option<&Target> {
        if self.state > MemberState::Suspect {
            return None;
        }
        self.target.as_ref().filter(|target| !target.draining)
    }
}
