//! A simulated node.

use figway_rate_limit::{
    LimitBounds,
    LimitCoordinator,
    UsageMeter,
    COORDINATOR_COUNT, //
};

/// State of a node.
pub(super) struct Node {
    pub(super) is_up: bool,
    pub(super) started_ms: u64,
    /// When the node has met others after its start.
    pub(super) joined_ms: u64,
    /// When the limits come into force at the node.
    pub(super) begun_ms: u64,
    /// Nodes of different groups can't reach each other.
    pub(super) group: u32,
    /// Group as the failure detector of the mesh sees it.
    pub(super) seen_group: u32,
    pub(super) meter: UsageMeter,
    pub(super) coordinator: LimitCoordinator,
    pub(super) due_ms: [u64; COORDINATOR_COUNT],
    pub(super) in_flight: [bool; COORDINATOR_COUNT],
}

/// Returns a node that starts at `started_ms`.
pub(super) fn new_node(seed: u64, started_ms: u64) -> Node {
    Node {
        is_up: true,
        started_ms,
        joined_ms: 0,
        begun_ms: 0,
        group: 0,
        seen_group: 0,
        meter: UsageMeter::new(LimitBounds::default(), seed),
        coordinator: LimitCoordinator::new(LimitBounds::default()),
        due_ms: [0; COORDINATOR_COUNT],
        in_flight: [false; COORDINATOR_COUNT],
    }
}
