//! Which calls are logged: those that were refused, failed or tried again always, the others by a
//! sample that is the same on every node, all within a bound for each second.

use std::sync::Mutex;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::stable_hash;

/// Span for which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Lines of notable calls in one span; beyond it they are sampled too.
const NOTABLE_MAX_COUNT: u32 = 200;

/// Lines in one span up to which all calls are logged.
const ALL_MAX_COUNT: u32 = 20;

/// One call in this many is in the sample.
const SAMPLE: u64 = 32;

struct Span {
    ends_at: Instant,
    line_count: u32,
    passed_over_count: u64,
}

/// Counts lines and keeps them within their bound.
pub(crate) struct LogBudget {
    span: Mutex<Span>,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            span: Mutex::new(Span {
                ends_at: Instant::now() + SPAN,
                line_count: 0,
                passed_over_count: 0,
            }),
        }
    }
}

impl LogBudget {
    /// Returns whether a line about the request is written.
    pub(crate) fn should_log(&self, request_id: &str, notable: bool) -> bool {
        let now = Instant::now();
        let mut span = self.span.lock().expect("no holder panics");
        if span.ends_at <= now {
            if span.passed_over_count > 0 {
                log::info!("call lines passed over count={}", span.passed_over_count);
            }
            *span = Span {
                ends_at: now + SPAN,
                line_count: 0,
                passed_over_count: 0,
            };
        }
        let bound = if notable {
            NOTABLE_MAX_COUNT
        } else {
            ALL_MAX_COUNT
        };
        if span.line_count < bound || stable_hash(request_id).is_multiple_of(SAMPLE) {
            span.line_count += 1;
            return true;
        }
        span.passed_over_count += 1;
        false
    }
}
