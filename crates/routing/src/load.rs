//! What a node knows of each target's load: its own calls in flight, the load that answers carry
//! back, its own latencies, and recent refusals of the path.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    FastMap,
    NodeId, //
};

/// How long a reported load counts; it fades linearly.
const REPORT_LIFE: Duration = Duration::from_millis(500);

/// How long a target is avoided after its path refused a call.
const REFUSED_HOLD: Duration = Duration::from_millis(1_000);

/// Weight of a new latency sample that is above the estimate.
const RISE_WEIGHT: f64 = 0.3;

/// Weight of a new latency sample that is below the estimate.
const FALL_WEIGHT: f64 = 0.1;

/// How fast a latency estimate that gets no samples fades, so that an avoided target is tried again.
const FADE_PER_SECOND_RATIO: f64 = 0.5;

/// Load that a target's node reports with each answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Calls running and waiting there, per slot.
    pub busy_ratio: f64,
}

#[derive(Clone, Debug)]
struct Load {
    in_flight_count: u32,
    latency_us: f64,
    sampled_at: Instant,
    reported_ratio: f64,
    report_expires_at: Instant,
    refused_until: Instant,
}

/// Loads of all targets that a node calls.
#[derive(Debug, Default)]
pub struct LoadBook {
    loads: FastMap<NodeId, Load>,
}

impl LoadBook {
    /// Notes that a call was sent.
    pub fn begin(&mut self, target: &NodeId, now: Instant) {
        self.load(target, now).in_flight_count += 1;
    }

    /// Notes that a call ended, whatever its fate.
    pub fn end(&mut self, target: &NodeId, now: Instant) {
        let load = self.load(target, now);
        load.in_flight_count = load.in_flight_count.saturating_sub(1);
    }

    /// Takes in the latency of an answer.
    pub fn note_latency(&mut self, target: &NodeId, latency: Duration, now: Instant) {
        let sample_us = latency.as_secs_f64() * 1e6;
        let load = self.load(target, now);
        let current_us = load.faded_latency_us(now);
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

    /// Takes in a load report.
    pub fn note_report(&mut self, target: &NodeId, report: LoadReport, now: Instant) {
        let load = self.load(target, now);
        load.reported_ratio = report.busy_ratio;
        load.report_expires_at = now + REPORT_LIFE;
    }

    /// Notes that the path to the target, or the target, refused a call.
    pub fn note_refused(&mut self, target: &NodeId, now: Instant) {
        self.load(target, now).refused_until = now + REFUSED_HOLD;
    }

    /// Returns whether the target refused a call lately.
    pub fn is_refused(&self, target: &NodeId, now: Instant) -> bool {
        self.loads
            .get(target)
            .is_some_and(|load| load.refused_until > now)
    }

    /// Returns the calls per slot that the target is expected to hold.
    pub fn busy_ratio(&self, target: &NodeId, slot_count: u32, now: Instant) -> f64 {
        let Some(load) = self.loads.get(target) else {
            return 0.0;
        };
        let own_ratio = f64::from(load.in_flight_count) / f64::from(slot_count.max(1));
        let life_left = load.report_expires_at.saturating_duration_since(now);
        let freshness = life_left.as_secs_f64() / REPORT_LIFE.as_secs_f64();
        own_ratio.max(load.reported_ratio * freshness)
    }

    /// Returns the latency that a call is expected to have, 0 if unknown, in microseconds.
    pub fn latency_us(&self, target: &NodeId, now: Instant) -> f64 {
        self.loads
            .get(target)
            .map_or(0.0, |load| load.faded_latency_us(now))
    }

    /// Forgets targets that are not in use and not in `keep`.
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
                reported_ratio: 0.0,
                report_expires_at: now,
                refused_until: now,
            };
            self.loads.insert(target.clone(), load);
        }
        self.loads.get_mut(target).expect("the entry was just made")
    }
}

impl Load {
    fn faded_latency_us(&self, now: Instant) -> f64 {
        let idle_s = now.saturating_duration_since(self.sampled_at).as_secs_f64();
        self.latency_us * FADE_PER_SECOND_RATIO.powf(idle_s)
    }
}
