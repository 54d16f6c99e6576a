//! Open-loop load: requests start when they are due, whether or not earlier ones were answered, and
//! latency counts from when they were due.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::mix;
use futures::stream::{
    FuturesUnordered,
    StreamExt as _, //
};
use hdrhistogram::Histogram;

/// Highest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;

/// A kind of request that the load is made of.
#[derive(Clone, Debug)]
pub struct LoadKind {
    /// Name in reports.
    pub name: &'static str,
    /// Service that is called.
    pub service: &'static str,
    /// `GET` or `POST`.
    pub method: &'static str,
    /// Path without query.
    pub path: &'static str,
    /// Mean service time, in milliseconds; each call draws between half and one and a half of it.
    pub work_ms: f64,
    /// Share of calls that take `straggler_factor` times as long.
    pub straggler_ratio: f64,
    /// How much longer a straggler takes.
    pub straggler_factor: f64,
    /// Worth of one served call.
    pub worth: f64,
    /// Share of all calls, relative to the other kinds.
    pub weight: f64,
    /// Whether the caller waits for at most this long, in milliseconds.
    pub budget_ms: u64,
    /// Whether each call bears a key of its own.
    pub keyed: bool,
}

/// How a call finds its target.
pub trait LoadClient {
    /// Sends one call and returns its end.
    fn call<'a>(
        &'a self,
        kind: &'a LoadKind,
        drawn: &'a CallParams,
    ) -> futures::future::LocalBoxFuture<'a, CallOutcome>;
}

/// What was drawn for one call.
#[derive(Clone, Debug)]
pub struct CallParams {
    /// Identity of the call.
    pub call_id: String,
    /// Path with the drawn service time.
    pub path: String,
    /// A random number for the way's own choices.
    pub random: u64,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// A whole answer of the target.
    Answered,
    /// Refused, not run.
    NotRun,
    /// Its fate is not known.
    Unknown,
    /// No usable answer at all.
    Failed,
}

/// What became of the calls of one kind.
#[derive(Clone, Debug)]
pub struct KindReport {
    /// Latency of answered calls, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Calls by their end.
    pub outcome_counts: BTreeMap<CallOutcome, u64>,
    /// Worth of the answered calls.
    pub answered_worth: f64,
    /// Worth of all calls.
    pub offered_worth: f64,
}

impl Default for KindReport {
    fn default() -> Self {
        Self {
            latency_us: Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
                .expect("the bounds are good"),
            outcome_counts: BTreeMap::new(),
            answered_worth: 0.0,
            offered_worth: 0.0,
        }
    }
}

impl KindReport {
    /// Returns the calls that ended this way.
    pub fn count(&self, end: CallOutcome) -> u64 {
        self.outcome_counts.get(&end).copied().unwrap_or(0)
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    fn note(&mut self, kind: &LoadKind, end: CallOutcome, took: Duration) {
        *self.outcome_counts.entry(end).or_default() += 1;
        self.offered_worth += kind.worth;
        if end == CallOutcome::Answered {
            self.answered_worth += kind.worth;
            self.latency_us.saturating_record(took.as_micros() as u64);
        }
    }
}

/// What became of all calls.
pub type LoadReport = BTreeMap<&'static str, KindReport>;

/// Offered calls a second, by the time since the start.
pub trait RatePlan {
    /// Returns the rate at `elapsed`, in calls a second; `None` at the end.
    fn rate_per_s(&self, elapsed: Duration) -> Option<f64>;
}

/// The same rate all the time.
#[derive(Clone, Copy, Debug)]
pub struct ConstantRate {
    /// Calls a second.
    pub rate_per_s: f64,
    /// How long, in seconds.
    pub duration_s: f64,
}

impl RatePlan for ConstantRate {
    fn rate_per_s(&self, elapsed: Duration) -> Option<f64> {
        (elapsed.as_secs_f64() < self.duration_s).then_some(self.rate_per_s)
    }
}

/// A rate that rises within seconds, holds, and falls back.
#[derive(Clone, Copy, Debug)]
pub struct PeakRate {
    /// Calls a second outside the crest.
    pub base_per_s: f64,
    /// Calls a second at its top.
    pub peak_per_s: f64,
    /// Time before the rise, and after the fall, in seconds.
    pub base_s: f64,
    /// Time of the rise, and of the fall, in seconds.
    pub ramp_s: f64,
    /// Time at the top, in seconds.
    pub hold_s: f64,
}

impl RatePlan for PeakRate {
    fn rate_per_s(&self, elapsed: Duration) -> Option<f64> {
        let at_s = elapsed.as_secs_f64();
        let rise_ends_s = self.base_s + self.ramp_s;
        let fall_starts_s = rise_ends_s + self.hold_s;
        let fall_ends_s = fall_starts_s + self.ramp_s;
        if at_s >= fall_ends_s + self.base_s {
            return None;
        }
        let height = if at_s < self.base_s {
            0.0
        } else if at_s < rise_ends_s {
            (at_s - self.base_s) / self.ramp_s
        } else if at_s < fall_starts_s {
            1.0
        } else if at_s < fall_ends_s {
            (fall_ends_s - at_s) / self.ramp_s
        } else {
            0.0
        };
        Some(self.base_per_s + height * (self.peak_per_s - self.base_per_s))
    }
}

/// Offers calls by `plan` and returns what became of them. `seed` fixes arrivals and draws.
pub async fn run_load(
    kinds: &[LoadKind],
    plan: &dyn RatePlan,
    way: Rc<dyn LoadClient>,
    seed: u64,
) -> LoadReport {
    let report: Rc<RefCell<LoadReport>> = Rc::default();
    let mut draws = Draws::new(kinds, seed);
    let started_at = Instant::now();
    let mut due = Duration::ZERO;
    let mut under_way = FuturesUnordered::new();
    while let Some(rate_per_s) = plan.rate_per_s(due) {
        let due_at = started_at + due;
        let (index, drawn) = draws.next();
        let sleep = tokio::time::sleep_until(due_at.into());
        tokio::pin!(sleep);
        loop {
            tokio::select! {
                () = &mut sleep => break,
                Some(()) = under_way.next() => {}
            }
        }
        under_way.push(one_call(
            &kinds[index],
            drawn,
            due_at,
            Rc::clone(&way),
            Rc::clone(&report),
        ));
        due += Duration::from_secs_f64(draws.gap(rate_per_s));
    }
    while under_way.next().await.is_some() {}
    drop(under_way);
    report.take()
}

async fn one_call(
    kind: &LoadKind,
    drawn: CallParams,
    due_at: Instant,
    way: Rc<dyn LoadClient>,
    report: Rc<RefCell<LoadReport>>,
) {
    let end = way.call(kind, &drawn).await;
    let took = due_at.elapsed();
    let mut report = report.borrow_mut();
    report.entry(kind.name).or_default().note(kind, end, took);
}

/// Random draws of a load.
struct Draws<'a> {
    kinds: &'a [LoadKind],
    weight_sum: f64,
    seed: u64,
    state: u64,
    count: u64,
}

impl<'a> Draws<'a> {
    fn new(kinds: &'a [LoadKind], seed: u64) -> Self {
        Self {
            kinds,
            weight_sum: kinds.iter().map(|kind| kind.weight).sum(),
            seed,
            state: seed,
            count: 0,
        }
    }

    fn unit(&mut self) -> f64 {
        self.state = mix(self.state);
        (self.state >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Draws the gap to the next arrival of a Poisson process, in seconds.
    fn gap(&mut self, rate_per_s: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate_per_s.max(0.001)
    }

    fn next(&mut self) -> (usize, CallParams) {
        let mut place = self.unit() * self.weight_sum;
        let mut index = 0;
        for (candidate, kind) in self.kinds.iter().enumerate() {
            index = candidate;
            place -= kind.weight;
            if place <= 0.0 {
                break;
            }
        }
        let kind = &self.kinds[index];
        let mut work_ms = kind.work_ms * (0.5 + self.unit());
        if self.unit() < kind.straggler_ratio {
            work_ms *= kind.straggler_factor;
        }
        self.count += 1;
        let call_id = format!("{:x}-{}", self.seed, self.count);
        let drawn = CallParams {
            path: format!("{}?work_ms={work_ms:.2}", kind.path),
            call_id,
            random: mix(self.state ^ self.count),
        };
        (index, drawn)
    }
}
