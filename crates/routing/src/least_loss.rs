//! Choice of the target where a call is expected to lose least of its worth: by lateness, and by
//! the price of the way there and back.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    mix,
    NodeId, //
};

use crate::load::LoadTracker;
use crate::picker::{
    distance_name,
    usable,
    CallContext,
    Candidate,
    Distance,
    Picked,
    TargetPicker, //
};

/// Share of its worth that a late answer loses.
const LATE_LOSS: f64 = 0.7;

/// Share of its worth that a call loses that is not answered at all, beyond that of a late one.
const LOST_LOSS: f64 = 0.3;

/// Share of its worth that a call loses that its target fails; often another attempt saves some.
const FAILED_LOSS: f64 = 0.8;

/// Weight of the expected latency itself, so that of equally safe targets the faster one is taken.
const LATENCY_WEIGHT: f64 = 0.1;

/// Time that is assumed of a kind at a target without samples, in milliseconds.
const UNKNOWN_RAN_MS: f64 = 40.0;

/// Spread of run times around their mean, as a share of it.
const RAN_SPREAD_RATIO: f64 = 0.35;

/// Spread of waits around their mean, as a share of it.
const WAIT_SPREAD_RATIO: f64 = 0.5;

/// Least spread, in milliseconds.
const SPREAD_MIN_MS: f64 = 4.0;

/// Part by which equal targets are told apart at random, so that nodes do not all take the same.
const JITTER: f64 = 0.02;

/// Bytes of the bodies of a call whose answers have not been seen.
const UNKNOWN_BYTES: f64 = 2_000.0;

/// Bytes of a request and its answer besides their bodies: heads, and what two nodes add.
const HEAD_BYTES: f64 = 1_200.0;

/// Price of bytes between zones and regions, as a share of one call's worth for each kilobyte.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransitPrices {
    /// Between zones of one region.
    pub region_per_kb: f64,
    /// Between regions.
    pub far_per_kb: f64,
}

impl TransitPrices {
    fn of(&self, distance: Distance, body_bytes: Option<f64>) -> f64 {
        let kilobytes = (HEAD_BYTES + body_bytes.unwrap_or(UNKNOWN_BYTES)) / 1_024.0;
        match distance {
            Distance::Host | Distance::Zone => 0.0,
            Distance::Region => self.region_per_kb * kilobytes,
            Distance::Far => self.far_per_kb * kilobytes,
        }
    }
}

/// Picks the candidate of least expected loss.
#[derive(Debug)]
pub struct LeastLoss {
    prices: TransitPrices,
    seed: u64,
}

impl LeastLoss {
    /// Weighs bytes by `prices` and starts the random sequence at `seed`.
    pub fn new(prices: TransitPrices, seed: u64) -> Self {
        Self { prices, seed }
    }

    /// Returns the share of its worth that the call is expected to lose at the candidate.
    pub fn loss(
        &self,
        call: &CallContext<'_>,
        candidate: &Candidate<'_>,
        loads: &LoadTracker,
        now: Instant,
    ) -> f64 {
        let TimeParts {
            ran_ms,
            wait_ms,
            round_trip_ms,
        } = TimeParts::expect(call.kind, candidate, loads, now);
        let expected_ms = ran_ms + wait_ms + round_trip_ms;
        let spread_ms = RAN_SPREAD_RATIO * ran_ms + WAIT_SPREAD_RATIO * wait_ms + SPREAD_MIN_MS;
        let prompt_ms = as_ms(call.prompt_left);
        let late = exceeds(expected_ms, prompt_ms, spread_ms);
        let lost = exceeds(expected_ms, as_ms(call.deadline_left), spread_ms);
        let price = self
            .prices
            .of(candidate.distance, loads.body_bytes(call.kind));
        let failed = loads.failed_ratio(candidate.node_id, now);
        LATE_LOSS * late
            + LOST_LOSS * lost
            + FAILED_LOSS * failed
            + price
            + LATENCY_WEIGHT * (expected_ms / prompt_ms.max(1.0)).min(1.0)
    }

    fn random_share(&mut self) -> f64 {
        self.seed = mix(self.seed);
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Parts of the time in which an answer is expected.
struct TimeParts {
    ran_ms: f64,
    wait_ms: f64,
    round_trip_ms: f64,
}

impl TimeParts {
    fn expect(kind: &str, candidate: &Candidate<'_>, loads: &LoadTracker, now: Instant) -> Self {
        let node_id = candidate.node_id;
        let ran_ms = loads
            .ran_ms(node_id, kind)
            .or_else(|| loads.kind_ran_ms(kind))
            .unwrap_or(UNKNOWN_RAN_MS);
        Self {
            ran_ms,
            wait_ms: loads.wait_ms(node_id, kind, candidate.slot_count, ran_ms, now),
            round_trip_ms: candidate.round_trip_us / 1_000.0 + loads.overhead_ms(node_id, now),
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
        let mut best: Option<(usize, f64)> = None;
        for index in usable(candidates, excluded, loads, now) {
            let loss = self.loss(call, &candidates[index], loads, now);
            let loss = loss + JITTER * self.random_share();
            if best.is_none_or(|(_, best_loss)| loss < best_loss) {
                best = Some((index, loss));
            }
        }
        let (index, cost) = best?;
        let parts = TimeParts::expect(call.kind, &candidates[index], loads, now);
        let expected_ms = parts.ran_ms + parts.wait_ms + parts.round_trip_ms;
        Some(Picked {
            index,
            cost,
            expected: Some(Duration::from_secs_f64(expected_ms.max(0.0) / 1_000.0)),
            reason: distance_name(candidates[index].distance),
        })
    }
}

/// Returns the probability that a time around `expected_ms` exceeds `limit_ms` (logistic).
fn exceeds(expected_ms: f64, limit_ms: f64, spread_ms: f64) -> f64 {
    1.0 / (1.0 + ((limit_ms - expected_ms) / spread_ms).exp())
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
