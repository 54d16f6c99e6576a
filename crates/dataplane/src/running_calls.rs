//! Calls that the local target is running, which may make nested calls.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::Instant;

use figway_admission::{
    OpenCall,
    ParentSearch,
    GIVEN_UP_TTL, //
};
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
    attempt_kind: AttemptKind,
    /// Customer to whom the call belongs, if any.
    pub(crate) customer: Option<Arc<str>>,
    /// Rank of the call in queues, from which those of its nested calls follow.
    pub(crate) rank: u32,
    /// Whether a nested call of it was refused for overload. All copies share it.
    nested_refused: Arc<AtomicBool>,
    /// Deadline of the call, at which calls that are nested in it expire too.
    pub(crate) deadline: Instant,
    /// Time until which a call that was given up counts as running.
    given_up_until: Option<Instant>,
}

impl RunningCall {
    /// Records that a nested call of the call was refused for overload.
    pub(crate) fn record_nested_refusal(&self) {
        self.nested_refused.store(true, Ordering::Relaxed);
    }

    /// Returns whether the call is a retry or a hedge.
    pub(crate) fn is_repeat(&self) -> bool {
        self.attempt_kind != AttemptKind::First
    }

    fn is_over(&self, now: Instant) -> bool {
        self.given_up_until.is_some_and(|until| until <= now)
    }
}

#[derive(Default)]
struct Inner {
    /// Calls by request id, in the order of their starts. Several calls may have the same id, since
    /// callers choose the ids.
    by_id: FastMap<String, Vec<RunningCall>>,
    call_count: usize,
}

impl Inner {
    fn retain(&mut self, keep: impl Fn(&RunningCall) -> bool) {
        let mut call_count = 0;
        self.by_id.retain(|_, calls| {
            calls.retain(&keep);
            call_count += calls.len();
            !calls.is_empty()
        });
        self.call_count = call_count;
    }
}

/// Calls that the local target is running, by request id.
#[derive(Default)]
pub(crate) struct RunningCalls {
    inner: Mutex<Inner>,
}

impl RunningCalls {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// Registers a call as running. Until its end is seen it counts as given up when the guard drops.
    pub(crate) fn begin(&self, call: &AdmissionRequest<'_>) -> RunningGuard<'_> {
        let nested_refused = Arc::<AtomicBool>::default();
        let running = RunningCall {
            attempt_kind: call.attempt_kind,
            customer: call.customer.map(Arc::from),
            rank: call.rank,
            nested_refused: Arc::clone(&nested_refused),
            deadline: call.deadline,
            given_up_until: None,
        };
        let mut inner = self.lock();
        let calls = inner.by_id.entry(call.request_id.to_owned()).or_default();
        calls.push(running);
        inner.call_count += 1;
        drop(inner);
        RunningGuard {
            calls: self,
            request_id: call.request_id.to_owned(),
            nested_refused,
            ended: false,
        }
    }

    /// Returns the call with the id, or `None` if the target does not run it. Of several calls with the
    /// id, returns the latest that was not given up, or the latest if all were. Returns `None` if they
    /// belong to different customers, since a nested call must not count for a customer that did not
    /// cause it.
    pub(crate) fn get(&self, request_id: &str, now: Instant) -> Option<RunningCall> {
        let inner = self.lock();
        let mut found: Option<&RunningCall> = None;
        for call in inner.by_id.get(request_id)? {
            if call.is_over(now) {
                continue;
            }
            let Some(earlier) = found else {
                found = Some(call);
                continue;
            };
            if earlier.customer != call.customer {
                return None;
            }
            if call.given_up_until.is_none() || earlier.given_up_until.is_some() {
                found = Some(call);
            }
        }
        found.cloned()
    }

    /// Searches for the calls in which a request that names none of them may be nested.
    pub(crate) fn find_parents(
        &self,
        request_deadline: Option<Instant>,
        now: Instant,
    ) -> ParentSearch {
        let inner = self.lock();
        let calls = inner.by_id.values().flatten();
        let open_calls = calls.filter(|call| !call.is_over(now));
        let open_calls = open_calls.map(|call| OpenCall {
            deadline: call.deadline,
            rank: call.rank,
            is_repeat: call.is_repeat(),
            is_given_up: call.given_up_until.is_some(),
        });
        ParentSearch::among(open_calls, request_deadline)
    }

    /// Records that the target ended the call, or that it was given up.
    fn end(&self, guard: &RunningGuard<'_>, now: Instant) {
        let mut inner = self.lock();
        let Some(calls) = inner.by_id.get_mut(&guard.request_id) else {
            return;
        };
        let is_own = |call: &RunningCall| Arc::ptr_eq(&call.nested_refused, &guard.nested_refused);
        let Some(index) = calls.iter().position(is_own) else {
            return;
        };
        if guard.ended {
            calls.remove(index);
            if calls.is_empty() {
                inner.by_id.remove(&guard.request_id);
            }
            inner.call_count -= 1;
            return;
        }
        calls[index].given_up_until = Some(now + GIVEN_UP_TTL);
        if inner.call_count > GIVEN_UP_MAX_COUNT {
            inner.retain(|call| !call.is_over(now));
        }
        if inner.call_count > GIVEN_UP_MAX_COUNT {
            inner.retain(|call| call.given_up_until.is_none());
        }
    }
}

/// Call that the local target is running.
pub(crate) struct RunningGuard<'a> {
    calls: &'a RunningCalls,
    request_id: String,
    /// Flag of the call's entry, which also tells it from others with the same id.
    nested_refused: Arc<AtomicBool>,
    ended: bool,
}

impl RunningGuard<'_> {
    /// Records that the target has ended the call. Returns whether a nested call of it was refused for
    /// overload.
    pub(crate) fn finish(mut self) -> bool {
        self.ended = true;
        self.nested_refused.load(Ordering::Relaxed)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.calls.end(self, Instant::now());
    }
}
