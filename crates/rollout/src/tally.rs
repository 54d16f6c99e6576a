//! Evidence about one rollout from all nodes that report to this one, and what it shows.

use std::collections::BTreeMap;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    FastMap,
    NodeId, //
};

use crate::cusum::{
    Cusum,
    Hypotheses, //
};
use crate::evidence::{
    EvidenceReport,
    RouteEvidence, //
};
use crate::slow::{
    SlowScore,
    SLOW_TESTS, //
};

/// Share of failures that any version may have, with a margin: up to 0.4% fail on a good one.
const GOOD_FAILED_RATE: f64 = 0.008;

/// The same for the test that looks for a small rate over many runs.
const GOOD_FAILED_RATE_LONG: f64 = 0.006;

/// Share of failures of a bad version.
const BAD_FAILED_RATE: f64 = 0.06;

/// Share of failures for which the long test looks.
const BAD_FAILED_RATE_LONG: f64 = 0.02;

/// Score of the tests of failures for a first run, and its growth with the logarithm of the number of
/// runs, since each further run may give a false alarm. After 100 runs a false alarm takes four
/// failures in some dozens of runs, after 3,000 five.
const FAILED_LIMIT: f64 = 4.2;
const FAILED_LIMIT_GROWTH: f64 = 0.45;

/// Number of runs of the old version on a route from which its run times are compared.
const MEDIAN_MIN_COUNT: u64 = 20;

/// Number of runs with the expected rate of failures that count beside those of the old version.
const PRIOR_RUN_COUNT: f64 = 100.0;

/// Expected rate of failures of any version.
const PRIOR_FAILED_RATE: f64 = 0.004;

/// Time over which failures of the old version count as recent.
const RECENT_TIME: Duration = Duration::from_millis(500);

/// Share of failures of the old version above which something makes both versions fail.
const SHARED_FAULT_RATE: f64 = 0.012;

/// Factor between the old version's share of failures and a good version's largest one. What makes both
/// fail need not hit them alike.
const SHARED_FAULT_FACTOR: f64 = 2.5;

/// Largest number of nodes whose reports are kept, which bounds memory.
const NODE_MAX_COUNT: usize = 20_000;

/// What the evidence shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Highest score as a part of its limit; the version is bad from [`STOP_LEVEL`] on.
    pub level: f64,
    /// Test that has the highest score.
    pub cause: &'static str,
}

/// Score at which the node that hears from all others stops the new version.
pub const STOP_LEVEL: f64 = 1.0;

/// Score at which a node stops the new version by its own target alone while another node decides. It
/// is higher, since one target does not show what fails on all versions.
pub const OWN_STOP_LEVEL: f64 = 3.0;

/// Scores of the new version, on one route or on all together.
#[derive(Clone, Debug, Default)]
struct Scores {
    failed: Cusum,
    failed_long: Cusum,
    slow: [SlowScore; SLOW_TESTS.len()],
}

/// Scores of the new version on one route.
#[derive(Clone, Debug, Default)]
struct NewRoute {
    scores: Scores,
    /// Runs that are not compared until enough run times of the old version are known.
    pending: RouteEvidence,
}

/// Counts of the old version on one route.
#[derive(Clone, Debug, Default)]
struct OldRoute {
    all: RouteEvidence,
    recent_failed: f64,
    recent_runs: f64,
    updated_at: Option<Instant>,
}

/// Counts that a node reported last, by version and route.
type Reported = BTreeMap<String, BTreeMap<String, RouteEvidence>>;

/// Evidence about one rollout.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    reported: FastMap<(NodeId, u64), Reported>,
    old: BTreeMap<String, OldRoute>,
    by_route: BTreeMap<String, NewRoute>,
    overall: Scores,
    /// Number of nodes that reported runs of the new version.
    new_node_count: usize,
    new_run_count: u64,
    new_failed_count: u64,
    /// Runs of the new version during the trial under load.
    trial_run_count: u64,
    old_run_count: u64,
}

impl Tally {
    /// Merges a report; one that was merged before, or is older, adds nothing. `target_version` is
    /// the new version.
    pub fn merge(&mut self, report: &EvidenceReport, target_version: &str, now: Instant) {
        let key = (report.node_id.clone(), report.epoch);
        if self.reported.len() >= NODE_MAX_COUNT && !self.reported.contains_key(&key) {
            return;
        }
        let mut known = self.reported.remove(&key).unwrap_or_default();
        for (version, routes) in &report.versions {
            let is_new = version == target_version;
            if is_new && !known.contains_key(version) {
                self.new_node_count += 1;
            }
            let known_routes = known.entry(version.clone()).or_default();
            for (route, counts) in routes {
                let earlier = known_routes.entry(route.clone()).or_default();
                let more = counts.since(earlier);
                if more == RouteEvidence::default() {
                    continue;
                }
                earlier.add(&more);
                if is_new {
                    self.add_new(&report.node_id, route, &more);
                } else {
                    self.add_old(route, &more, now);
                }
            }
        }
        self.reported.insert(key, known);
    }

    /// Returns what the evidence shows.
    pub fn verdict(&self) -> Verdict {
        let mut highest = Verdict {
            level: 0.0,
            cause: "none",
        };
        let mut consider = |level: f64, cause: &'static str| {
            if level > highest.level {
                highest = Verdict { level, cause };
            }
        };
        for NewRoute { scores, .. } in self.by_route.values() {
            consider(scores.failed_level(), "failures on a route");
            consider(scores.slow_level(), "slow answers on a route");
        }
        consider(self.overall.failed_level(), "failures");
        consider(self.overall.slow_level(), "slow answers");
        highest
    }

    /// Returns the highest scores of failures and of slow runs, as parts of their limits.
    pub(crate) fn levels(&self) -> (f64, f64) {
        let mut highest = (self.overall.failed_level(), self.overall.slow_level());
        for NewRoute { scores, .. } in self.by_route.values() {
            highest.0 = highest.0.max(scores.failed_level());
            highest.1 = highest.1.max(scores.slow_level());
        }
        highest
    }

    /// Returns the score of failures on a route.
    pub(crate) fn route_level(&self, route: &str) -> f64 {
        let new = self.by_route.get(route);
        new.map_or(0.0, |new| new.scores.failed_level())
    }

    /// Returns the route with the highest score of failures, and the score.
    pub(crate) fn most_suspect_route(&self) -> Option<(&str, f64)> {
        let mut highest: Option<(&str, f64)> = None;
        for (route, new) in &self.by_route {
            let level = new.scores.failed_level();
            if highest.is_none_or(|(_, known)| level > known) {
                highest = Some((route, level));
            }
        }
        highest
    }

    /// Returns the number of runs of the new version.
    pub fn new_run_count(&self) -> u64 {
        self.new_run_count
    }

    /// Returns the number of runs of the new version during the trial under load.
    pub(crate) fn trial_run_count(&self) -> u64 {
        self.trial_run_count
    }

    /// Sets the number of runs of the new version during the trial under load.
    pub(crate) fn set_trial_run_count(&mut self, run_count: u64) {
        self.trial_run_count = run_count;
    }

    /// Returns the number of failures of the new version.
    pub fn new_failed_count(&self) -> u64 {
        self.new_failed_count
    }

    /// Returns the number of runs of other versions.
    pub fn old_run_count(&self) -> u64 {
        self.old_run_count
    }

    fn add_old(&mut self, route: &str, more: &RouteEvidence, now: Instant) {
        self.old_run_count = self.old_run_count.saturating_add(more.run_count());
        let old = self.old.entry(route.to_owned()).or_default();
        old.all.add(more);
        if let Some(updated_at) = old.updated_at {
            let passed = now.saturating_duration_since(updated_at);
            let kept = (-passed.as_secs_f64() / RECENT_TIME.as_secs_f64()).exp();
            old.recent_failed *= kept;
            old.recent_runs *= kept;
        }
        old.recent_failed += more.failed_count as f64;
        old.recent_runs += more.run_count() as f64;
        old.updated_at = Some(now);
    }

    fn add_new(&mut self, node_id: &NodeId, route: &str, more: &RouteEvidence) {
        self.new_run_count = self.new_run_count.saturating_add(more.run_count());
        self.new_failed_count = self.new_failed_count.saturating_add(more.failed_count);
        let new = self.by_route.entry(route.to_owned()).or_default();
        let old = self.old.get(route);
        let old_rate = old.map_or(PRIOR_FAILED_RATE, OldRoute::failed_rate);
        let log_count = (self.new_run_count.max(1) as f64).ln();
        let limit = FAILED_LIMIT + FAILED_LIMIT_GROWTH * log_count;
        let short = failed_hypotheses(old_rate, limit);
        let long = failed_hypotheses_long(old_rate, limit);
        for scores in [&mut new.scores, &mut self.overall] {
            let (failed, answered) = (more.failed_count, more.answered_count);
            scores.failed.add(failed, answered, &short);
            scores.failed_long.add(failed, answered, &long);
        }
        new.pending.add(more);
        let Some((old, median_bin)) = old.and_then(|old| Some((&old.all, old.median_bin()?)))
        else {
            return;
        };
        for (index, slow_test) in SLOW_TESTS.iter().enumerate() {
            let slow_bin = median_bin.saturating_add(slow_test.bin_count);
            let (slow_count, fast_count) = new.pending.slow_and_fast(slow_bin);
            let test = slow_test.hypotheses(old, slow_bin, self.new_run_count);
            for scores in [&mut new.scores, &mut self.overall] {
                scores.slow[index].add(
                    (node_id, self.new_node_count),
                    slow_count,
                    fast_count,
                    &test,
                );
            }
        }
        new.pending = RouteEvidence::default();
    }
}

impl Scores {
    fn failed_level(&self) -> f64 {
        self.failed.level().max(self.failed_long.level())
    }

    fn slow_level(&self) -> f64 {
        let levels = self.slow.iter().map(SlowScore::level);
        levels.fold(0.0, f64::max)
    }
}

impl OldRoute {
    /// Returns the share of failures, over all runs or the recent ones, whichever is higher. What
    /// makes both versions fail is not the new one's fault.
    fn failed_rate(&self) -> f64 {
        let rate = |failed: f64, runs: f64| {
            (failed + PRIOR_FAILED_RATE * PRIOR_RUN_COUNT) / (runs + PRIOR_RUN_COUNT)
        };
        let run_count = self.all.run_count();
        let all = rate(self.all.failed_count as f64, run_count as f64);
        all.max(rate(self.recent_failed, self.recent_runs))
    }

    /// Returns the bin of the median run time, unless too few runs are known.
    fn median_bin(&self) -> Option<u8> {
        let (count, median_bin) = self.all.median_bin()?;
        (count >= MEDIAN_MIN_COUNT).then_some(median_bin)
    }
}

fn failed_hypotheses(old_rate: f64, limit: f64) -> Hypotheses {
    let good_rate = (old_rate * SHARED_FAULT_FACTOR).clamp(GOOD_FAILED_RATE, 0.3);
    Hypotheses {
        good_rate,
        bad_rate: (good_rate * 3.0).clamp(BAD_FAILED_RATE, 0.9),
        limit,
    }
}

fn failed_hypotheses_long(old_rate: f64, limit: f64) -> Hypotheses {
    let factor = if old_rate > SHARED_FAULT_RATE {
        SHARED_FAULT_FACTOR
    } else {
        1.5
    };
    let good_rate = (old_rate * factor).clamp(GOOD_FAILED_RATE_LONG, 0.3);
    Hypotheses {
        good_rate,
        bad_rate: (good_rate * 3.0).clamp(BAD_FAILED_RATE_LONG, 0.9),
        limit,
    }
}
