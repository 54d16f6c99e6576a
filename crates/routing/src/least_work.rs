//! Picks the target where a call is expected to lose the least of its worth, by what it is likely to
//! cost there and by the work that the target has still to do.
//!
//! Of each distance a few targets are drawn, in proportion to the calls that they complete in a given
//! time, and only these are looked up. So a pick takes about the same time for any number of targets.

use std::time::{
    Duration,
    Instant, //
};

use figway_cost::RequestClass;
use figway_types::{
    mix,
    NodeId, //
};

use crate::least_loss::{
    as_ms,
    bounded_price,
    exceeds,
    keep_least,
    TransitPrices,
    FAILED_LOSS,
    LATE_LOSS,
    RAN_SPREAD_RATIO,
    SPREAD_MIN_MS,
    UNANSWERED_LOSS,
    UNKNOWN_BODY_BYTES,
    WAIT_SPREAD_RATIO, //
};
use crate::load::{
    ExpectedCall,
    LoadTracker,
    RunCost, //
};
use crate::picker::{
    usable,
    CallContext,
    Candidate,
    Picked,
    TargetPicker,
    Weighed, //
};

/// Weight of the expected latency, so that of several targets that all answer in time the one with the
/// least work is picked.
const LATENCY_WEIGHT: f64 = 0.3;

/// Number of targets of one distance that are compared for a call.
const SAMPLE_COUNT: usize = 4;

/// Latency by which another drawn target must be better than the first one, as a fraction of the cost.
/// Targets are drawn by their speed, so that small differences need no further weight.
const SWITCH_COST_RATIO: f64 = 0.1;

/// Largest number of draws for one distance, which bounds the time of a pick.
const DRAW_MAX_COUNT: usize = 32;

/// Factor at or below which a drawn target is always taken. Targets of higher factors are taken in
/// proportion to their throughput.
const FACTOR_MIN: f64 = 0.5;

/// Picks the candidate with the least expected loss by cost and remaining work.
#[derive(Debug)]
pub struct LeastWork {
    prices: TransitPrices,
    seed: u64,
}

/// A call with its expected cost, and what the choice of its target depends on.
struct CostedCall<'a> {
    call: &'a CallContext<'a>,
    cost: RunCost,
    /// Sizes of the bodies, in bytes, if anything is known of them.
    body_bytes: Option<f64>,
    excluded: &'a [&'a NodeId],
    loads: &'a LoadTracker,
    now: Instant,
}

impl<'a> CostedCall<'a> {
    fn new(
        call: &'a CallContext<'a>,
        class: &RequestClass<'_>,
        excluded: &'a [&'a NodeId],
        loads: &'a LoadTracker,
        now: Instant,
    ) -> Self {
        Self {
            call,
            cost: loads.run_cost(class, now),
            body_bytes: known_bytes(loads.body_bytes(class.kind), class.body_bytes),
            excluded,
            loads,
            now,
        }
    }

    fn is_usable(&self, candidate: &Candidate<'_>) -> bool {
        !candidate.suspect
            && !self.excluded.contains(&candidate.node_id)
            && !self.loads.has_recent_refusal(candidate.node_id, self.now)
    }

    fn expected_ms(expected: &ExpectedCall, candidate: &Candidate<'_>) -> f64 {
        let path_ms = candidate.round_trip_us / 1_000.0 + expected.overhead_ms;
        expected.ran_ms + expected.wait_ms + path_ms
    }

    /// Returns the calls that the candidate completes in a given time.
    fn throughput(&self, candidate: &Candidate<'_>) -> f64 {
        let factor = self.loads.factor(candidate.node_id, self.now);
        candidate.concurrency(self.cost.cost_ms * factor) / factor
    }

    /// Returns the calls that the best candidate would complete in a given time at [`FACTOR_MIN`].
    fn max_throughput(&self, candidates: &[Candidate<'_>]) -> f64 {
        let mut max_throughput: f64 = 0.0;
        for candidate in candidates {
            let throughput = candidate.concurrency(self.cost.cost_ms) / FACTOR_MIN;
            max_throughput = max_throughput.max(throughput);
        }
        max_throughput
    }
}

impl LeastWork {
    /// Creates a picker that charges `prices` for bytes and whose random sequence starts at `seed`.
    pub fn new(prices: TransitPrices, seed: u64) -> Self {
        Self { prices, seed }
    }

    fn loss(&self, costed: &CostedCall<'_>, candidate: &Candidate<'_>) -> f64 {
        let expected = costed.loads.expect(&costed.cost, candidate, costed.now);
        let expected_ms = CostedCall::expected_ms(&expected, candidate);
        let spread_ms = RAN_SPREAD_RATIO * expected.ran_ms
            + WAIT_SPREAD_RATIO * expected.wait_ms
            + SPREAD_MIN_MS;
        let prompt_ms = as_ms(costed.call.prompt_left);
        let late = exceeds(expected_ms, prompt_ms, spread_ms);
        let unanswered = exceeds(expected_ms, as_ms(costed.call.deadline_left), spread_ms);
        let price = self.prices.price(candidate.distance, costed.body_bytes);
        LATE_LOSS * late
            + UNANSWERED_LOSS * unanswered
            + FAILED_LOSS * expected.failed_ratio
            + bounded_price(price)
            + LATENCY_WEIGHT * ((expected_ms - expected.ran_ms) / prompt_ms.max(1.0)).min(1.0)
    }

    /// Draws candidates of `tier`, which are all of one distance, and keeps the one with the least loss in
    /// `best`.
    fn compare_tier(
        &mut self,
        costed: &CostedCall<'_>,
        candidates: &[Candidate<'_>],
        tier: std::ops::Range<usize>,
        best: &mut Option<(usize, f64)>,
    ) {
        let prompt_ms = as_ms(costed.call.prompt_left).max(1.0);
        let switch_ms = SWITCH_COST_RATIO * costed.cost.cost_ms;
        let mut switch_loss = 0.0;
        let max_throughput = costed.max_throughput(&candidates[tier.clone()]);
        let mut sampled_count = 0;
        for _ in 0..DRAW_MAX_COUNT {
            let index = tier.start + self.random_below(tier.len());
            let candidate = &candidates[index];
            if !costed.is_usable(candidate) {
                continue;
            }
            if self.random_ratio() * max_throughput > costed.throughput(candidate) {
                continue;
            }
            let loss = self.loss(costed, candidate);
            keep_least(best, index, loss + switch_loss);
            switch_loss = LATENCY_WEIGHT * (switch_ms / prompt_ms).min(1.0);
            sampled_count += 1;
            if sampled_count == SAMPLE_COUNT {
                return;
            }
        }
        if sampled_count > 0 {
            return;
        }
        // Few targets can be used, so that none was drawn.
        for index in tier {
            if costed.is_usable(&candidates[index]) {
                let loss = self.loss(costed, &candidates[index]);
                keep_least(best, index, loss);
            }
        }
    }

    fn random_ratio(&mut self) -> f64 {
        self.seed = mix(self.seed);
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn random_below(&mut self, bound: usize) -> usize {
        (self.random_ratio() * bound as f64) as usize
    }
}

impl TargetPicker for LeastWork {
    fn pick(
        &mut self,
        call: &CallContext<'_>,
        candidates: &[Candidate<'_>],
        excluded: &[&NodeId],
        loads: &LoadTracker,
        now: Instant,
    ) -> Option<Picked> {
        let class = RequestClass {
            kind: call.kind,
            body_bytes: 0,
            customer: None,
        };
        self.pick_for_class(call, &class, candidates, excluded, loads, now)
    }

    fn pick_for_class(
        &mut self,
        call: &CallContext<'_>,
        class: &RequestClass<'_>,
        candidates: &[Candidate<'_>],
        excluded: &[&NodeId],
        loads: &LoadTracker,
        now: Instant,
    ) -> Option<Picked> {
        let costed = CostedCall::new(call, class, excluded, loads, now);
        let mut best: Option<(usize, f64)> = None;
        let mut start = 0;
        while start < candidates.len() {
            let distance = candidates[start].distance;
            let rest = &candidates[start..];
            let end = start + rest.partition_point(|other| other.distance <= distance);
            // No target of this distance can lose less than the price of the bytes.
            let least_loss = bounded_price(self.prices.price(distance, costed.body_bytes));
            if best.is_none_or(|(_, best_loss)| best_loss > least_loss) {
                self.compare_tier(&costed, candidates, start..end, &mut best);
            }
            start = end;
        }
        if best.is_none() {
            for index in usable(candidates, excluded, loads, now) {
                keep_least(&mut best, index, self.loss(&costed, &candidates[index]));
            }
        }
        let (index, cost) = best?;
        let candidate = &candidates[index];
        let expected = loads.expect(&costed.cost, candidate, now);
        let expected_ms = CostedCall::expected_ms(&expected, candidate);
        Some(Picked {
            index,
            cost,
            price: self.prices.price(candidate.distance, costed.body_bytes),
            expected: Duration::try_from_secs_f64(expected_ms / 1_000.0).ok(),
            reason: candidate.distance.name(),
        })
    }

    fn weigh(
        &self,
        call: &CallContext<'_>,
        class: &RequestClass<'_>,
        candidate: &Candidate<'_>,
        loads: &LoadTracker,
        now: Instant,
    ) -> Option<Weighed> {
        let costed = CostedCall::new(call, class, &[], loads, now);
        let expected = loads.expect(&costed.cost, candidate, now);
        Some(Weighed {
            ran_ms: expected.ran_ms,
            wait_ms: expected.wait_ms,
            path_ms: candidate.round_trip_us / 1_000.0 + expected.overhead_ms,
            price: self.prices.price(candidate.distance, costed.body_bytes),
            loss: self.loss(&costed, candidate),
        })
    }
}

/// Returns the size of the bodies of a call, if the kind's mean is known or its own request body is large.
fn known_bytes(mean_bytes: Option<f64>, request_bytes: usize) -> Option<f64> {
    let request_bytes = request_bytes as f64;
    match mean_bytes {
        Some(mean_bytes) => Some(mean_bytes.max(request_bytes)),
        None if request_bytes > UNKNOWN_BODY_BYTES => Some(request_bytes),
        None => None,
    }
}
