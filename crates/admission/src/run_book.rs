//! What one run of a target had at work when it ended.
//!
//! A crash is a fact about a run of a target, not about the attempt that notices it: the deadline of an
//! attempt may pass, or its caller leave, before the target ends. So the calls that were sent to a run
//! are kept here until they are answered, or until so long after they were given up that the target
//! was seen alive without them.

use std::collections::VecDeque;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    FastMap,
    Fingerprint, //
};

/// Time for which a call that was given up may still run at the target.
pub const GIVEN_UP_TTL: Duration = Duration::from_secs(3);

/// Largest number of given-up calls that are kept. The oldest are dropped first.
const GIVEN_UP_MAX_COUNT: usize = 1_024;

/// Calls with one fingerprint.
#[derive(Clone, Debug)]
struct Entry {
    /// Id of the latest of the requests, for the log.
    request_id: String,
    /// Number of calls that wait for an answer.
    running_count: usize,
    /// Number of calls that were given up and are still kept.
    given_up_count: usize,
}

/// Call that was given up before its answer.
#[derive(Clone, Copy, Debug)]
struct GivenUp {
    fingerprint: Fingerprint,
    /// Time until which the call may still run.
    runs_until: Instant,
}

/// How a call ended, as far as the node beside the target saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnding {
    /// The target answered, so that it was alive.
    Answered,
    /// Nothing was sent to the target.
    NotSent,
    /// No end was seen. The call may still run at the target.
    GivenUp,
}

/// Request that was, or may have been, at work when a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Id of the request, or of the latest of several equal ones.
    pub request_id: String,
}

/// Calls that were sent to one run of a target and may be at work there.
#[derive(Clone, Debug)]
pub struct RunBook {
    entries: FastMap<Fingerprint, Entry>,
    /// Given-up calls, oldest first.
    given_up: VecDeque<GivenUp>,
    /// When the run was last known to be alive.
    alive_at: Instant,
    dropped_count: u64,
}

impl RunBook {
    /// Creates an empty book of a run that is alive at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            entries: FastMap::default(),
            given_up: VecDeque::new(),
            alive_at: now,
            dropped_count: 0,
        }
    }

    /// Records that a call is sent to the target.
    pub fn begin(&mut self, fingerprint: Fingerprint, request_id: &str) {
        let entry = self.entries.entry(fingerprint).or_insert_with(|| Entry {
            request_id: String::new(),
            running_count: 0,
            given_up_count: 0,
        });
        request_id.clone_into(&mut entry.request_id);
        entry.running_count += 1;
    }

    /// Records how a call ended that began before.
    pub fn end(&mut self, fingerprint: Fingerprint, ending: CallEnding, now: Instant) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        entry.running_count = entry.running_count.saturating_sub(1);
        match ending {
            CallEnding::Answered => self.record_alive(now),
            CallEnding::NotSent => {}
            CallEnding::GivenUp => self.keep_given_up(fingerprint, now),
        }
        self.remove_unused(fingerprint);
    }

    /// Records that the run was alive at `now`. Calls that were given up long before that no longer
    /// count.
    pub fn record_alive(&mut self, now: Instant) {
        self.alive_at = self.alive_at.max(now);
        while let Some(oldest) = self.given_up.front() {
            if oldest.runs_until > self.alive_at {
                return;
            }
            self.forget_oldest();
        }
    }

    /// Returns when the run was last known to be alive.
    pub fn alive_at(&self) -> Instant {
        self.alive_at
    }

    /// Returns whether a call was given up so lately that it may still run at `now`.
    pub fn has_doubtful_calls(&self, now: Instant) -> bool {
        let newest = self.given_up.back();
        newest.is_some_and(|newest| newest.runs_until > now)
    }

    /// Returns how many given-up calls were dropped because there were too many.
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count
    }

    /// Returns the requests that may have been at work when the run ended, in the order of their
    /// fingerprints.
    pub fn suspects(&self) -> Vec<Suspect> {
        let mut suspects = Vec::new();
        for (fingerprint, entry) in &self.entries {
            suspects.push(Suspect {
                fingerprint: *fingerprint,
                request_id: entry.request_id.clone(),
            });
        }
        suspects.sort_by_key(|suspect| suspect.fingerprint);
        suspects
    }

    fn keep_given_up(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.given_up_count += 1;
        }
        self.given_up.push_back(GivenUp {
            fingerprint,
            runs_until: now + GIVEN_UP_TTL,
        });
        if self.given_up.len() > GIVEN_UP_MAX_COUNT {
            self.dropped_count += 1;
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.given_up.pop_front() else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&oldest.fingerprint) {
            entry.given_up_count -= 1;
        }
        self.remove_unused(oldest.fingerprint);
    }

    fn remove_unused(&mut self, fingerprint: Fingerprint) {
        let entry = self.entries.get(&fingerprint);
        if entry.is_some_and(|entry| entry.running_count == 0 && entry.given_up_count == 0) {
            self.entries.remove(&fingerprint);
        }
    }
}
