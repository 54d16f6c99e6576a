//! Outcomes of this node's keyed attempts, remembered for resends of their keys.

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

use crate::call::Fate;

/// Bodies that are remembered, in all; the oldest answers are forgotten first.
const BODY_MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// Outcomes that are remembered, in all.
const OUTCOME_MAX_COUNT: usize = 50_000;

struct Kept {
    outcome: KeyOutcome,
    expires_at: Instant,
}

#[derive(Default)]
struct Book {
    kept: FastMap<u64, Kept>,
    order: std::collections::VecDeque<u64>,
    body_bytes: usize,
}

/// Outcomes by attempt.
pub(crate) struct Outcomes {
    book: Mutex<Book>,
    remember_ms: u64,
}

impl Outcomes {
    pub(crate) fn new(remember_ms: u64) -> Self {
        Self {
            book: Mutex::default(),
            remember_ms,
        }
    }

    /// Notes an attempt before its key is claimed. A guard that drops before it was told the fate
    /// counts as not run, or as unknown once it was started.
    pub(crate) fn begin(&self, attempt_id: u64) -> Attempt<'_> {
        self.keep(attempt_id, KeyOutcome::Running);
        Attempt {
            outcomes: self,
            attempt_id,
            if_dropped: Some(KeyOutcome::NotRun),
        }
    }

    fn keep(&self, attempt_id: u64, outcome: KeyOutcome) {
        let kept = Kept {
            outcome,
            expires_at: Instant::now() + Duration::from_millis(self.remember_ms),
        };
        self.book().keep(attempt_id, kept);
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().expect("no holder panics")
    }
}

impl OutcomeSource for Outcomes {
    fn outcome(&self, attempt_id: u64) -> KeyOutcome {
        let book = self.book();
        match book.kept.get(&attempt_id) {
            Some(kept) if kept.expires_at > Instant::now() => kept.outcome.clone(),
            _ => KeyOutcome::Unknown,
        }
    }
}

/// A keyed attempt that runs.
pub(crate) struct Attempt<'a> {
    outcomes: &'a Outcomes,
    attempt_id: u64,
    if_dropped: Option<KeyOutcome>,
}

impl Attempt<'_> {
    /// Notes that the key was won and a target may see the call.
    pub(crate) fn start(&mut self) {
        self.if_dropped = Some(KeyOutcome::Unknown);
    }

    /// Notes how the attempt ended.
    pub(crate) fn end(mut self, fate: &Fate) {
        self.if_dropped = None;
        let outcome = match fate {
            Fate::Answered(answer) => KeyOutcome::Answered(StoredAnswer {
                status: answer.status,
                content_type: answer.content_type().to_owned(),
                body: answer.body.to_vec(),
            }),
            Fate::NotRun(_) => KeyOutcome::NotRun,
            Fate::Unknown(_) => KeyOutcome::Unknown,
        };
        self.outcomes.keep(self.attempt_id, outcome);
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if let Some(outcome) = self.if_dropped.take() {
            self.outcomes.keep(self.attempt_id, outcome);
        }
    }
}

impl Book {
    fn keep(&mut self, attempt_id: u64, kept: Kept) {
        self.body_bytes += body_len(&kept.outcome);
        match self.kept.insert(attempt_id, kept) {
            Some(earlier) => self.body_bytes -= body_len(&earlier.outcome),
            None => self.order.push_back(attempt_id),
        }
        let now = Instant::now();
        while let Some(oldest) = self.order.front() {
            let full = self.body_bytes > BODY_MAX_BYTES || self.order.len() > OUTCOME_MAX_COUNT;
            let expired = self
                .kept
                .get(oldest)
                .is_none_or(|kept| kept.expires_at <= now);
            if !full && !expired {
                return;
            }
            if let Some(forgotten) = self.kept.remove(oldest) {
                self.body_bytes -= body_len(&forgotten.outcome);
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
