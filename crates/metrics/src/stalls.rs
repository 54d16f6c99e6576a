//! Stalls of a process, seen by how late its timers wake it.

use std::time::{
    Duration,
    Instant, //
};

/// Delay of a wake-up from which on it counts as a stall. Timers are rounded up to milliseconds, and
/// the work of other tasks takes a few.
const STALL_MIN: Duration = Duration::from_millis(10);

/// Shortest time between two reports of stalls.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Stalls during some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stalls {
    /// Number of delayed wake-ups.
    pub count: u64,
    /// Sum of the delays.
    pub total: Duration,
    /// Longest delay.
    pub longest: Duration,
}

impl Stalls {
    fn add(&mut self, delay: Duration) {
        self.count += 1;
        self.total += delay;
        self.longest = self.longest.max(delay);
    }
}

/// Counts the stalls of a process.
#[derive(Debug, Default)]
pub struct StallWatch {
    total: Stalls,
    unreported: Stalls,
    silent_until: Option<Instant>,
}

impl StallWatch {
    /// Records that a task was woken at `woken_at` although it was due at `due_at`. Returns whether
    /// that is a stall.
    pub fn record(&mut self, due_at: Instant, woken_at: Instant) -> bool {
        let delay = woken_at.saturating_duration_since(due_at);
        if delay < STALL_MIN {
            return false;
        }
        self.total.add(delay);
        self.unreported.add(delay);
        true
    }

    /// Returns the stalls since the last report, if there are any and the last report is long enough
    /// ago.
    pub fn take_report(&mut self, now: Instant) -> Option<Stalls> {
        if self.unreported.count == 0 || self.silent_until.is_some_and(|until| now < until) {
            return None;
        }
        self.silent_until = Some(now + REPORT_INTERVAL);
        Some(std::mem::take(&mut self.unreported))
    }

    /// Returns all stalls.
    pub fn total(&self) -> Stalls {
        self.total
    }
}
