//! Open-loop load generator: each call starts at its scheduled time, whether or not earlier calls
//! have completed, and its latency is measured from that time.

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

/// Highest latency that histograms record, in microseconds; longer ones count as this value.
const LATENCY_MAX_US: u64 = 120_000_000;

/// A request kind of the load, with its share of the calls.
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
    /// Mean service time, in milliseconds; each call draws a value uniformly between 50 % and 150 %
    /// of it.
    pub work_ms: f64,
    /// Ratio of calls that are stragglers: their service time is `straggler_factor` times as long.
    pub straggler_ratio: f64,
    /// Factor on the service time of a straggler.
    pub straggler_factor: f64,
    /// Worth of one served call.
    pub worth: f64,
    /// Share of the calls, relative to the weights of the other kinds.
    pub weight: f64,
    /// Time budget of a call, in milliseconds.
    pub budget_ms: u64,
    /// Whether each call carries its own idempotency key.
    pub keyed: bool,
}

/// Sends the calls of a load.
pub trait LoadClient {
    /// Sends one call and returns its outcome.
    fn call<'a>(
        &'a self,
        kind: &'a LoadKind,
        params: &'a CallParams,
    ) -> futures::future::LocalBoxFuture<'a, CallOutcome>;
}

/// Random parameters of one call.
#[derive(Clone, Debug)]
pub struct CallParams {
    /// Unique ID of the call.
    pub call_id: String,
    /// Path with the sampled service time as query parameter `work_ms`, in milliseconds.
    pub path: String,
    /// Random number for choices of the client.
    pub random: u64,
}

/// Outcome of a call as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// The target answered with status 200.
    Answered,
    /// The call was refused and did not run.
    NotRun,
    /// The call may or may not have run.
    Unknown,
    /// No usable answer: an error, a timeout or an unexpected status.
    Failed,
}

/// Results of the calls of one kind.
#[derive(Clone, Debug)]
pub struct KindReport {
    /// Latency of answered calls, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Number of calls by outcome.
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
                .expect("the bounds are valid"),
            outcome_counts: BTreeMap::new(),
            answered_worth: 0.0,
            offered_worth: 0.0,
        }
    }
}

impl KindReport {
    /// Returns the number of calls with this outcome.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.outcome_counts.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns the latency of answered calls at `quantile` (0 to 1), in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    fn record(&mut self, kind: &LoadKind, outcome: CallOutcome, latency: Duration) {
        *self.outcome_counts.entry(outcome).or_default() += 1;
        self.offered_worth += kind.worth;
        if outcome == CallOutcome::Answered {
            self.answered_worth += kind.worth;
            self.latency_us
                .saturating_record(latency.as_micros() as u64);
        }
    }
}

/// Results of all calls, by the name of their kind.
pub type LoadReport = BTreeMap<&'static str, KindReport>;

/// Offered rate as a function of the time since the start.
pub trait RatePlan {
    /// Returns the rate at `elapsed`, in calls per second, or `None` if the load has ended.
    fn rate_per_s(&self, elapsed: Duration) -> Option<f64>;
}

/// A constant rate.
#[derive(Clone, Copy, Debug)]
pub struct ConstantRate {
    /// Calls per second.
    pub rate_per_s: f64,
    /// Duration of the load, in seconds.
    pub duration_s: f64,
}

impl RatePlan for ConstantRate {
    fn rate_per_s(&self, elapsed: Duration) -> Option<f64> {
        (elapsed.as_secs_f64() < self.duration_s).then_some(self.rate_per_s)
    }
}

/// A rate that ramps up from a base rate to a peak, holds it, and ramps down again.
#[derive(Clone, Copy, Debug)]
pub struct PeakRate {
    /// Base rate, in calls per second.
    pub base_per_s: f64,
    /// Peak rate, in calls per second.
    pub peak_per_s: f64,
    /// Time at the base rate, both before the first ramp and after the second, in seconds.
    pub base_s: f64,
    /// Duration of each ramp, in seconds.
    pub ramp_s: f64,
    /// Time at the peak rate, in seconds.
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

/// Sends calls at the rate of `plan` and returns their results after the last one has completed.
/// `seed` determines the scheduled times and the parameters of the calls.
pub async fn run_load(
    kinds: &[LoadKind],
    plan: &dyn RatePlan,
    load_client: Rc<dyn LoadClient>,
    seed: u64,
) -> LoadReport {
    let report: Rc<RefCell<LoadReport>> = Rc::default();
    let mut call_generator = CallGenerator::new(kinds, seed);
    let started_at = Instant::now();
    let mut due = Duration::ZERO;
    let mut in_flight = FuturesUnordered::new();
    while let Some(rate_per_s) = plan.rate_per_s(due) {
        let due_at = started_at + due;
        let (index, params) = call_generator.next();
        let sleep = tokio::time::sleep_until(due_at.into());
        tokio::pin!(sleep);
        loop {
            tokio::select! {
                () = &mut sleep => break,
                Some(()) = in_flight.next() => {}
            }
        }
        in_flight.push(run_call(
            &kinds[index],
            params,
            due_at,
            Rc::clone(&load_client),
            Rc::clone(&report),
        ));
        due += Duration::from_secs_f64(call_generator.interarrival_s(rate_per_s));
    }
    while in_flight.next().await.is_some() {}
    drop(in_flight);
    report.take()
}

async fn run_call(
    kind: &LoadKind,
    params: CallParams,
    due_at: Instant,
    load_client: Rc<dyn LoadClient>,
    report: Rc<RefCell<LoadReport>>,
) {
    let outcome = load_client.call(kind, &params).await;
    let latency = due_at.elapsed();
    let mut report = report.borrow_mut();
    report
        .entry(kind.name)
        .or_default()
        .record(kind, outcome, latency);
}

/// Generates the random arrivals and parameters of calls.
struct CallGenerator<'a> {
    kinds: &'a [LoadKind],
    weight_sum: f64,
    seed: u64,
    state: u64,
    call_count: u64,
}

impl<'a> CallGenerator<'a> {
    fn new(kinds: &'a [LoadKind], seed: u64) -> Self {
        Self {
            kinds,
            weight_sum: kinds.iter().map(|kind| kind.weight).sum(),
            seed,
            state: seed,
            call_count: 0,
        }
    }

    /// Returns a random number, at least 0 and below 1.
    fn random_unit(&mut self) -> f64 {
        self.state = mix(self.state);
        (self.state >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns the time until the next arrival of a Poisson process, in seconds.
    fn interarrival_s(&mut self, rate_per_s: f64) -> f64 {
        -(1.0 - self.random_unit()).ln() / rate_per_s.max(0.001)
    }

    /// Returns the index of a random kind, chosen by weight, and the parameters of its next call.
    fn next(&mut self) -> (usize, CallParams) {
        let mut remaining_weight = self.random_unit() * self.weight_sum;
        let mut index = 0;
        for (candidate, kind) in self.kinds.iter().enumerate() {
            index = candidate;
            remaining_weight -= kind.weight;
            if remaining_weight <= 0.0 {
                break;
            }
        }
        let kind = &self.kinds[index];
        let mut work_ms = kind.work_ms * (0.5 + self.random_unit());
        if self.random_unit() < kind.straggler_ratio {
            work_ms *= kind.straggler_factor;
        }
        self.call_count += 1;
        let call_id = format!("{:x}-{}", self.seed, self.call_count);
        let params = CallParams {
            path: format!("{}?work_ms={work_ms:.2}", kind.path),
            call_id,
            random: mix(self.state ^ self.call_count),
        };
        (index, params)
    }
}
