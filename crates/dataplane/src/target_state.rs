//! What the local target states about itself in its answers: a rate limit, and that it is leaving.

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
struct State {
    instance: String,
    started_at_ms: u64,
    rate_limit: Option<RateLimit>,
    leaving: bool,
    sent: SentCounts,
    counted_until: Option<Instant>,
}

/// State of the local target, as its own answers state it.
#[derive(Debug, Default)]
pub(crate) struct LocalTargetState {
    state: Mutex<State>,
}

impl LocalTargetState {
    /// Records what `target` stated in an answer. `is_success` tells whether the answer is a success;
    /// only then does a missing limit mean that there is none.
    pub(crate) fn record_notice(&self, target: &Target, notice: &TargetNotice, is_success: bool) {
        let mut state = self.state.lock().expect("no holder panics");
        if state.instance != target.instance || state.started_at_ms != target.started_at_ms {
            *state = State {
                instance: target.instance.clone(),
                started_at_ms: target.started_at_ms,
                ..State::default()
            };
        }
        match &notice.rate_limit {
            Some(StatedRateLimit::Valid(limit)) => state.set_rate_limit(Some(*limit)),
            Some(StatedRateLimit::Invalid { text, error }) => log::warn!(
                "rate limit ignored instance={} text={text:?} why={error}",
                target.instance
            ),
            None if is_success => state.set_rate_limit(None),
            None => {}
        }
        if notice.leaving && !state.leaving {
            log::info!("target is leaving instance={}", target.instance);
            state.leaving = true;
        }
    }

    /// Counts a call that is sent to the target. While a limit is in force, the counts are logged at
    /// regular intervals.
    pub(crate) fn record_sent(&self, attempt_kind: AttemptKind, now: Instant) {
        let mut state = self.state.lock().expect("no holder panics");
        let Some(limit) = state.rate_limit else {
            return;
        };
        let counted_until = *state.counted_until.get_or_insert(now + COUNT_INTERVAL);
        if counted_until <= now {
            let SentCounts {
                first,
                retry,
                hedge,
            } = state.sent;
            log::info!(
                "calls to a limited target instance={} limit_per_s={limit} first={first} \
                 retry={retry} hedge={hedge}",
                state.instance
            );
            state.sent = SentCounts::default();
            state.counted_until = Some(now + COUNT_INTERVAL);
        }
        match attempt_kind {
            AttemptKind::First => state.sent.first += 1,
            AttemptKind::Retry => state.sent.retry += 1,
            AttemptKind::Hedge => state.sent.hedge += 1,
        }
    }
}

impl State {
    fn set_rate_limit(&mut self, limit: Option<RateLimit>) {
        if self.rate_limit == limit {
            return;
        }
        match limit {
            Some(limit) => log::info!(
                "target limits its calls instance={} limit_per_s={limit}",
                self.instance
            ),
            None => log::info!("target lifted its rate limit instance={}", self.instance),
        }
        self.rate_limit = limit;
        self.sent = SentCounts::default();
        self.counted_until = None;
    }
}
