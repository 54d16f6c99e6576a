//! Pick of two by expected latency, nearest targets first.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    mix,
    NodeId, //
};

use crate::load::LoadTracker;

/// Calls per slot from which the next distance is weighed too.
const SPILL_RATIO: f64 = 0.8;

/// Latency above which a near target is weighed against the next distance, as a multiple of it.
const SLOW_FACTOR: f64 = 3.0;

/// Latency that is assumed of a target without samples, in microseconds.
const UNKNOWN_LATENCY_US: f64 = 1_000.0;

/// How far a target is from the node that calls it, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Beside the node.
    Host,
    /// In the node's availability zone.
    Zone,
    /// In another zone of the node's region.
    Region,
    /// In another region.
    Far,
}

impl Distance {
    /// Way there and back that is assumed until one is measured, in microseconds.
    pub fn assumed_round_trip_us(self) -> f64 {
        match self {
            Distance::Host => 0.0,
            Distance::Zone => 200.0,
            Distance::Region => 2_000.0,
            Distance::Far => 16_000.0,
        }
    }
}

/// A target that may run the call; a borrowed view of a member.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Node beside the target.
    pub node_id: &'a NodeId,
    /// Requests that the target runs at a time.
    pub slot_count: u32,
    /// How far it is.
    pub distance: Distance,
    /// Way there and back, in microseconds.
    pub round_trip_us: f64,
    /// Whether some peer lost its link to it.
    pub suspect: bool,
}

/// What the choice needs to know of a call.
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
    /// What the pick is expected to cost, in the picker's own measure; less is better.
    pub cost: f64,
    /// Time in which the answer is expected, if the picker estimates it.
    pub expected: Option<Duration>,
    /// Reason for the log line.
    pub reason: &'static str,
}

/// Chooses among candidates, which are sorted by distance.
pub trait TargetPicker: Send {
    /// Returns the pick, or none if every candidate is excluded. `excluded` are nodes that this
    /// call tried before.
    fn pick(
        &mut self,
        call: &CallContext<'_>,
        candidates: &[Candidate<'_>],
        excluded: &[&NodeId],
        loads: &LoadTracker,
        now: Instant,
    ) -> Option<Picked>;
}

/// Pick of two random candidates of the nearest distance, then of the next if those are loaded.
#[derive(Debug)]
pub struct TwoChoices {
    seed: u64,
}

impl TwoChoices {
    /// Starts the random sequence at `seed`.
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
            if !is_strained(candidates, &picked, loads, now) {
                break;
            }
        }
        best
    }
}

/// Returns the candidates that take calls: without those that were tried; and without suspects and
/// those that refused lately, unless no other is left.
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
        expected: None,
        reason: distance_name(candidate.distance),
    }
}

/// Name of a distance in logs.
pub(crate) fn distance_name(distance: Distance) -> &'static str {
    match distance {
        Distance::Host => "host",
        Distance::Zone => "zone",
        Distance::Region => "region",
        Distance::Far => "far",
    }
}

/// Returns the latency that a call to the candidate is expected to have, in microseconds.
fn cost_us(candidate: &Candidate<'_>, loads: &LoadTracker, now: Instant) -> f64 {
    let latency_us = loads
        .latency_us(candidate.node_id, now)
        .max(UNKNOWN_LATENCY_US);
    let busy_ratio = loads.busy_ratio(candidate.node_id, candidate.slot_count, now);
    latency_us * (1.0 + busy_ratio) + candidate.round_trip_us
}

/// Returns whether a call would wait at the pick, or the pick is slower than any other known.
fn is_strained(
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

/// Candidates whose latency a pick is compared with.
const SLOW_SCAN_MAX_COUNT: usize = 32;
