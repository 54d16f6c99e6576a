//! Picks the target where a call is expected to lose the least of its worth: by a late or missing
//! answer, by a failure, and by the price of the bytes that are sent there and back.

use std::time::{
    Duration,
    Instant, //
};

use figway_cost::RequestClass;
use figway_types::{
    mix,
    NodeId, //
};

use crate::load::LoadTracker;
use crate::picker::{
    usable,
    CallContext,
    Candidate,
    Distance,
    Picked,
    TargetPicker,
    Weighed, //
};

/// Fraction of a call's worth that is lost if its answer is late.
pub(crate) const LATE_LOSS: f64 = 0.7;

/// Fraction of a call's worth that is lost, in addition to [`LATE_LOSS`], if it is not answered.
pub(crate) const UNANSWERED_LOSS: f64 = 0.3;

/// Fraction of a call's worth that is lost if its target fails it. It is less than 1, since another
/// attempt often saves some.
pub(crate) const FAILED_LOSS: f64 = 0.8;

/// Price up to which the bytes of a call count in full, as a fraction of its worth.
const FULL_PRICE_MAX: f64 = 0.7;

/// Bound that the counted price of ever more bytes approaches.
const PRICE_BOUND: f64 = 0.85;

/// Weight of the expected latency itself, so that the faster of two equally safe targets is picked.
const LATENCY_WEIGHT: f64 = 0.1;

/// Run time that is assumed for a kind without samples from any target, in milliseconds.
const UNKNOWN_RAN_MS: f64 = 40.0;

/// Spread of run times around their mean, as a fraction of the mean.
pub(crate) const RAN_SPREAD_RATIO: f64 = 0.35;

/// Spread of waits around their mean, as a fraction of the mean.
pub(crate) const WAIT_SPREAD_RATIO: f64 = 0.5;

/// Lower bound of the spread, in milliseconds.
pub(crate) const SPREAD_MIN_MS: f64 = 4.0;

/// Upper bound of the random loss that is added to each candidate, so that nodes do not all pick
/// the same of several equal targets.
const JITTER: f64 = 0.02;

/// Number of targets of one distance that are compared for a call. Of more targets at that distance
/// some are drawn: a node that calls each of them rarely does not know which has room now, and nodes
/// that all took the best by the same stale estimates would overload it.
const SAMPLE_COUNT: usize = 4;

/// Loss by which another drawn target must be better than the first one. It is above the differences
/// between idle targets of different speed, so that these get calls in proportion to their speed.
const SWITCH_LOSS: f64 = 0.15;

/// Lower bound of the run time by which targets are drawn, in milliseconds.
const RAN_MIN_MS: f64 = 0.1;

/// Bytes that are assumed for the bodies of a kind without answers so far.
pub(crate) const UNKNOWN_BODY_BYTES: f64 = 2_000.0;

/// Bytes of a request and its answer without their bodies: the heads, including what the two nodes
/// add.
const HEAD_BYTES: f64 = 1_200.0;

/// Prices of bytes between zones and regions, as a fraction of one call's worth per kilobyte.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransitPrices {
    /// Price between zones of one region.
    pub region_per_kb: f64,
    /// Price between regions.
    pub far_per_kb: f64,
}

impl Default for TransitPrices {
    fn default() -> Self {
        Self {
            region_per_kb: 0.04,
            far_per_kb: 0.12,
        }
    }
}

impl TransitPrices {
    pub(crate) fn price(&self, distance: Distance, body_bytes: Option<f64>) -> f64 {
        let kilobytes = (HEAD_BYTES + body_bytes.unwrap_or(UNKNOWN_BODY_BYTES)) / 1_024.0;
        match distance {
            Distance::Host | Distance::Zone => 0.0,
            Distance::Region => self.region_per_kb * kilobytes,
            Distance::Far => self.far_per_kb * kilobytes,
        }
    }
}

/// Picks the candidate with the least expected loss of worth.
#[derive(Debug)]
pub struct LeastLoss {
    prices: TransitPrices,
    seed: u64,
}

impl LeastLoss {
    /// Creates a picker that charges `prices` for bytes and whose random sequence starts at `seed`.
    pub fn new(prices: TransitPrices, seed: u64) -> Self {
        Self { prices, seed }
    }

    /// Returns the fraction of its worth that the call is expected to lose at the candidate. The
    /// result is a weighted sum that includes the prices, and can exceed 1.
    pub fn loss(
        &self,
        call: &CallContext<'_>,
        candidate: &Candidate<'_>,
        loads: &LoadTracker,
        now: Instant,
    ) -> f64 {
        let ExpectedTime {
            ran_ms,
            wait_ms,
            path_ms,
        } = ExpectedTime::estimate(call.kind, candidate, loads, now);
        let expected_ms = ran_ms + wait_ms + path_ms;
        let spread_ms = RAN_SPREAD_RATIO * ran_ms + WAIT_SPREAD_RATIO * wait_ms + SPREAD_MIN_MS;
        let prompt_ms = as_ms(call.prompt_left);
        let late = exceeds(expected_ms, prompt_ms, spread_ms);
        let unanswered = exceeds(expected_ms, as_ms(call.deadline_left), spread_ms);
        let price = self.price(call, candidate, loads);
        let failed = loads.failed_ratio(candidate.node_id, now);
        LATE_LOSS * late
            + UNANSWERED_LOSS * unanswered
            + FAILED_LOSS * failed
            + bounded_price(price)
            + LATENCY_WEIGHT * (expected_ms / prompt_ms.max(1.0)).min(1.0)
    }

    fn price(&self, call: &CallContext<'_>, candidate: &Candidate<'_>, loads: &LoadTracker) -> f64 {
        self.prices
            .price(candidate.distance, loads.body_bytes(call.kind))
    }

    /// Compares the targets of a tier, all of one distance, or some of many. Keeps the best one so far.
    fn compare_tier(
        &mut self,
        call: &CallContext<'_>,
        candidates: &[Candidate<'_>],
        tier: &[usize],
        loads: &LoadTracker,
        now: Instant,
        best: &mut Option<(usize, f64)>,
    ) {
        if tier.len() <= SAMPLE_COUNT {
            for index in tier {
                let loss = self.loss(call, &candidates[*index], loads, now);
                keep_least(best, *index, loss + JITTER * self.random_ratio());
            }
            return;
        }
        let sampled = self.sample(call, candidates, tier, loads);
        let mut switch_loss = 0.0;
        for index in sampled {
            let loss = self.loss(call, &candidates[index], loads, now);
            keep_least(best, index, loss + switch_loss);
            switch_loss = SWITCH_LOSS;
        }
    }

    /// Draws [`SAMPLE_COUNT`] targets of a tier, each with a chance in proportion to the calls of the
    /// kind that it completes in a given time.
    fn sample(
        &mut self,
        call: &CallContext<'_>,
        candidates: &[Candidate<'_>],
        tier: &[usize],
        loads: &LoadTracker,
    ) -> [usize; SAMPLE_COUNT] {
        let kind_ran_ms = loads.kind_ran_ms(call.kind).unwrap_or(UNKNOWN_RAN_MS);
        let mut throughputs = Vec::with_capacity(tier.len());
        let mut total = 0.0;
        for index in tier {
            let candidate = &candidates[*index];
            let ran_ms = loads
                .ran_ms(candidate.node_id, call.kind)
                .unwrap_or(kind_ran_ms)
                .max(RAN_MIN_MS);
            total += candidate.concurrency(ran_ms) / ran_ms;
            throughputs.push(total);
        }
        let mut sampled = [tier[0]; SAMPLE_COUNT];
        for index in &mut sampled {
            let drawn = self.random_ratio() * total;
            let position = throughputs.partition_point(|sum| *sum <= drawn);
            *index = tier[position.min(tier.len() - 1)];
        }
        sampled
    }

    fn random_ratio(&mut self) -> f64 {
        self.seed = mix(self.seed);
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Expected time until an answer, in its parts.
struct ExpectedTime {
    ran_ms: f64,
    wait_ms: f64,
    path_ms: f64,
}

impl ExpectedTime {
    fn estimate(kind: &str, candidate: &Candidate<'_>, loads: &LoadTracker, now: Instant) -> Self {
        let node_id = candidate.node_id;
        let ran_ms = loads
            .ran_ms(node_id, kind)
            .or_else(|| loads.kind_ran_ms(kind))
            .unwrap_or(UNKNOWN_RAN_MS);
        Self {
            ran_ms,
            wait_ms: loads.wait_ms(node_id, kind, candidate.concurrency(ran_ms), ran_ms, now),
            path_ms: candidate.round_trip_us / 1_000.0 + loads.overhead_ms(node_id, now),
        }
    }
}

impl TargetPicker for LeastLoss {
    fn pick(
        &mut self,
        call: &CallContext<'_>,
        candidates: &[Candidate<'_>],
        excluded: &[&NodeId],
        loads: &LoadTracker,
        now: Instant,
    ) -> Option<Picked> {
        let usable = usable(candidates, excluded, loads, now);
        let mut best: Option<(usize, f64)> = None;
        let mut rest: &[usize] = &usable;
        while let Some(first) = rest.first() {
            let distance = candidates[*first].distance;
            let tier_len = rest.partition_point(|index| candidates[*index].distance <= distance);
            let (tier, farther) = rest.split_at(tier_len);
            rest = farther;
            self.compare_tier(call, candidates, tier, loads, now, &mut best);
        }
        let (index, cost) = best?;
        let time = ExpectedTime::estimate(call.kind, &candidates[index], loads, now);
        let expected_ms = time.ran_ms + time.wait_ms + time.path_ms;
        Some(Picked {
            index,
            cost,
            price: self.price(call, &candidates[index], loads),
            expected: Some(Duration::from_secs_f64(expected_ms.max(0.0) / 1_000.0)),
            reason: candidates[index].distance.name(),
        })
    }

    fn weigh(
        &self,
        call: &CallContext<'_>,
        _class: &RequestClass<'_>,
        candidate: &Candidate<'_>,
        loads: &LoadTracker,
        now: Instant,
    ) -> Option<Weighed> {
        let time = ExpectedTime::estimate(call.kind, candidate, loads, now);
        Some(Weighed {
            ran_ms: time.ran_ms,
            wait_ms: time.wait_ms,
            path_ms: time.path_ms,
            price: self.price(call, candidate, loads),
            loss: self.loss(call, candidate, loads, now),
        })
    }
}

pub(crate) fn keep_least(best: &mut Option<(usize, f64)>, index: usize, loss: f64) {
    if best.is_none_or(|(_, best_loss)| loss < best_loss) {
        *best = Some((index, loss));
    }
}

/// Returns the price that counts in a choice. It stays below the loss of a call that is not answered,
/// so that a call which a near target can't serve goes to a far one however large its answer is.
pub(crate) fn bounded_price(price: f64) -> f64 {
    if price <= FULL_PRICE_MAX {
        return price;
    }
    FULL_PRICE_MAX + (PRICE_BOUND - FULL_PRICE_MAX) * (1.0 - FULL_PRICE_MAX / price)
}

/// Returns the probability that a time around `expected_ms` exceeds `limit_ms`, by the logistic
/// distribution with the scale `spread_ms`.
pub(crate) fn exceeds(expected_ms: f64, limit_ms: f64, spread_ms: f64) -> f64 {
    1.0 / (1.0 + ((limit_ms - expected_ms) / spread_ms).exp())
}

pub(crate) fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
