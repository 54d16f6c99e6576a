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

/// Weight of a new sample of a run time or an answer's size.
const RAN_WEIGHT: f64 = 0.1;

/// Weight of a new sample of the time that a way takes beyond its round trip.
const OVERHEAD_WEIGHT: f64 = 0.2;

/// How long a target is thought full after it refused a call for overload.
const OVERLOADED_HOLD: Duration = Duration::from_millis(120);

/// Weight of a new report in the share of calls that all targets fail.
const FAILED_WEIGHT: f64 = 0.02;

/// Time after which what a target said of its failures counts half, so that it is tried again.
const FAILED_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Weight of a new sample of how long calls of a kind wait.
const WAIT_WEIGHT: f64 = 0.1;

/// Time after which the wait that is assumed of unknown targets has halved without samples.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(500);

/// Wait that is assumed of a target that just refused a call for overload, in milliseconds.
const OVERLOADED_WAIT_MS: f64 = 400.0;

/// Load that a target's node reports with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Calls running and waiting there, per slot.
    pub busy_ratio: f64,
    /// How long a call would wait for a slot there now, in milliseconds.
    pub wait_ms: f64,
    /// Share of the latest calls there that the target failed.
    pub failed_ratio: f64,
}

/// How an answered call spent its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTimings {
    /// From the attempt to its answer, in milliseconds.
    pub took_ms: f64,
    /// In the queue beside the target, in milliseconds.
    pub waited_ms: f64,
    /// At the target, in milliseconds.
    pub ran_ms: f64,
    /// What calls of the kind take at the target on average, in milliseconds, if its node says so.
    pub mean_ran_ms: Option<f64>,
    /// Way there and back, in milliseconds.
    pub round_trip_ms: f64,
}

#[derive(Clone, Debug)]
struct Load {
    in_flight_count: u32,
    latency_us: f64,
    sampled_at: Instant,
    report: LoadReport,
    report_expires_at: Instant,
    reported_at: Instant,
    reported_in_flight_count: u32,
    refused_until: Instant,
    overloaded_until: Instant,
    overhead_ms: f64,
    ran_ms: FastMap<String, f64>,
}

/// Loads of all targets that a node calls.
#[derive(Debug, Default)]
pub struct LoadTracker {
    loads: FastMap<NodeId, Load>,
    kinds: FastMap<String, KindStats>,
    /// Share of calls that targets failed lately, over all that told.
    failed_ratio: f64,
}

/// What is known of a kind over all targets.
#[derive(Clone, Copy, Debug)]
struct KindStats {
    ran_ms: f64,
    body_bytes: f64,
    wait_ms: f64,
    waited_at: Instant,
}

impl KindStats {
    /// Wait that calls met lately, whatever their target.
    fn faded_wait_ms(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.waited_at);
        let half_lives = idle.as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64();
        self.wait_ms * 0.5_f64.powf(half_lives)
    }

    fn record_wait(&mut self, wait_ms: f64, now: Instant) {
        let known_ms = self.faded_wait_ms(now);
        self.wait_ms = known_ms + WAIT_WEIGHT * (wait_ms - known_ms);
        self.waited_at = now;
    }
}

impl LoadTracker {
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
    pub fn record_latency(&mut self, target: &NodeId, latency: Duration, now: Instant) {
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
    pub fn record_report(&mut self, target: &NodeId, report: LoadReport, now: Instant) {
        let load = self.load(target, now);
        load.report = report;
        load.reported_in_flight_count = load.in_flight_count;
        load.report_expires_at = now + REPORT_LIFE;
        load.reported_at = now;
        self.failed_ratio += FAILED_WEIGHT * (report.failed_ratio - self.failed_ratio);
    }

    /// Returns the share of calls that the target is expected to fail. What it said fades towards the
    /// share of all targets.
    pub fn failed_ratio(&self, target: &NodeId, now: Instant) -> f64 {
        let Some(load) = self.loads.get(target) else {
            return self.failed_ratio;
        };
        let age = now.saturating_duration_since(load.reported_at);
        let half_lives = age.as_secs_f64() / FAILED_HALF_LIFE.as_secs_f64();
        let certainty = 0.5_f64.powf(half_lives);
        load.report.failed_ratio * certainty + self.failed_ratio * (1.0 - certainty)
    }

    /// Takes in how an answered call spent its time, and the size of its request and answer.
    pub fn record_timings(
        &mut self,
        target: &NodeId,
        kind: &str,
        spent: CallTimings,
        body_bytes: usize,
        now: Instant,
    ) {
        let load = self.load(target, now);
        let beyond_ms = spent.took_ms - spent.waited_ms - spent.ran_ms - spent.round_trip_ms;
        load.overhead_ms += OVERHEAD_WEIGHT * (beyond_ms.max(0.0) - load.overhead_ms);
        load.sampled_at = now;
        match (load.ran_ms.get_mut(kind), spent.mean_ran_ms) {
            (Some(ran_ms), Some(mean_ran_ms)) => *ran_ms = mean_ran_ms,
            (Some(ran_ms), None) => *ran_ms += RAN_WEIGHT * (spent.ran_ms - *ran_ms),
            (None, mean_ran_ms) => {
                let ran_ms = mean_ran_ms.unwrap_or(spent.ran_ms);
                load.ran_ms.insert(kind.to_owned(), ran_ms);
            }
        }
        match self.kinds.get_mut(kind) {
            Some(book) => {
                book.ran_ms += RAN_WEIGHT * (spent.ran_ms - book.ran_ms);
                book.body_bytes += RAN_WEIGHT * (body_bytes as f64 - book.body_bytes);
                book.record_wait(spent.waited_ms, now);
            }
            None => {
                let book = KindStats {
                    ran_ms: spent.ran_ms,
                    body_bytes: body_bytes as f64,
                    wait_ms: spent.waited_ms,
                    waited_at: now,
                };
                self.kinds.insert(kind.to_owned(), book);
            }
        }
    }

    /// Returns the time that calls of the kind take at the target, in milliseconds.
    pub fn ran_ms(&self, target: &NodeId, kind: &str) -> Option<f64> {
        self.loads.get(target)?.ran_ms.get(kind).copied()
    }

    /// Returns the time that calls of the kind take at any target, in milliseconds.
    pub fn kind_ran_ms(&self, kind: &str) -> Option<f64> {
        self.kinds.get(kind).map(|book| book.ran_ms)
    }

    /// Returns the size of the bodies of a request and its answer, in bytes.
    pub fn body_bytes(&self, kind: &str) -> Option<f64> {
        self.kinds.get(kind).map(|book| book.body_bytes)
    }

    /// Returns the time that the way to the target takes beyond its round trip, in milliseconds.
    pub fn overhead_ms(&self, target: &NodeId, now: Instant) -> f64 {
        self.loads.get(target).map_or(0.0, |load| {
            let idle_s = now.saturating_duration_since(load.sampled_at).as_secs_f64();
            load.overhead_ms * FADE_PER_SECOND_RATIO.powf(idle_s)
        })
    }

    /// Returns how long a call of `kind` that takes `ran_ms` is expected to wait for one of
    /// `slot_count` slots of the target, in milliseconds. A target that has not told its load lately
    /// is taken to be as busy as those that have.
    pub fn wait_ms(
        &self,
        target: &NodeId,
        kind: &str,
        slot_count: u32,
        ran_ms: f64,
        now: Instant,
    ) -> f64 {
        let usual_ms = self
            .kinds
            .get(kind)
            .map_or(0.0, |book| book.faded_wait_ms(now));
        let Some(load) = self.loads.get(target) else {
            return usual_ms;
        };
        if load.overloaded_until > now {
            return OVERLOADED_WAIT_MS;
        }
        let freshness = load.freshness(now);
        let slot_ms = ran_ms / f64::from(slot_count.max(1));
        // Calls that this node sent since the report are not in it yet.
        let unreported = load
            .in_flight_count
            .saturating_sub(load.reported_in_flight_count);
        let busy = load.report.busy_ratio * freshness
            + f64::from(unreported) / f64::from(slot_count.max(1));
        let reported_ms = load.report.wait_ms * freshness + usual_ms * (1.0 - freshness);
        if busy < 1.0 && reported_ms < 1.0 {
            return 0.0;
        }
        reported_ms + f64::from(unreported) * slot_ms
    }

    /// Notes that the target refused a call of `kind` for overload.
    pub fn record_overload(&mut self, target: &NodeId, kind: &str, now: Instant) {
        self.load(target, now).overloaded_until = now + OVERLOADED_HOLD;
        if let Some(book) = self.kinds.get_mut(kind) {
            book.record_wait(OVERLOADED_WAIT_MS, now);
        }
    }

    /// Notes that the path to the target, or the target, refused a call.
    pub fn record_refusal(&mut self, target: &NodeId, now: Instant) {
        self.load(target, now).refused_until = now + REFUSED_HOLD;
    }

    /// Returns whether the target refused a call lately.
    pub fn has_recent_refusal(&self, target: &NodeId, now: Instant) -> bool {
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
        own_ratio.max(load.report.busy_ratio * load.freshness(now))
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
                report: LoadReport::default(),
                report_expires_at: now,
                reported_at: now,
                reported_in_flight_count: 0,
                refused_until: now,
                overloaded_until: now,
                overhead_ms: 0.0,
                ran_ms: FastMap::default(),
            };
            self.loads.insert(target.clone(), load);
        }
        self.loads.get_mut(target).expect("the entry was just made")
    }
}

impl Load {
    fn freshness(&self, now: Instant) -> f64 {
        let life_left = self.report_expires_at.saturating_duration_since(now);
        life_left.as_secs_f64() / REPORT_LIFE.as_secs_f64()
    }

    fn faded_latency_us(&self, now: Instant) -> f64 {
        let idle_s = now.saturating_duration_since(self.sampled_at).as_secs_f64();
        self.latency_us * FADE_PER_SECOND_RATIO.powf(idle_s)
    }
}
