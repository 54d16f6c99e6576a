//! Tests of run times: whether a larger share of the new version's runs is slow than of the old one's.

use figway_types::{
    FastMap,
    NodeId, //
};

use crate::cusum::{
    Cusum,
    Hypotheses, //
};
use crate::evidence::RouteEvidence;

/// Tests of run times. The second finds a small part of much slower runs sooner, as few runs of the old
/// version take that long. The first is for services whose callers give up before a run counts as slow
/// by the second.
pub(crate) const SLOW_TESTS: [SlowTest; 2] = [
    SlowTest {
        bin_count: 3,
        margin: 0.05,
        limit: 10.0,
        limit_growth: 3.0,
        margin_growth: 0.0,
    },
    SlowTest {
        bin_count: 4,
        margin: 0.03,
        limit: 5.0,
        limit_growth: 5.0,
        margin_growth: 0.04,
    },
];

/// Added to a good version's largest share of slow runs to get a bad one's.
const SLOW_RATE_STEP: f64 = 0.15;

/// Expected share of slow runs of any version, and the number of runs with it that count beside those of
/// the old version. A node that takes over knows few of them at first.
const PRIOR_SLOW_RATE: f64 = 0.06;
const PRIOR_SLOW_RUN_COUNT: f64 = 60.0;

/// Test of the share of slow runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowTest {
    /// Number of bins above the median of the old version from which a run is slow: 3 bins are 2.8
    /// times the median, 4 are 4 times.
    pub(crate) bin_count: u8,
    /// Added to the old version's share of slow runs, since targets differ in speed.
    margin: f64,
    /// Score at which the version counts as bad after up to 150 runs. It is higher than for failures, as
    /// slow runs of one target come in groups.
    limit: f64,
    /// Growth of the limit with the logarithm of the number of runs as a multiple of 150.
    limit_growth: f64,
    /// Added to the margin in proportion to the number of runs, up to 400 of them.
    margin_growth: f64,
}

/// Score of a test of run times, and where it comes from.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowScore {
    cusum: Cusum,
    /// Slow runs by node since the score was last zero.
    slow_counts: FastMap<NodeId, u64>,
    /// Part of the score from those slow runs that the node with most of them has beyond the mean of the
    /// others.
    surplus: f64,
}

impl SlowScore {
    /// Adds runs at the target of a node, one of `node_count`.
    pub(crate) fn add(
        &mut self,
        (node_id, node_count): (&NodeId, usize),
        slow_count: u64,
        fast_count: u64,
        test: &Hypotheses,
    ) {
        self.cusum.add(slow_count, fast_count, test);
        if self.cusum.level() <= 0.0 {
            self.slow_counts.clear();
            self.surplus = 0.0;
            return;
        }
        if slow_count > 0 {
            *self.slow_counts.entry(node_id.clone()).or_default() += slow_count;
        }
        let most = self.slow_counts.values().copied().max().unwrap_or(0);
        let of_others = self.slow_counts.values().sum::<u64>() - most;
        let usual = match node_count {
            0 | 1 => most as f64,
            _ => of_others as f64 / (node_count - 1) as f64,
        };
        self.surplus = test.hit_level((most as f64 - usual).max(0.0));
    }

    /// Returns the score. The target with most slow runs counts with as many as the others have on
    /// average, since any target may be slow for a while.
    pub(crate) fn level(&self) -> f64 {
        self.cusum.level() - self.surplus
    }
}

impl SlowTest {
    /// Returns the shares of slow runs between which the test decides, from the runs of the old version.
    pub(crate) fn hypotheses(
        &self,
        old: &RouteEvidence,
        slow_bin: u8,
        new_run_count: u64,
    ) -> Hypotheses {
        let (slow, fast) = old.slow_and_fast(slow_bin);
        let run_count = slow.saturating_add(fast) as f64;
        let old_rate = (slow as f64 + PRIOR_SLOW_RATE * PRIOR_SLOW_RUN_COUNT)
            / (run_count + PRIOR_SLOW_RUN_COUNT);
        let margin = self.margin + self.margin_growth * (new_run_count as f64 / 400.0).min(1.0);
        let good_rate = (old_rate * 1.3 + margin).min(0.6);
        Hypotheses {
            good_rate,
            bad_rate: good_rate + SLOW_RATE_STEP,
            limit: self.limit + self.limit_growth * (new_run_count as f64 / 150.0).max(1.0).ln(),
        }
    }
}
