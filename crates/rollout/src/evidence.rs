//! What the runs at one target show, counted by route since the order.

use std::collections::BTreeMap;
use std::time::Duration;

use figway_types::{
    NodeId,
    Offset, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Ratio between the bounds of a bin of run times.
const BIN_RATIO: f64 = std::f64::consts::SQRT_2;

/// Largest bin; it holds run times from 65 s on.
const BIN_MAX: u8 = 32;

/// Largest number of routes that are counted apart, which bounds the size of reports. Runs of further ones count together.
const ROUTE_MAX_COUNT: usize = 32;

/// Name under which the runs of further routes count.
const OTHER_ROUTES: &str = "";

/// How one run at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSample {
    /// It was answered without a failure.
    Answered {
        /// Time from sending the call to its answer.
        ran: Duration,
    },
    /// Its answer was a failure, or the target broke off.
    Failed,
    /// It was given up after this time without an answer.
    GivenUp {
        /// Time from sending the call to giving it up.
        after: Duration,
    },
}

/// Counts of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Runs that were answered without a failure.
    #[serde(default)]
    pub answered_count: u64,
    /// Runs that failed.
    #[serde(default)]
    pub failed_count: u64,
    /// Number of answered runs by the bin of their run time.
    #[serde(default)]
    pub ran: BTreeMap<u8, u64>,
    /// Number of runs that were given up, by the bin of the time until then.
    #[serde(default)]
    pub given_up: BTreeMap<u8, u64>,
}

/// All that one node counted for a rollout at the target beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Node beside the target.
    pub node_id: NodeId,
    /// Number of the node's process; counts start at 0 with each.
    pub epoch: u64,
    /// Service of the target.
    pub service: String,
    /// Offset of the order.
    pub order_offset: Offset,
    /// Counts by version and route.
    pub versions: BTreeMap<String, BTreeMap<String, RouteEvidence>>,
}

/// Counter of the runs at the target beside this node.
#[derive(Clone, Debug, Default)]
pub struct RunCounter {
    versions: BTreeMap<String, BTreeMap<String, RouteEvidence>>,
    run_count: u64,
}

impl RunCounter {
    /// Counts a run. The times of a target that has just started are left out, since it is slow.
    pub fn record(&mut self, version: &str, route: &str, sample: RunSample, is_cold: bool) {
        let routes = self.versions.entry(version.to_owned()).or_default();
        let full = routes.len() >= ROUTE_MAX_COUNT && !routes.contains_key(route);
        let route = if full { OTHER_ROUTES } else { route };
        let counts = routes.entry(route.to_owned()).or_default();
        self.run_count += 1;
        match sample {
            RunSample::Failed => counts.failed_count += 1,
            RunSample::Answered { ran } => {
                counts.answered_count += 1;
                if !is_cold {
                    *counts.ran.entry(bin_of(ran)).or_default() += 1;
                }
            }
            RunSample::GivenUp { after } => {
                if !is_cold {
                    *counts.given_up.entry(bin_of(after)).or_default() += 1;
                }
            }
        }
    }

    /// Returns how many runs were counted.
    pub fn run_count(&self) -> u64 {
        self.run_count
    }

    /// Returns the counts by version and route.
    pub fn versions(&self) -> &BTreeMap<String, BTreeMap<String, RouteEvidence>> {
        &self.versions
    }
}

/// Returns the bin of a run time.
pub(crate) fn bin_of(ran: Duration) -> u8 {
    let ran_ms = (ran.as_secs_f64() * 1_000.0).max(1.0);
    (ran_ms.ln() / BIN_RATIO.ln()).min(f64::from(BIN_MAX)) as u8
}

impl RouteEvidence {
    /// Returns the number of runs that ended.
    pub(crate) fn run_count(&self) -> u64 {
        self.answered_count.saturating_add(self.failed_count)
    }

    /// Adds `other` to the counts.
    pub(crate) fn add(&mut self, other: &RouteEvidence) {
        self.answered_count = self.answered_count.saturating_add(other.answered_count);
        self.failed_count = self.failed_count.saturating_add(other.failed_count);
        for (bin, count) in &other.ran {
            add_to_bin(&mut self.ran, *bin, *count);
        }
        for (bin, count) in &other.given_up {
            add_to_bin(&mut self.given_up, *bin, *count);
        }
    }

    /// Returns the counts beyond those of `earlier`.
    pub(crate) fn since(&self, earlier: &RouteEvidence) -> RouteEvidence {
        RouteEvidence {
            answered_count: self.answered_count.saturating_sub(earlier.answered_count),
            failed_count: self.failed_count.saturating_sub(earlier.failed_count),
            ran: bins_since(&self.ran, &earlier.ran),
            given_up: bins_since(&self.given_up, &earlier.given_up),
        }
    }

    /// Returns the number of answers whose run time is counted, and the bin of the median.
    pub(crate) fn median_bin(&self) -> Option<(u64, u8)> {
        let total = sum(self.ran.values());
        let mut below: u64 = 0;
        for (bin, count) in &self.ran {
            below = below.saturating_add(*count);
            if below >= total.div_ceil(2) {
                return Some((total, *bin));
            }
        }
        None
    }

    /// Returns how many runs took at least `slow_bin`, and how many took less. Runs that were given up
    /// earlier than that count as neither.
    pub(crate) fn slow_and_fast(&self, slow_bin: u8) -> (u64, u64) {
        let slow = self.ran.range(slow_bin..).map(|(_, count)| count);
        let given_up = self.given_up.range(slow_bin..).map(|(_, count)| count);
        let fast = self.ran.range(..slow_bin).map(|(_, count)| count);
        (sum(slow).saturating_add(sum(given_up)), sum(fast))
    }
}

/// Adds `count` to a bin. Bins of a peer beyond the last one count as that.
fn add_to_bin(bins: &mut BTreeMap<u8, u64>, bin: u8, count: u64) {
    let known = bins.entry(bin.min(BIN_MAX)).or_default();
    *known = known.saturating_add(count);
}

/// Returns the sum of counts that a peer may state, which can be of any size.
fn sum<'a>(counts: impl Iterator<Item = &'a u64>) -> u64 {
    counts.fold(0, |sum: u64, count| sum.saturating_add(*count))
}

fn bins_since(bins: &BTreeMap<u8, u64>, earlier: &BTreeMap<u8, u64>) -> BTreeMap<u8, u64> {
    let mut since = BTreeMap::new();
    for (bin, count) in bins {
        let more = count.saturating_sub(earlier.get(bin).copied().unwrap_or(0));
        if more > 0 {
            since.insert(*bin, more);
        }
    }
    since
}
