//! Power of two choices by expected latency, nearest targets first.

use std::time::{
    Duration,
    Instant, //
};

use figway_cost::RequestClass;
use figway_types::{
    mix,
    NodeId,
    RateLimit, //
};

use crate::load::LoadTracker;

/// Number of calls per slot of the picked target at or above which targets at the next distance are
/// considered too.
const SPILL_RATIO: f64 = 0.8;

/// Multiple of the fastest known latency above which a target counts as slow, so that targets at
/// the next distance are considered too.
const SLOW_FACTOR: f64 = 3.0;

/// Lower bound of the latency in a target's cost, in microseconds; it also stands in for the
/// latency of a target without samples.
const LATENCY_MIN_US: f64 = 1_000.0;

/// How far a target is from the node that calls it, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Beside the node, on the same host.
    Host,
    /// In the node's zone.
    Zone,
    /// In another zone of the node's region.
    Region,
    /// In another region.
    Far,
}

impl Distance {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Distance::Host => "host",
            Distance::Zone => "zone",
            Distance::Region => "region",
            Distance::Far => "far",
        }
    }

    /// Returns the round trip that is assumed until one is measured, in microseconds.
    pub fn assumed_round_trip_us(self) -> f64 {
        match self {
            Distance::Host => 0.0,
            Distance::Zone => 200.0,
            Distance::Region => 2_000.0,
            Distance::Far => 16_000.0,
        }
    }
}

/// Target that may run the call; a borrowed view of a member.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Node beside the target.
    pub node_id: &'a NodeId,
    /// Number of requests that the target runs concurrently.
    pub slot_count: u32,
    /// Rate limit that the target states for the calls of all nodes together.
    pub rate_limit: Option<RateLimit>,
    /// Distance from the calling node.
    pub distance: Distance,
    /// Round trip to the target's node, in microseconds.
    pub round_trip_us: f64,
    /// Whether the node is suspected because a peer lost its connection to it.
    pub suspect: bool,
}

impl Candidate<'_> {
    /// Returns the number of calls that run for `ran_ms` each and that the target can run at once: its
    /// slots, or fewer if its rate limit starts calls more slowly than the slots become free.
    pub fn concurrency(&self, ran_ms: f64) -> f64 {
        let slot_count = f64::from(self.slot_count.max(1));
        match self.rate_limit {
            Some(limit) => slot_count.min(limit.per_s() * ran_ms / 1_000.0),
            None => slot_count,
        }
    }
}

/// Properties of a call that a picker uses.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// Request kind or route.
    pub kind: &'a str,
    /// Time until an answer loses part of its worth.
    pub prompt_left: Duration,
    /// Time until the caller stops waiting.
    pub deadline_left: Duration,
}

/// A pick and why it was made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Picked {
    /// Index into the candidates.
    pub index: usize,
    /// Expected cost, in a unit that each picker defines; lower is better.
    pub cost: f64,
    /// Price of the call's bytes, as a fraction of its worth; 0 if the picker knows no prices.
    pub price: f64,
    /// Expected time until the answer, if the picker estimates it.
    pub expected: Option<Duration>,
    /// Reason for the log line.
    pub reason: &'static str,
}

/// What a call is expected to meet at a candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weighed {
    /// Run time, in milliseconds.
    pub ran_ms: f64,
    /// Time until a slot is free, in milliseconds.
    pub wait_ms: f64,
    /// Time on the path there and back, in milliseconds.
    pub path_ms: f64,
    /// Price of the call's bytes, as a fraction of its worth.
    pub price: f64,
    /// Expected loss by which candidates are compared.
    pub loss: f64,
}

/// Chooses among candidates, which are sorted by distance.
pub trait TargetPicker: Send {
    /// Returns the pick, or `None` if every candidate is excluded. `excluded` contains the nodes
    /// that the call has already tried.
    fn pick(
        &mut self,
        call: &CallContext<'_>,
        candidates: &[Candidate<'_>],
        excluded: &[&NodeId],
        loads: &LoadTracker,
        now: Instant,
    ) -> Option<Picked>;

    /// As [`pick`](Self::pick), for a picker that estimates the cost of a call by its class.
    fn pick_for_class(
        &mut self,
        call: &CallContext<'_>,
        _class: &RequestClass<'_>,
        candidates: &[Candidate<'_>],
        excluded: &[&NodeId],
        loads: &LoadTracker,
        now: Instant,
    ) -> Option<Picked> {
        self.pick(call, candidates, excluded, loads, now)
    }

    /// Returns what the call is expected to meet at the candidate, if the picker estimates it.
    fn weigh(
        &self,
        _call: &CallContext<'_>,
        _class: &RequestClass<'_>,
        _candidate: &Candidate<'_>,
        _loads: &LoadTracker,
        _now: Instant,
    ) -> Option<Weighed> {
        None
    }
}

/// Picks the cheaper of two random candidates at the nearest distance. If that one is loaded or
/// slow, the next distance is considered too.
#[derive(Debug)]
pub struct TwoChoices {
    seed: u64,
}

impl TwoChoices {
    /// Creates a picker whose random sequence starts at `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed }
    }

    fn random_below(&mut self, bound: usize) -> usize {
        self.seed = mix(self.seed);
        (self.seed % bound as u64) as usize
    }

    fn pick_of_two(
        &mut self,
        candidates: &[Candidate<'_>],
        indexes: &[usize],
        loads: &LoadTracker,
        now: Instant,
    ) -> Picked {
        let first = self.random_below(indexes.len());
        let mut best = picked(candidates, indexes[first], loads, now);
        if indexes.len() > 1 {
            let step = 1 + self.random_below(indexes.len() - 1);
            let second = (first + step) % indexes.len();
            let other = picked(candidates, indexes[second], loads, now);
            if other.cost < best.cost {
                best = other;
            }
        }
        best
    }
}

impl TargetPicker for TwoChoices {
    fn pick(
        &mut self,
        _: &CallContext<'_>,
        candidates: &[Candidate<'_>],
        excluded: &[&NodeId],
        loads: &LoadTracker,
        now: Instant,
    ) -> Option<Picked> {
        let usable = usable(candidates, excluded, loads, now);
        let mut best: Option<Picked> = None;
        let mut rest: &[usize] = &usable;
        while let Some(first) = rest.first() {
            let distance = candidates[*first].distance;
            let tier_len = rest.partition_point(|index| candidates[*index].distance == distance);
            let (tier, farther) = rest.split_at(tier_len);
            rest = farther;
            let picked = self.pick_of_two(candidates, tier, loads, now);
            let better = best.is_none_or(|best| picked.cost < best.cost);
            if better {
                let spilled = best.is_some();
                best = Some(Picked {
                    reason: if spilled { "spill" } else { picked.reason },
                    ..picked
                });
            }
            if !should_spill(candidates, &picked, loads, now) {
                break;
            }
        }
        best
    }
}

/// Returns the indexes of the candidates that can be called. Tried nodes are left out; suspects and
/// targets with a recent refusal are returned only if there are no others.
pub(crate) fn usable(
    candidates: &[Candidate<'_>],
    excluded: &[&NodeId],
    loads: &LoadTracker,
    now: Instant,
) -> Vec<usize> {
    let mut good = Vec::with_capacity(candidates.len());
    let mut doubtful = Vec::new();
    for (index, candidate) in candidates.iter().enumerate() {
        if excluded.contains(&candidate.node_id) {
            continue;
        }
        if candidate.suspect || loads.has_recent_refusal(candidate.node_id, now) {
            doubtful.push(index);
            continue;
        }
        good.push(index);
    }
    if good.is_empty() {
        return doubtful;
    }
    good
}

fn picked(candidates: &[Candidate<'_>], index: usize, loads: &LoadTracker, now: Instant) -> Picked {
    let candidate = &candidates[index];
    Picked {
        index,
        cost: cost_us(candidate, loads, now),
        price: 0.0,
        expected: None,
        reason: candidate.distance.name(),
    }
}

/// Returns the expected latency of a call to the candidate, in microseconds.
fn cost_us(candidate: &Candidate<'_>, loads: &LoadTracker, now: Instant) -> f64 {
    let latency_us = loads.latency_us(candidate.node_id, now).max(LATENCY_MIN_US);
    let busy_ratio = loads.busy_ratio(candidate.node_id, candidate.slot_count, now);
    latency_us * (1.0 + busy_ratio) + candidate.round_trip_us
}

/// Returns whether the next distance should be considered: the pick is loaded, so that a call might
/// wait there, or much slower than the fastest known candidate.
fn should_spill(
    candidates: &[Candidate<'_>],
    picked: &Picked,
    loads: &LoadTracker,
    now: Instant,
) -> bool {
    let candidate = &candidates[picked.index];
    if loads.busy_ratio(candidate.node_id, candidate.slot_count, now) >= SPILL_RATIO {
        return true;
    }
    let own_us = loads.latency_us(candidate.node_id, now);
    let mut fastest_us = f64::INFINITY;
    for other in candidates.iter().take(SLOW_SCAN_MAX_COUNT) {
        let other_us = loads.latency_us(other.node_id, now);
        if other_us >= 1.0 {
            fastest_us = fastest_us.min(other_us);
        }
    }
    own_us > SLOW_FACTOR * fastest_us
}

/// Maximum number of candidates whose latencies are compared with that of the pick.
const SLOW_SCAN_MAX_COUNT: usize = 32;
