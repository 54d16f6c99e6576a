//! Checks that nodes keep to what back ends state in their answers.

use std::collections::BTreeMap;
use std::time::{
    Duration,
    Instant, //
};

use crate::site::backend::{
    Backend,
    Run, //
};

use super::{
    Soak,
    DRAIN_MAX, //
};

/// Span of time over which the platform sums the requests at a limited back end.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time after which a node is bound by a limit that it has passed on.
const LIMIT_KNOWN: Duration = Duration::from_millis(500);

/// Time after a limit was first named from which on the platform sums the requests.
const LIMIT_SETTLED: Duration = Duration::from_secs(3);

/// What a back end states in its answers.
#[derive(Clone, Copy, Debug)]
pub(super) enum NoticeKind {
    /// Requests per second that it takes.
    RateLimit(f64),
    /// It is leaving.
    Leaving,
}

/// Time for which a back end states something in its answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct BackendNotice {
    index: usize,
    pub(super) generation: u64,
    kind: NoticeKind,
    began_at: Instant,
    ended_at: Instant,
}

/// Request that a caller sent and the back end of a notice ran.
struct CalledRun {
    caller_index: usize,
    sent_at: Instant,
    started_at: Instant,
    /// Time of the caller's answer, if it is the back end's.
    answered_at: Option<Instant>,
}

impl BackendNotice {
    /// Begins a notice of the back end on the host at `index`.
    pub(super) fn begin(index: usize, backend: &Backend, kind: NoticeKind) -> Self {
        let now = Instant::now();
        Self {
            index,
            generation: backend.generation(),
            kind,
            began_at: now,
            ended_at: now,
        }
    }

    /// Ends the notice now.
    pub(super) fn end(self) -> Self {
        Self {
            ended_at: Instant::now(),
            ..self
        }
    }
}

impl Soak {
    /// Ends one fault that limits the back end on the host at `index`. The back end names its limit
    /// until the last one ends.
    pub(super) fn end_rate_limit(&self, index: usize) {
        let mut limited_hosts = self.limited_hosts.borrow_mut();
        if let Some(position) = limited_hosts.iter().position(|host| *host == index) {
            limited_hosts.swap_remove(position);
        }
        if !limited_hosts.contains(&index) {
            let site = self.site.borrow();
            *site.hosts[index].backend.rate_limit.borrow_mut() = None;
        }
    }

    pub(super) fn check_notices(&self) {
        for notice in self.notices.borrow().iter() {
            let calls = self.called_runs(notice);
            match notice.kind {
                NoticeKind::RateLimit(per_s) => self.check_rate_limit(notice, per_s, &calls),
                NoticeKind::Leaving => self.check_leaving(notice, &calls),
            }
        }
    }

    /// Returns the requests that the back end of the notice ran while it lasted, by their start.
    fn called_runs(&self, notice: &BackendNotice) -> Vec<CalledRun> {
        let site = self.site.borrow();
        let mut runs: BTreeMap<String, Run> = BTreeMap::new();
        for run in site.hosts[notice.index].backend.runs() {
            let is_during = run.started_at >= notice.began_at && run.started_at < notice.ended_at;
            if is_during && run.generation == notice.generation {
                runs.insert(run.id.clone(), run);
            }
        }
        let mut calls = Vec::new();
        for (caller_index, _, result) in self.results.borrow().iter() {
            let Some(run) = runs.get(&result.id) else {
                continue;
            };
            let answered = result.status == 200 && result.sealed;
            calls.push(CalledRun {
                caller_index: *caller_index,
                sent_at: result.sent_at,
                started_at: run.started_at,
                answered_at: answered.then(|| result.sent_at + result.took),
            });
        }
        calls.sort_by_key(|call| call.started_at);
        calls
    }

    /// Returns when the node of the caller first passed an answer on, unless the node was disturbed
    /// since.
    fn told_at(&self, calls: &[CalledRun], caller_index: usize, by: Instant) -> Option<Instant> {
        let mut told_at: Option<Instant> = None;
        for call in calls {
            if call.caller_index != caller_index {
                continue;
            }
            told_at = match (told_at, call.answered_at) {
                (Some(known), Some(answered)) => Some(known.min(answered)),
                (known, answered) => known.or(answered),
            };
        }
        let told_at = told_at?;
        for (index, at) in self.disturbances.borrow().iter() {
            if *index == caller_index && *at + LIMIT_KNOWN >= told_at && *at <= by {
                return None;
            }
        }
        Some(told_at)
    }

    fn check_rate_limit(&self, notice: &BackendNotice, per_s: f64, calls: &[CalledRun]) {
        let allowed = 1.5 * per_s * LIMIT_WINDOW.as_secs_f64() + 5.0;
        let mut counted: Vec<Instant> = Vec::new();
        for call in calls {
            let Some(told_at) = self.told_at(calls, call.caller_index, notice.ended_at) else {
                continue;
            };
            if told_at + LIMIT_KNOWN <= call.started_at {
                counted.push(call.started_at);
            }
        }
        for (index, end) in counted.iter().enumerate() {
            let first = counted.partition_point(|start| *start + LIMIT_WINDOW < *end);
            let count = index + 1 - first;
            if *end >= notice.began_at + LIMIT_SETTLED && count as f64 > allowed {
                self.record_violation(format!(
                    "back end of host {} got {count} requests in {LIMIT_WINDOW:?}, allowed {allowed}",
                    notice.index
                ));
                return;
            }
        }
    }

    fn check_leaving(&self, notice: &BackendNotice, calls: &[CalledRun]) {
        for call in calls {
            let Some(told_at) = self.told_at(calls, call.caller_index, call.started_at) else {
                continue;
            };
            if call.sent_at > told_at + DRAIN_MAX {
                self.record_violation(format!(
                    "a request of host {} reached the leaving back end of host {}",
                    call.caller_index, notice.index
                ));
            }
        }
    }
}
