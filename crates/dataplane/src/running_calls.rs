//! Calls that the local target is running, which may make nested calls.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::Instant;

use figway_admission::GIVEN_UP_TTL;
use figway_types::FastMap;

use crate::call::{
    AdmissionRequest,
    AttemptKind, //
};

/// Largest number of calls that are kept after they were given up.
const GIVEN_UP_MAX_COUNT: usize = 1_024;

/// Call that the local target is running.
#[derive(Clone, Debug)]
pub(crate) struct RunningCall {
    /// Kind of the attempt that made the target run the call.
    pub(crate) attempt_kind: AttemptKind,
    /// Customer to whom the call belongs, if any.
    pub(crate) customer: Option<Arc<str>>,
    /// Rank of the call.
    pub(crate) rank: u32,
    /// Whether a nested call of it was refused for overload.
    nested_refused: bool,
    /// Deadline of the call, at which calls that are nested in it expire too.
    pub(crate) deadline: Instant,
    /// Time until which a call that was given up counts as running.
    given_up_until: Option<Instant>,
}

/// Calls that the local target is running, by request id.
#[derive(Default)]
pub(crate) struct RunningCalls {
    calls: Mutex<FastMap<String, RunningCall>>,
}

impl RunningCalls {
    fn lock(&self) -> MutexGuard<'_, FastMap<String, RunningCall>> {
        self.calls.lock().expect("no holder panics")
    }

    /// Registers a call as running. Until its end is seen it counts as given up when the guard drops.
    pub(crate) fn begin(&self, call: &AdmissionRequest<'_>) -> RunningGuard<'_> {
        let running = RunningCall {
            attempt_kind: call.attempt_kind,
            customer: call.customer.map(Arc::from),
            rank: call.rank,
            nested_refused: false,
            deadline: call.deadline,
            given_up_until: None,
        };
        self.lock().insert(call.request_id.to_owned(), running);
        RunningGuard {
            calls: self,
            request_id: call.request_id.to_owned(),
            ended: false,
        }
    }

    /// Returns the call with the id, or `None` if the target does not run it.
    pub(crate) fn get(&self, request_id: &str, now: Instant) -> Option<RunningCall> {
        let calls = self.lock();
        let call = calls.get(request_id)?;
        let is_over = call.given_up_until.is_some_and(|until| until <= now);
        (!is_over).then(|| call.clone())
    }

    /// Records that a nested call of the call was refused for overload.
    pub(crate) fn record_nested_refusal(&self, request_id: &str) {
        if let Some(call) = self.lock().get_mut(request_id) {
            call.nested_refused = true;
        }
    }

    fn nested_was_refused(&self, request_id: &str) -> bool {
        let calls = self.lock();
        calls
            .get(request_id)
            .is_some_and(|call| call.nested_refused)
    }

    fn end(&self, request_id: &str, ended: bool, now: Instant) {
        let mut calls = self.lock();
        if ended {
            calls.remove(request_id);
            return;
        }
        if let Some(call) = calls.get_mut(request_id) {
            call.given_up_until = Some(now + GIVEN_UP_TTL);
        }
        if calls.len() > GIVEN_UP_MAX_COUNT {
            calls.retain(|_, call| call.given_up_until.is_none_or(|until| until > now));
        }
        if calls.len() > GIVEN_UP_MAX_COUNT {
            calls.retain(|_, call| call.given_up_until.is_none());
        }
    }
}

/// Call that the local target is running.
pub(crate) struct RunningGuard<'a> {
    calls: &'a RunningCalls,
    request_id: String,
    ended: bool,
}

impl RunningGuard<'_> {
    /// Records that the target has ended the call. Returns whether a nested call of it was refused for
    /// overload.
    pub(crate) fn finish(mut self) -> bool {
        self.ended = true;
        self.calls.nested_was_refused(&self.request_id)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.calls.end(&self.request_id, self.ended, Instant::now());
    }
}
