//! State of the target beside this node, from its own answers and from peers that know more.

use std::sync::Mutex;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    RateLimit,
    Target, //
};

use crate::call::AttemptKind;
use crate::interface::{
    StatedRateLimit,
    TargetNotice, //
};
use crate::target_state::TargetState;

/// Interval of the log lines that count the calls sent to a limited target.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Calls sent to the target since the last line that counted them.
#[derive(Clone, Copy, Debug, Default)]
struct SentCounts {
    first: u32,
    retry: u32,
    hedge: u32,
}

#[derive(Debug, Default)]
struct Inner {
    state: TargetState,
    /// Whether an answer of this run told if there is a limit. Until then peers may know it, if this
    /// node restarted after the target.
    heard_from_target: bool,
    sent: SentCounts,
    counted_until: Option<Instant>,
}

/// State of the target beside this node. The methods that may change it return the new state if it
/// changed.
#[derive(Debug, Default)]
pub(crate) struct LocalTarget {
    inner: Mutex<Inner>,
}

impl LocalTarget {
    /// Starts with an empty state if `target` is a new run.
    pub(crate) fn begin_run(&self, target: &Target) -> Option<TargetState> {
        let mut inner = self.inner.lock().expect("no holder panics");
        if inner.state.is_of_run(target) {
            return None;
        }
        *inner = Inner {
            state: TargetState::of_run(target),
            ..Inner::default()
        };
        Some(inner.state.clone())
    }

    /// Records what `target` stated in an answer. Only an answer that `is_success` tells by a missing
    /// limit that there is none.
    pub(crate) fn record_notice(
        &self,
        target: &Target,
        notice: &TargetNotice,
        is_success: bool,
    ) -> Option<TargetState> {
        let mut inner = self.inner.lock().expect("no holder panics");
        if !inner.state.is_of_run(target) {
            return None;
        }
        let before = inner.state.clone();
        match &notice.rate_limit {
            Some(StatedRateLimit::Valid(limit)) => inner.hear_limit(Some(*limit)),
            Some(StatedRateLimit::Invalid { text, error }) => log::warn!(
                "rate limit ignored instance={} text={text:?} why={error}",
                target.instance
            ),
            None if is_success => inner.hear_limit(None),
            None => {}
        }
        // A target that leaves never takes it back; only its next run starts anew.
        inner.state.leaving |= notice.leaving;
        inner.log_changes(&before, "answer")
    }

    /// Records what a peer knows of the target. A limit counts only until the target was heard.
    pub(crate) fn record_peer_state(&self, known: &TargetState) -> Option<TargetState> {
        let mut inner = self.inner.lock().expect("no holder panics");
        if !inner.state.is_same_run(known) {
            return None;
        }
        let before = inner.state.clone();
        if !inner.heard_from_target {
            inner.state.rate_limit = match (inner.state.rate_limit, known.rate_limit) {
                (Some(own), Some(peers)) if own < peers => Some(own),
                (own, peers) => peers.or(own),
            };
        }
        inner.state.leaving |= known.leaving;
        inner.log_changes(&before, "peer")
    }

    /// Returns the state if there is something to state to peers.
    pub(crate) fn notable_state(&self) -> Option<TargetState> {
        let inner = self.inner.lock().expect("no holder panics");
        Some(&inner.state)
            .filter(|state| state.is_notable())
            .cloned()
    }

    /// Counts a call that is sent to the target. While a limit is in force, the counts are logged at
    /// regular intervals.
    pub(crate) fn record_sent(&self, attempt_kind: AttemptKind, now: Instant) {
        let mut inner = self.inner.lock().expect("no holder panics");
        let Some(limit) = inner.state.rate_limit else {
            return;
        };
        let counted_until = *inner.counted_until.get_or_insert(now + COUNT_INTERVAL);
        if counted_until <= now {
            let SentCounts {
                first,
                retry,
                hedge,
            } = inner.sent;
            log::info!(
                "calls to a limited target instance={} limit_per_s={limit} first={first} \
                 retry={retry} hedge={hedge}",
                inner.state.instance
            );
            inner.sent = SentCounts::default();
            inner.counted_until = Some(now + COUNT_INTERVAL);
        }
        match attempt_kind {
            AttemptKind::First => inner.sent.first += 1,
            AttemptKind::Retry => inner.sent.retry += 1,
            AttemptKind::Hedge => inner.sent.hedge += 1,
        }
    }
}

impl Inner {
    fn hear_limit(&mut self, limit: Option<RateLimit>) {
        self.heard_from_target = true;
        self.state.rate_limit = limit;
    }

    /// Logs what changed since `before`. Returns the state if anything did.
    fn log_changes(&mut self, before: &TargetState, source: &str) -> Option<TargetState> {
        let state = &self.state;
        if state == before {
            return None;
        }
        if state.rate_limit != before.rate_limit {
            match state.rate_limit {
                Some(limit) => log::info!(
                    "target limits its calls instance={} limit_per_s={limit} source={source}",
                    state.instance
                ),
                None => log::info!("target lifted its rate limit instance={}", state.instance),
            }
            self.sent = SentCounts::default();
            self.counted_until = None;
        }
        if state.leaving != before.leaving {
            log::info!(
                "target is leaving instance={} source={source}",
                state.instance
            );
        }
        Some(self.state.clone())
    }
}
