//! Point in time on a clock that also counts the time while the machine is suspended.

use std::time::Duration;

use rustix::time::{
    clock_gettime,
    ClockId, //
};

/// Time since the machine started, including the time while it was suspended. A statement about how
/// old something is must use it, since [`std::time::Instant`] stands still during a suspension.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        Self(Duration::new(
            now.tv_sec.max(0) as u64,
            now.tv_nsec.clamp(0, 999_999_999) as u32,
        ))
    }

    /// Returns the time from `earlier` to this one, or zero if `earlier` is later.
    pub fn saturating_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time by `age` before this one, at the earliest the start of the machine.
    pub fn saturating_sub(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(age))
    }
}

impl std::ops::Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}
