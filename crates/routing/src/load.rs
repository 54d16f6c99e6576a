//! Load of each target as seen by one node: its own calls in flight, the load reports in answers,
//! the latencies that it measures, and recent refusals by the target or on the path to it.

mod kinds;
mod work;

use std::time::{
    Duration,
    Instant, //
};

use figway_cost::{
    CostModel,
    TargetFactor, //
};
use figway_types::{
    FastMap,
    NodeId, //
};

use self::kinds::KindStats;
pub use self::work::{
    ExpectedCall,
    RunCost, //
};

/// Shortest time for which a load report counts; its weight falls linearly to 0.
const REPORT_TTL_MIN: Duration = Duration::from_millis(500);

/// Time for which a load report counts, as a multiple of the mean run time of calls at the target: its
/// slots and queue change no faster than calls end.
const REPORT_TTL_RUN_RATIO: f64 = 3.0;

/// How long a target is avoided after it, or the path to it, refused a call.
const REFUSED_HOLD: Duration = Duration::from_millis(1_000);

/// Weight of a new latency sample that is above the estimate.
const RISE_WEIGHT: f64 = 0.3;

/// Weight of a new latency sample that is below the estimate.
const FALL_WEIGHT: f64 = 0.1;

/// Factor by which the estimates of latency and overhead decay in each second without samples, so
/// that an avoided target is tried again.
const DECAY_PER_SECOND_RATIO: f64 = 0.5;

/// Weight of a new sample of a run time or of the size of the bodies.
const RAN_WEIGHT: f64 = 0.1;

/// Weight of a new sample of the overhead: the time on the path beyond its round trip.
const OVERHEAD_WEIGHT: f64 = 0.2;

/// How long a target is assumed to be full after it refused a call for overload.
const OVERLOADED_HOLD: Duration = Duration::from_millis(120);

/// Weight of a new report in the failure ratio of all targets.
const FAILED_WEIGHT: f64 = 0.02;

/// Weight of a new report in the calls per slot of all targets.
const BUSY_WEIGHT: f64 = 0.05;

/// Half-life of the failure ratio that a target reported, so that a target that failed calls is
/// tried again.
const FAILED_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Wait that is assumed at a target that has just refused a call for overload, in milliseconds.
const OVERLOADED_WAIT_MS: f64 = 400.0;

/// Lower bound of the calls that a target is assumed to run at once, for limits of almost 0.
const CONCURRENCY_MIN: f64 = 1e-3;

/// Load that a target's node reports with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Calls that run and wait at the target, per slot.
    pub busy_ratio: f64,
    /// Time that a new call would wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// Fraction of the latest calls that the target failed.
    pub failed_ratio: f64,
}

/// Timings of an answered call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTimings {
    /// Time from the start of the attempt to its answer, in milliseconds.
    pub took_ms: f64,
    /// Time in the queue beside the target, in milliseconds.
    pub waited_ms: f64,
    /// Time at the target, in milliseconds.
    pub ran_ms: f64,
    /// Mean run time of the kind at the target, in milliseconds, if its node reports one.
    pub mean_ran_ms: Option<f64>,
    /// Round trip to the target's node, in milliseconds.
    pub round_trip_ms: f64,
}

#[derive(Clone, Debug)]
struct Load {
    in_flight_count: u32,
    latency_us: f64,
    sampled_at: Instant,
    report: LoadReport,
    report_expires_at: Instant,
    report_ttl: Duration,
    /// Mean run time of all calls, in milliseconds; 0 without samples.
    mean_ran_ms: f64,
    reported_at: Instant,
    reported_in_flight_count: u32,
    refused_until: Instant,
    overloaded_until: Instant,
    overhead_ms: f64,
    ran_ms: FastMap<String, f64>,
    factor: TargetFactor,
}

/// Tracks the load of each target that a node calls.
#[derive(Debug, Default)]
pub struct LoadTracker {
    loads: FastMap<NodeId, Load>,
    kinds: FastMap<String, KindStats>,
    /// Moving average of the failure ratios that all targets report.
    failed_ratio: f64,
    /// Moving average of the calls per slot that all targets report.
    reported_busy_ratio: f64,
    costs: CostModel,
}

impl LoadTracker {
    /// Records that a call was sent to the target.
    pub fn begin(&mut self, target: &NodeId, now: Instant) {
        self.load(target, now).in_flight_count += 1;
    }

    /// Records that a call to the target ended, with any outcome.
    pub fn end(&mut self, target: &NodeId, now: Instant) {
        let load = self.load(target, now);
        load.in_flight_count = load.in_flight_count.saturating_sub(1);
    }

    /// Records a latency sample.
    pub fn record_latency(&mut self, target: &NodeId, latency: Duration, now: Instant) {
        let sample_us = latency.as_secs_f64() * 1e6;
        let load = self.load(target, now);
        let current_us = load.decayed_latency_us(now);
        let weight = if sample_us > current_us {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        load.latency_us = if current_us < 1.0 {
            sample_us
        } else {
            current_us + weight * (sample_us - current_us)
        };
        load.sampled_at = now;
    }

    /// Records a load report.
    pub fn record_report(&mut self, target: &NodeId, report: LoadReport, now: Instant) {
        let load = self.load(target, now);
        load.report = report;
        load.reported_in_flight_count = load.in_flight_count;
        let ttl_s = REPORT_TTL_RUN_RATIO * load.mean_ran_ms / 1_000.0;
        load.report_ttl = REPORT_TTL_MIN.max(Duration::from_secs_f64(ttl_s));
        load.report_expires_at = now + load.report_ttl;
        load.reported_at = now;
        self.failed_ratio += FAILED_WEIGHT * (report.failed_ratio - self.failed_ratio);
        self.reported_busy_ratio += BUSY_WEIGHT * (report.busy_ratio - self.reported_busy_ratio);
    }

    /// Returns the expected fraction of calls that the target fails. The ratio that it last
    /// reported decays towards the average of all targets.
    pub fn failed_ratio(&self, target: &NodeId, now: Instant) -> f64 {
        let Some(load) = self.loads.get(target) else {
            return self.failed_ratio;
        };
        load.expected_failed_ratio(self.failed_ratio, now)
    }

    /// Records the timings of an answered call, and the bytes of its request and answer bodies.
    pub fn record_timings(
        &mut self,
        target: &NodeId,
        kind: &str,
        timings: CallTimings,
        body_bytes: usize,
        now: Instant,
    ) {
        let load = self.load(target, now);
        let overhead_ms =
            timings.took_ms - timings.waited_ms - timings.ran_ms - timings.round_trip_ms;
        load.overhead_ms += OVERHEAD_WEIGHT * (overhead_ms.max(0.0) - load.overhead_ms);
        load.sampled_at = now;
        if load.mean_ran_ms == 0.0 {
            load.mean_ran_ms = timings.ran_ms;
        }
        load.mean_ran_ms += RAN_WEIGHT * (timings.ran_ms - load.mean_ran_ms);
        match (load.ran_ms.get_mut(kind), timings.mean_ran_ms) {
            (Some(ran_ms), Some(mean_ran_ms)) => *ran_ms = mean_ran_ms,
            (Some(ran_ms), None) => *ran_ms += RAN_WEIGHT * (timings.ran_ms - *ran_ms),
            (None, mean_ran_ms) => {
                let ran_ms = mean_ran_ms.unwrap_or(timings.ran_ms);
                load.ran_ms.insert(kind.to_owned(), ran_ms);
            }
        }
        match self.kinds.get_mut(kind) {
            Some(stats) => {
                stats.ran_ms += RAN_WEIGHT * (timings.ran_ms - stats.ran_ms);
                stats.body_bytes += RAN_WEIGHT * (body_bytes as f64 - stats.body_bytes);
                stats.record_wait(timings.waited_ms, now);
            }
            None => {
                let stats = KindStats {
                    ran_ms: timings.ran_ms,
                    body_bytes: body_bytes as f64,
                    wait_ms: timings.waited_ms,
                    wait_sampled_at: now,
                };
                self.kinds.insert(kind.to_owned(), stats);
            }
        }
    }

    /// Returns the run time of the kind at the target, in milliseconds, if it is known.
    pub fn ran_ms(&self, target: &NodeId, kind: &str) -> Option<f64> {
        self.loads.get(target)?.ran_ms.get(kind).copied()
    }

    /// Returns the mean run time of the kind over all targets, in milliseconds, if it is known.
    pub fn kind_ran_ms(&self, kind: &str) -> Option<f64> {
        self.kinds.get(kind).map(|stats| stats.ran_ms)
    }

    /// Returns the mean size of a request body and its answer body together, in bytes, if it is
    /// known.
    pub fn body_bytes(&self, kind: &str) -> Option<f64> {
        self.kinds.get(kind).map(|stats| stats.body_bytes)
    }

    /// Returns the time on the path to the target beyond its round trip, in milliseconds. It decays
    /// without samples.
    pub fn overhead_ms(&self, target: &NodeId, now: Instant) -> f64 {
        self.loads
            .get(target)
            .map_or(0.0, |load| load.decayed_overhead_ms(now))
    }

    /// Returns the expected wait, in milliseconds, of a call of `kind` that runs for `ran_ms` until
    /// the target, which runs `concurrency` such calls at once, starts it. A target without a recent report is
    /// assumed to be as busy as those with one.
    pub fn wait_ms(
        &self,
        target: &NodeId,
        kind: &str,
        concurrency: f64,
        ran_ms: f64,
        now: Instant,
    ) -> f64 {
        let kind_wait_ms = self
            .kinds
            .get(kind)
            .map_or(0.0, |stats| stats.decayed_wait_ms(now));
        let Some(load) = self.loads.get(target) else {
            return kind_wait_ms;
        };
        if load.overloaded_until > now {
            return OVERLOADED_WAIT_MS;
        }
        let freshness = load.freshness(now);
        let concurrency = concurrency.max(CONCURRENCY_MIN);
        let slot_ms = ran_ms / concurrency;
        // The report does not include the calls that this node sent after it.
        let unreported = load
            .in_flight_count
            .saturating_sub(load.reported_in_flight_count);
        let busy = load.report.busy_ratio * freshness + f64::from(unreported) / concurrency;
        let reported_ms = load.report.wait_ms * freshness + kind_wait_ms * (1.0 - freshness);
        if busy < 1.0 && reported_ms < 1.0 {
            return 0.0;
        }
        reported_ms + f64::from(unreported) * slot_ms
    }

    /// Records that the target refused a call of `kind` for overload.
    pub fn record_overload(&mut self, target: &NodeId, kind: &str, now: Instant) {
        self.load(target, now).overloaded_until = now + OVERLOADED_HOLD;
        if let Some(stats) = self.kinds.get_mut(kind) {
            stats.record_wait(OVERLOADED_WAIT_MS, now);
        }
    }

    /// Records that the target, or the path to it, refused a call.
    pub fn record_refusal(&mut self, target: &NodeId, now: Instant) {
        self.load(target, now).refused_until = now + REFUSED_HOLD;
    }

    /// Returns whether the target, or the path to it, refused a call recently.
    pub fn has_recent_refusal(&self, target: &NodeId, now: Instant) -> bool {
        self.loads
            .get(target)
            .is_some_and(|load| load.refused_until > now)
    }

    /// Returns the expected number of calls per slot at the target.
    pub fn busy_ratio(&self, target: &NodeId, slot_count: u32, now: Instant) -> f64 {
        let Some(load) = self.loads.get(target) else {
            return 0.0;
        };
        let own_ratio = f64::from(load.in_flight_count) / f64::from(slot_count.max(1));
        own_ratio.max(load.report.busy_ratio * load.freshness(now))
    }

    /// Returns the expected latency of a call, in microseconds; 0 if it is unknown.
    pub fn latency_us(&self, target: &NodeId, now: Instant) -> f64 {
        self.loads
            .get(target)
            .map_or(0.0, |load| load.decayed_latency_us(now))
    }

    /// Removes the targets without calls in flight for which `keep` returns false.
    pub fn retain(&mut self, keep: &dyn Fn(&NodeId) -> bool) {
        self.loads
            .retain(|target, load| load.in_flight_count > 0 || keep(target));
    }

    fn load(&mut self, target: &NodeId, now: Instant) -> &mut Load {
        if !self.loads.contains_key(target) {
            let load = Load {
                in_flight_count: 0,
                latency_us: 0.0,
                sampled_at: now,
                report: LoadReport::default(),
                report_expires_at: now,
                report_ttl: REPORT_TTL_MIN,
                mean_ran_ms: 0.0,
                reported_at: now,
                reported_in_flight_count: 0,
                refused_until: now,
                overloaded_until: now,
                overhead_ms: 0.0,
                ran_ms: FastMap::default(),
                factor: TargetFactor::new(now),
            };
            self.loads.insert(target.clone(), load);
        }
        self.loads
            .get_mut(target)
            .expect("the entry was just inserted")
    }
}

impl Load {
    fn freshness(&self, now: Instant) -> f64 {
        let ttl_left = self.report_expires_at.saturating_duration_since(now);
        ttl_left.as_secs_f64() / self.report_ttl.as_secs_f64()
    }

    fn expected_failed_ratio(&self, average_ratio: f64, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported_at);
        let half_lives = age.as_secs_f64() / FAILED_HALF_LIFE.as_secs_f64();
        let report_weight = 0.5_f64.powf(half_lives);
        self.report.failed_ratio * report_weight + average_ratio * (1.0 - report_weight)
    }

    fn decayed_overhead_ms(&self, now: Instant) -> f64 {
        let idle_s = now.saturating_duration_since(self.sampled_at).as_secs_f64();
        self.overhead_ms * DECAY_PER_SECOND_RATIO.powf(idle_s)
    }

    fn decayed_latency_us(&self, now: Instant) -> f64 {
        let idle_s = now.saturating_duration_since(self.sampled_at).as_secs_f64();
        self.latency_us * DECAY_PER_SECOND_RATIO.powf(idle_s)
    }
}
