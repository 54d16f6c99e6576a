//! Limit for log lines about messages of other writers that are refused, which may come without end.

use std::sync::Mutex;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::FastMap;

/// Time for which a reason is not logged again.
const REPEAT_PERIOD: Duration = Duration::from_secs(60);

/// Largest number of reasons that are told apart in that time, since the writers choose the texts.
const REASON_MAX_COUNT: usize = 16;

/// Reason that was logged.
#[derive(Debug)]
struct LoggedReason {
    log_again_at: Instant,
    /// Number of refusals since it was logged.
    passed_over_count: u64,
}

/// Decides which refusals are logged.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    reasons: Mutex<FastMap<String, LoggedReason>>,
}

impl RefusalLog {
    /// Counts a refusal. Returns how many with this reason were passed over since the last one that was
    /// logged, or `None` if this one is passed over.
    pub(crate) fn record(&self, why: &str, now: Instant) -> Option<u64> {
        let mut reasons = self.reasons.lock().expect("no holder panics");
        if let Some(reason) = reasons.get_mut(why) {
            if now < reason.log_again_at {
                reason.passed_over_count += 1;
                return None;
            }
        }
        let passed_over_count = reasons
            .remove(why)
            .map_or(0, |reason| reason.passed_over_count);
        reasons.retain(|_, reason| now < reason.log_again_at);
        if reasons.len() >= REASON_MAX_COUNT {
            return None;
        }
        let logged = LoggedReason {
            log_again_at: now + REPEAT_PERIOD,
            passed_over_count: 0,
        };
        reasons.insert(why.to_owned(), logged);
        Some(passed_over_count)
    }
}
