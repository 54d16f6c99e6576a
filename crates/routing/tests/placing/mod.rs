//! Plays the load of a service with many targets on many callers, each of which calls a given target
//! rarely. Targets admit calls as nodes do.

mod player;
mod target;

use figway_types::mix;

pub(crate) use self::player::play;

/// Seeded random numbers.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// Draws a number from 0 to 1.
    pub(crate) fn ratio(&mut self) -> f64 {
        self.0 = mix(self.0);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Draws an index below `bound`.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.ratio() * bound as f64) as usize
    }
}

/// How targets are picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Picking {
    /// By the mean run time of each kind at each target.
    LeastLoss,
    /// By likely cost and remaining work.
    LeastWork,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) ran_ms: f64,
    pub(crate) prompt_ms: f64,
    pub(crate) deadline_ms: f64,
    pub(crate) body_bytes: usize,
    /// Share of all requests.
    pub(crate) share: f64,
}

/// A load and the targets that serve it.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) zone_count: usize,
    pub(crate) caller_count: usize,
    pub(crate) target_count: usize,
    pub(crate) slot_count: usize,
    pub(crate) kinds: Vec<Kind>,
    /// Speeds of the targets, drawn evenly.
    pub(crate) speeds: Vec<f64>,
    /// Multiple of the mean that 3 in 100 runs take.
    pub(crate) straggler_ratio: f64,
    /// Whether each target is 2.5 times slower for 15 in 100 of each 600 ms.
    pub(crate) disturbed: bool,
    /// Amplitude of the load's wave of 17 s, as a fraction of its mean.
    pub(crate) swing_ratio: f64,
    /// Whether each target is beside a caller, which knows its load exactly.
    pub(crate) beside: bool,
    /// Whether answers tell the true mean run time of the kind at the target, and not the one that its
    /// node has learned.
    pub(crate) exact_means: bool,
    pub(crate) queue_per_slot_ratio: f64,
    pub(crate) warm_up_ms: f64,
    pub(crate) end_ms: f64,
}

/// What the callers got, and how the calls were placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Played {
    /// Runs at the target that got most for its speed, over the mean of its zone.
    pub(crate) busiest_ratio: f64,
    /// Share of the calls that waited longer than a prompt answer allows.
    pub(crate) late_ratio: f64,
    /// 99th hundredth of the waits.
    pub(crate) wait_p99_ms: f64,
    /// Share of the calls that left their zone.
    pub(crate) left_zone_ratio: f64,
    /// Share of the requests that were answered in time.
    pub(crate) in_time_ratio: f64,
    pub(crate) latency_mean_ms: f64,
    pub(crate) latency_p95_ms: f64,
}

impl std::fmt::Display for Played {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "in time {:.4} mean {:.1} ms p95 {:.1} ms busiest {:.2} left zone {:.3} late waits {:.4} \
             p99 of waits {:.1} ms",
            self.in_time_ratio,
            self.latency_mean_ms,
            self.latency_p95_ms,
            self.busiest_ratio,
            self.left_zone_ratio,
            self.late_ratio,
            self.wait_p99_ms,
        )
    }
}

/// A call on its way to, at or back from a target.
#[derive(Clone, Copy, Debug)]
struct Call {
    caller: usize,
    kind: usize,
    offered_ms: f64,
    attempt_count: usize,
    refused_by: usize,
    target: usize,
    sent_ms: f64,
    reached_ms: f64,
    started_ms: f64,
}
