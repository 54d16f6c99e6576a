//! Rate limit for log lines about calls.
//!
//! Each second, all calls are logged up to a first limit, and notable calls (refused, failed or
//! retried) up to a higher one. Calls above their limit are sampled by request id, so that every
//! node logs the same calls.

use std::sync::Mutex;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::stable_hash;

/// Window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines in a window up to which all notable calls are logged.
const NOTABLE_MAX_COUNT: u32 = 200;

/// Lines in a window up to which all calls are logged.
const ALL_MAX_COUNT: u32 = 20;

/// One call in this many is sampled.
const SAMPLE_ONE_IN: u64 = 32;

struct Window {
    ends_at: Instant,
    line_count: u32,
    suppressed_count: u64,
}

/// Limits the number of log lines for each window.
pub(crate) struct LogBudget {
    window: Mutex<Window>,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            window: Mutex::new(Window {
                ends_at: Instant::now() + WINDOW,
                line_count: 0,
                suppressed_count: 0,
            }),
        }
    }
}

impl LogBudget {
    /// Returns whether a line about the request should be logged, and counts it.
    pub(crate) fn should_log(&self, request_id: &str, notable: bool) -> bool {
        let now = Instant::now();
        let mut window = self.window.lock().expect("no holder panics");
        if window.ends_at <= now {
            if window.suppressed_count > 0 {
                log::info!("call lines passed over count={}", window.suppressed_count);
            }
            *window = Window {
                ends_at: now + WINDOW,
                line_count: 0,
                suppressed_count: 0,
            };
        }
        let max_count = if notable {
            NOTABLE_MAX_COUNT
        } else {
            ALL_MAX_COUNT
        };
        if window.line_count < max_count || stable_hash(request_id).is_multiple_of(SAMPLE_ONE_IN) {
            window.line_count += 1;
            return true;
        }
        window.suppressed_count += 1;
        false
    }
}
