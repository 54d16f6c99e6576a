//! How often requests were answered lately, so that a crash can be weighed against that at once.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    FastMap,
    Fingerprint, //
};

/// Time after which counts become old, and after twice of which they are forgotten.
const AGE_STEP: Duration = Duration::from_secs(30);

/// Largest number of requests with counts that are not old.
const REQUEST_MAX_COUNT: usize = 2_048;

/// Answers to one request by one run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnswerCount {
    /// Id of the run and the request.
    pub(crate) run_id: u64,
    /// Number of answers.
    pub(crate) count: u32,
}

/// Numbers of answers to the requests of the last minute. If there are too many requests, those that
/// were answered long ago are forgotten earlier.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentAnswers {
    new: FastMap<Fingerprint, AnswerCount>,
    old: FastMap<Fingerprint, AnswerCount>,
    ages_at: Option<Instant>,
}

impl RecentAnswers {
    /// Counts an answer, and returns the number of answers by the same run so far.
    pub(crate) fn record(&mut self, fingerprint: Fingerprint, run_id: u64, now: Instant) -> u32 {
        self.age(now);
        let known = self.get(fingerprint).filter(|known| known.run_id == run_id);
        let earlier_count = known.map_or(0, |known| known.count);
        let count = earlier_count.saturating_add(1);
        self.new.insert(fingerprint, AnswerCount { run_id, count });
        count
    }

    /// Returns how often the request was answered by the run that answered it last.
    pub(crate) fn get(&self, fingerprint: Fingerprint) -> Option<AnswerCount> {
        let known = self.new.get(&fingerprint);
        known.or_else(|| self.old.get(&fingerprint)).copied()
    }

    fn age(&mut self, now: Instant) {
        let ages_at = *self.ages_at.get_or_insert(now + AGE_STEP);
        if now < ages_at && self.new.len() < REQUEST_MAX_COUNT {
            return;
        }
        self.old = std::mem::take(&mut self.new);
        self.ages_at = Some(now + AGE_STEP);
    }
}
