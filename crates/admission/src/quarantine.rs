//! Quarantine of requests that crash the targets which run them.
//!
//! Each crash is reported once with an id. Reports are merged as a set, so that nodes with the same
//! reports agree. Two crashes with the same fingerprint quarantine it until they expire.

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

/// Requests with a fingerprint are refused once it has this number of unexpired crashes.
const QUARANTINE_CRASH_COUNT: usize = 2;

/// Time after which a crash expires.
const CRASH_TTL: Duration = Duration::from_secs(300);

/// Maximum number of stored reports; those that expire first are evicted first.
const REPORT_MAX_COUNT: usize = 4_096;

/// Report that a target crashed while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Random id of the crash.
    pub crash_id: u64,
    /// Time until the report expires, in milliseconds; the receiver stores it as a deadline.
    pub left_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    fingerprint: Fingerprint,
    expires_at: Instant,
}

/// Reported crashes by their ids.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: FastMap<u64, Crash>,
}

impl Quarantine {
    /// Records a crash that this node observed and returns the report to send to its peers.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash_id: u64,
        now: Instant,
    ) -> CrashReport {
        let report = CrashReport {
            fingerprint,
            crash_id,
            left_ms: CRASH_TTL.as_millis() as u64,
        };
        self.merge(&report, now);
        report
    }

    /// Merges a report; returns whether it is new and unexpired.
    pub fn merge(&mut self, report: &CrashReport, now: Instant) -> bool {
        if report.left_ms == 0 || self.crashes.contains_key(&report.crash_id) {
            return false;
        }
        self.evict_if_full(now);
        let left_ms = report.left_ms.min(CRASH_TTL.as_millis() as u64);
        let crash = Crash {
            fingerprint: report.fingerprint,
            expires_at: now + Duration::from_millis(left_ms),
        };
        self.crashes.insert(report.crash_id, crash);
        true
    }

    /// Returns whether requests with the fingerprint are refused.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let mut crash_count = 0;
        for crash in self.crashes.values() {
            if crash.fingerprint == fingerprint && crash.expires_at > now {
                crash_count += 1;
            }
        }
        crash_count >= QUARANTINE_CRASH_COUNT
    }

    /// Returns up to `max_count` unexpired reports to send to a peer.
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

    fn evict_if_full(&mut self, now: Instant) {
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
