//! Requests that crash the targets which run them.
//!
//! Each crash is reported once with an id; reports are merged as a set, so that nodes which heard
//! the same reports agree. Two crashes under one fingerprint quarantine it until they expire.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    FastMap,
    Fingerprint, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Crashes after which a fingerprint is refused.
const CRASH_MAX_COUNT: usize = 2;

/// How long a crash counts.
const CRASH_LIFE: Duration = Duration::from_secs(300);

/// Reports that are kept at most; the oldest go first.
const REPORT_MAX_COUNT: usize = 4_096;

/// A target crashed while it ran the request of this fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Request that was in flight.
    pub fingerprint: Fingerprint,
    /// Random id of the crash.
    pub crash_id: u64,
    /// Time that the report still counts, in milliseconds; a deadline once received.
    pub left_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    fingerprint: Fingerprint,
    expires_at: Instant,
}

/// Crashes that count, by their ids.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: FastMap<u64, Crash>,
}

impl Quarantine {
    /// Notes a crash that this node saw and returns the report to spread.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash_id: u64,
        now: Instant,
    ) -> CrashReport {
        let report = CrashReport {
            fingerprint,
            crash_id,
            left_ms: CRASH_LIFE.as_millis() as u64,
        };
        self.merge(&report, now);
        report
    }

    /// Takes a report in; returns whether it is news.
    pub fn merge(&mut self, report: &CrashReport, now: Instant) -> bool {
        if report.left_ms == 0 || self.crashes.contains_key(&report.crash_id) {
            return false;
        }
        self.make_room(now);
        let left_ms = report.left_ms.min(CRASH_LIFE.as_millis() as u64);
        let crash = Crash {
            fingerprint: report.fingerprint,
            expires_at: now + Duration::from_millis(left_ms),
        };
        self.crashes.insert(report.crash_id, crash);
        true
    }

    /// Returns whether the request is refused.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let mut crash_count = 0;
        for crash in self.crashes.values() {
            if crash.fingerprint == fingerprint && crash.expires_at > now {
                crash_count += 1;
            }
        }
        crash_count >= CRASH_MAX_COUNT
    }

    /// Returns up to `max_count` reports that still count, for a peer.
    pub fn reports(&self, max_count: usize, now: Instant) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (crash_id, crash) in &self.crashes {
            if reports.len() >= max_count {
                break;
            }
            let left = crash.expires_at.saturating_duration_since(now);
            if left.is_zero() {
                continue;
            }
            reports.push(CrashReport {
                fingerprint: crash.fingerprint,
                crash_id: *crash_id,
                left_ms: left.as_millis() as u64,
            });
        }
        reports
    }

    fn make_room(&mut self, now: Instant) {
        if self.crashes.len() < REPORT_MAX_COUNT {
            return;
        }
        self.crashes.retain(|_, crash| crash.expires_at > now);
        while self.crashes.len() >= REPORT_MAX_COUNT {
            let Some((oldest, _)) = self
                .crashes
                .iter()
                .min_by_key(|(_, crash)| crash.expires_at)
            else {
                return;
            };
            let oldest = *oldest;
            self.crashes.remove(&oldest);
        }
    }
}
