//! Outcomes of this node's keyed attempts, kept to answer later submissions of the same keys.

use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_control::{
    KeyOutcome,
    OutcomeSource,
    StoredAnswer, //
};
use figway_types::FastMap;

use crate::call::Outcome;

/// Maximum total size of the kept answer bodies. The oldest outcomes are evicted first.
const BODY_MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// Maximum number of kept outcomes.
const OUTCOME_MAX_COUNT: usize = 50_000;

struct KeptOutcome {
    outcome: KeyOutcome,
    expires_at: Instant,
}

#[derive(Default)]
struct Inner {
    /// Outcomes by attempt id.
    outcomes: FastMap<u64, KeptOutcome>,
    /// Attempt ids, oldest first.
    order: std::collections::VecDeque<u64>,
    body_bytes: usize,
}

/// Outcomes of keyed attempts by attempt id.
pub(crate) struct KeyedOutcomes {
    inner: Mutex<Inner>,
    remember_ms: u64,
}

impl KeyedOutcomes {
    pub(crate) fn new(remember_ms: u64) -> Self {
        Self {
            inner: Mutex::default(),
            remember_ms,
        }
    }

    /// Records an attempt as running, before its key is claimed. A guard that drops before
    /// [`KeyedAttempt::finish`] records `NotRun`, or `Unknown` after
    /// [`KeyedAttempt::mark_started`].
    pub(crate) fn begin(&self, attempt_id: u64) -> KeyedAttempt<'_> {
        self.keep(attempt_id, KeyOutcome::Running);
        KeyedAttempt {
            outcomes: self,
            attempt_id,
            outcome_on_drop: Some(KeyOutcome::NotRun),
        }
    }

    fn keep(&self, attempt_id: u64, outcome: KeyOutcome) {
        let kept = KeptOutcome {
            outcome,
            expires_at: Instant::now() + Duration::from_millis(self.remember_ms),
        };
        self.lock().keep(attempt_id, kept);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }
}

impl OutcomeSource for KeyedOutcomes {
    fn outcome(&self, attempt_id: u64) -> KeyOutcome {
        let inner = self.lock();
        match inner.outcomes.get(&attempt_id) {
            Some(kept) if kept.expires_at > Instant::now() => kept.outcome.clone(),
            _ => KeyOutcome::Unknown,
        }
    }
}

/// Guard of a running keyed attempt. Records its outcome when finished or dropped.
pub(crate) struct KeyedAttempt<'a> {
    outcomes: &'a KeyedOutcomes,
    attempt_id: u64,
    outcome_on_drop: Option<KeyOutcome>,
}

impl KeyedAttempt<'_> {
    /// Marks the claim as won. From now on a target may run the call.
    pub(crate) fn mark_started(&mut self) {
        self.outcome_on_drop = Some(KeyOutcome::Unknown);
    }

    /// Records the outcome of the attempt.
    pub(crate) fn finish(mut self, outcome: &Outcome) {
        self.outcome_on_drop = None;
        let key_outcome = match outcome {
            Outcome::Answered(answer) => KeyOutcome::Answered(StoredAnswer {
                status: answer.status,
                content_type: answer.content_type().to_owned(),
                body: answer.body.to_vec(),
            }),
            Outcome::NotRun(_) => KeyOutcome::NotRun,
            Outcome::Unknown(_) => KeyOutcome::Unknown,
        };
        self.outcomes.keep(self.attempt_id, key_outcome);
    }
}

impl Drop for KeyedAttempt<'_> {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome_on_drop.take() {
            self.outcomes.keep(self.attempt_id, outcome);
        }
    }
}

impl Inner {
    /// Stores an outcome, then evicts the oldest ones that expired or exceed the limits.
    fn keep(&mut self, attempt_id: u64, kept: KeptOutcome) {
        self.body_bytes += body_len(&kept.outcome);
        match self.outcomes.insert(attempt_id, kept) {
            Some(earlier) => self.body_bytes -= body_len(&earlier.outcome),
            None => self.order.push_back(attempt_id),
        }
        let now = Instant::now();
        while let Some(oldest) = self.order.front() {
            let full = self.body_bytes > BODY_MAX_BYTES || self.order.len() > OUTCOME_MAX_COUNT;
            let expired = self
                .outcomes
                .get(oldest)
                .is_none_or(|kept| kept.expires_at <= now);
            if !full && !expired {
                return;
            }
            if let Some(evicted) = self.outcomes.remove(oldest) {
                self.body_bytes -= body_len(&evicted.outcome);
            }
            self.order.pop_front();
        }
    }
}

fn body_len(outcome: &KeyOutcome) -> usize {
    match outcome {
        KeyOutcome::Answered(answer) => answer.body.len(),
        KeyOutcome::Running | KeyOutcome::NotRun | KeyOutcome::Unknown => 0,
    }
}
