//! Suspicion that requests with one fingerprint crash targets, from all reports on them.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::FastMap;

use crate::crash_report::REPORT_TTL;

/// Requests with a fingerprint are refused once it has this number of unexpired crashes, and fewer than
/// [`ANSWERS_PER_CRASH`] answers for each.
const QUARANTINE_CRASH_COUNT: usize = 2;

/// Answers that speak as much against a suspicion as one crash speaks for it. What crashes targets is
/// answered by few of them at most.
const ANSWERS_PER_CRASH: u64 = 4;

/// Time after the last of [`QUARANTINE_CRASH_COUNT`] crashes after which requests are passed on again
/// until a further crash. An innocent request may have been at work at both.
const SECOND_TRIAL_AFTER: Duration = Duration::from_secs(60);

/// What is reported of a run of a target and a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// The run crashed while the request was at work.
    Crashed,
    /// The run answered the request so many times.
    Answered(u32),
    /// The run was taken for crashed, and answers again.
    Revived,
}

/// Answers by one run of a target.
#[derive(Clone, Copy, Debug)]
struct Survival {
    answer_count: u32,
    expires_at: Instant,
}

/// Reports of one fingerprint by the ids of the runs, with the times at which they expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicion {
    crashes: FastMap<u64, Instant>,
    survivals: FastMap<u64, Survival>,
    /// Crashes that were taken back.
    withdrawals: FastMap<u64, Instant>,
}

impl Suspicion {
    /// Adds what a report tells. Returns whether it is new.
    pub(crate) fn add(&mut self, event: Event, run_id: u64, expires_at: Instant) -> bool {
        let answer_count = match event {
            Event::Crashed => return insert_new(&mut self.crashes, run_id, expires_at),
            Event::Revived => return insert_new(&mut self.withdrawals, run_id, expires_at),
            Event::Answered(answer_count) => answer_count,
        };
        let known = self.survivals.get(&run_id);
        if known.is_some_and(|known| known.answer_count >= answer_count) {
            return false;
        }
        let survival = Survival {
            answer_count,
            expires_at,
        };
        self.survivals.insert(run_id, survival);
        true
    }

    /// Removes what an expired or evicted report told, unless a later one told more.
    pub(crate) fn remove(&mut self, event: Event, run_id: u64) {
        match event {
            Event::Crashed => {
                self.crashes.remove(&run_id);
            }
            Event::Revived => {
                self.withdrawals.remove(&run_id);
            }
            Event::Answered(answer_count) => {
                let known = self.survivals.get(&run_id);
                if known.is_some_and(|known| known.answer_count <= answer_count) {
                    self.survivals.remove(&run_id);
                }
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty() && self.withdrawals.is_empty()
    }

    /// Returns the times at which the crashes expire that have not expired and were not taken back.
    fn crashes(&self, now: Instant) -> impl Iterator<Item = Instant> + '_ {
        self.crashes
            .iter()
            .filter(move |(crash_id, expires_at)| {
                **expires_at > now && !self.withdrawals.contains_key(crash_id)
            })
            .map(|(_, expires_at)| *expires_at)
    }

    /// Returns the number of runs whose answers were reported.
    pub(crate) fn answering_run_count(&self) -> usize {
        self.survivals.len()
    }

    /// Returns whether answers by the run were reported.
    pub(crate) fn has_answers_of(&self, run_id: u64) -> bool {
        self.survivals.contains_key(&run_id)
    }

    fn answer_count(&self, now: Instant) -> u64 {
        let mut count = 0;
        for survival in self.survivals.values() {
            if survival.expires_at > now {
                count += u64::from(survival.answer_count);
            }
        }
        count
    }

    /// Returns whether requests with the fingerprint are refused.
    pub(crate) fn is_quarantined(&self, now: Instant) -> bool {
        let crash_count = self.crashes(now).count();
        let is_on_trial = crash_count == QUARANTINE_CRASH_COUNT
            && self
                .crashes(now)
                .all(|expires_at| expires_at + SECOND_TRIAL_AFTER <= now + REPORT_TTL);
        crash_count >= QUARANTINE_CRASH_COUNT
            && !is_on_trial
            && self.answer_count(now) < ANSWERS_PER_CRASH * crash_count as u64
    }
}

fn insert_new(runs: &mut FastMap<u64, Instant>, run_id: u64, expires_at: Instant) -> bool {
    if runs.contains_key(&run_id) {
        return false;
    }
    runs.insert(run_id, expires_at);
    true
}
