//! Sequential test for a change: Wald's likelihood ratio of a bad version to a good one, which never
//! falls below zero, so that a version that turns bad late is found as fast as one that is bad at
//! once.

/// Two rates between which the test decides, and the score at which it does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hypotheses {
    /// Largest rate of hits of a good version.
    pub(crate) good_rate: f64,
    /// Rate of hits of a bad version.
    pub(crate) bad_rate: f64,
    /// Score at which the version counts as bad.
    pub(crate) limit: f64,
}

impl Hypotheses {
    /// Returns the part of the limit that `hit_count` bad runs add.
    pub(crate) fn hit_level(&self, hit_count: f64) -> f64 {
        (self.bad_rate / self.good_rate).ln() * hit_count / self.limit
    }
}

/// Sum of log-likelihood ratios since it was last zero.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cusum {
    /// Score as a part of the limit.
    level: f64,
}

impl Cusum {
    /// Adds runs of which `hit_count` were bad and `miss_count` were not.
    pub(crate) fn add(&mut self, hit_count: u64, miss_count: u64, test: &Hypotheses) {
        let per_hit = (test.bad_rate / test.good_rate).ln();
        let per_miss = ((1.0 - test.bad_rate) / (1.0 - test.good_rate)).ln();
        let change = per_hit * hit_count as f64 + per_miss * miss_count as f64;
        self.level = (self.level + change / test.limit).max(0.0);
    }

    /// Returns the score as a part of the limit; the version is bad from 1 on.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }
}
