//! Requests of a simulated run, and what happened in it.

use std::time::{
    Duration,
    Instant, //
};

use figway_rollout::{
    RunSample,
    StatusState, //
};

use super::log::SimLog;

/// Request that runs at a target.
pub(crate) struct Running {
    pub(crate) ends_at: Instant,
    pub(crate) node: usize,
    pub(crate) route: usize,
    pub(crate) sample: RunSample,
    pub(crate) is_bad: bool,
    pub(crate) is_cold: bool,
}

/// A request as it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) at: Duration,
    pub(crate) version: &'static str,
}

/// What happened in a run.
pub(crate) struct Outcome {
    pub(crate) sent: Vec<Sent>,
    /// When answers of the new version were bad beyond what any version's are.
    pub(crate) bad_at: Vec<Duration>,
    /// Ends in the log, with the version and the time of the append.
    pub(crate) ends: Vec<(String, StatusState, Duration)>,
    pub(crate) log: SimLog,
}
