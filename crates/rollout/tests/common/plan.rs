//! What a simulated run is made of.

use std::time::Duration;

pub(crate) const SERVICE: &str = "shop";
pub(crate) const OLD: &str = "v1";
pub(crate) const NEW: &str = "v2";

/// What a request meets at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Situation {
    /// Time since the order.
    pub(crate) since_order: Duration,
    /// Index of the route.
    pub(crate) route: usize,
    /// Share of the requests that the version got recently.
    pub(crate) share: f64,
}

/// What a version does beyond what any version does.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Behaviour {
    pub(crate) failed_rate: f64,
    pub(crate) slow_rate: f64,
    pub(crate) slow_factor: f64,
}

/// Faults that hit a simulated run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// The node that decides is killed.
    KillDecider(Duration),
    /// The log is cut off for a time.
    CutLog(Duration, Duration),
    /// Every other answer of the log to an append is lost.
    LoseAnswers,
    /// A second order, for the given version.
    SecondOrder(Duration, &'static str),
    /// A node starts with an empty state.
    StartNode(Duration),
}

/// A simulated run before it starts.
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) target_count: usize,
    pub(crate) rate_per_s: f64,
    pub(crate) duration: Duration,
    pub(crate) behaviour: fn(&str, Situation) -> Behaviour,
    pub(crate) faults: Vec<Fault>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            target_count: 30,
            rate_per_s: 1_000.0,
            duration: Duration::from_secs(12),
            behaviour: |_, _| Behaviour::default(),
            faults: Vec::new(),
        }
    }
}
