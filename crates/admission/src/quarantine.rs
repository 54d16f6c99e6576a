//! Quarantine of requests that crash the targets which run them.
//!
//! One crash is reported once for each request that was at work. A run that was taken for ended and
//! answers again takes its reports back. A request with the same fingerprint
//! that a target answers speaks against the suspicion. Reports are merged as a set, so that nodes
//! with the same reports agree, and each has a sequence number, so that peers can be sent exactly
//! those that they lack.

use std::collections::VecDeque;
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

/// Requests with a fingerprint are refused once it has this number of unexpired crashes, and more
/// crashes than targets that survived it.
const QUARANTINE_CRASH_COUNT: usize = 2;

/// Time after which a report expires.
const REPORT_TTL: Duration = Duration::from_secs(300);

/// Maximum number of stored reports. The oldest are evicted first.
const REPORT_MAX_COUNT: usize = 4_096;

/// Maximum number of stored reports of survivals for one fingerprint.
const SURVIVAL_MAX_COUNT: usize = 16;

/// Report that a target crashed while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Id of the crash and the request, see [`run_id`].
    pub crash_id: u64,
    /// Time until the report expires, in milliseconds; the receiver stores it as a deadline.
    pub left_ms: u64,
}

/// Report that a target answered a request whose fingerprint has crash reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivalReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Id of the target's run and the request, see [`run_id`].
    pub run_id: u64,
    /// Time until the report expires, in milliseconds; the receiver stores it as a deadline.
    pub left_ms: u64,
}

/// Returns the id of a request at one run of a target. It is the same on every node, so that a
/// crash or a survival counts once, however many requests with the fingerprint were at work.
pub fn run_id(fingerprint: Fingerprint, instance: &str, started_at_ms: u64) -> u64 {
    let run = figway_types::stable_hash(instance) ^ figway_types::mix(started_at_ms);
    figway_types::mix(run ^ fingerprint.0.rotate_left(23))
}

/// What happened to a target that ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Ending {
    Crashed,
    Survived,
    /// It was taken for crashed, and was not.
    Revived,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    sequence: u64,
    ending: Ending,
    fingerprint: Fingerprint,
    run_id: u64,
    expires_at: Instant,
}

/// Reports of one fingerprint: the ids of the runs, with the times at which the reports expire.
#[derive(Clone, Debug, Default)]
struct Suspicion {
    crashes: FastMap<u64, Instant>,
    survivals: FastMap<u64, Instant>,
    /// Crashes that were taken back.
    withdrawals: FastMap<u64, Instant>,
}

impl Suspicion {
    fn runs(&mut self, ending: Ending) -> &mut FastMap<u64, Instant> {
        match ending {
            Ending::Crashed => &mut self.crashes,
            Ending::Survived => &mut self.survivals,
            Ending::Revived => &mut self.withdrawals,
        }
    }

    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty() && self.withdrawals.is_empty()
    }

    /// Returns the number of crashes that have not expired and were not taken back.
    fn crash_count(&self, now: Instant) -> usize {
        let mut count = 0;
        for (crash_id, expires_at) in &self.crashes {
            count += usize::from(*expires_at > now && !self.withdrawals.contains_key(crash_id));
        }
        count
    }
}

fn count_unexpired(runs: &FastMap<u64, Instant>, now: Instant) -> usize {
    runs.values()
        .filter(|expires_at| **expires_at > now)
        .count()
}

/// Batch of reports for a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportBatch {
    /// Reports of crashes.
    pub crashes: Vec<CrashReport>,
    /// Reports of survivals.
    pub survivals: Vec<SurvivalReport>,
    /// Crashes that were taken back.
    pub withdrawals: Vec<CrashReport>,
    /// Sequence number of the last report that the receiver has with this batch, if it has all up to
    /// the one after which the batch begins.
    pub last_sequence: u64,
}

/// Unexpired reports, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    reports: VecDeque<Report>,
    suspicions: FastMap<Fingerprint, Suspicion>,
    last_sequence: u64,
    evicted_count: u64,
}

impl Quarantine {
    /// Records that a target crashed while it ran a request. Returns whether this is new.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash_id: u64, now: Instant) -> bool {
        let expires_at = now + REPORT_TTL;
        self.add(Ending::Crashed, fingerprint, crash_id, expires_at, now)
    }

    /// Records that a target answered a request, if the request is suspected to crash targets.
    /// Returns whether this is new.
    pub fn record_survival(
        &mut self,
        fingerprint: Fingerprint,
        run_id: impl FnOnce() -> u64,
        now: Instant,
    ) -> bool {
        let Some(suspicion) = self.suspicions.get(&fingerprint) else {
            return false;
        };
        if suspicion.survivals.len() >= SURVIVAL_MAX_COUNT {
            return false;
        }
        let expires_at = now + REPORT_TTL;
        self.add(Ending::Survived, fingerprint, run_id(), expires_at, now)
    }

    /// Takes a crash back, since the run that was taken for ended answered again. Returns whether
    /// this is new.
    pub fn withdraw_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash_id: u64,
        now: Instant,
    ) -> bool {
        let expires_at = now + REPORT_TTL;
        self.add(Ending::Revived, fingerprint, crash_id, expires_at, now)
    }

    /// Merges a peer's report that a crash was taken back; returns whether it is new and unexpired.
    pub fn merge_withdrawal(&mut self, report: &CrashReport, now: Instant) -> bool {
        let expires_at = expiry(report.left_ms, now);
        self.add(
            Ending::Revived,
            report.fingerprint,
            report.crash_id,
            expires_at,
            now,
        )
    }

    /// Merges a peer's report of a crash; returns whether it is new and unexpired.
    pub fn merge_crash(&mut self, report: &CrashReport, now: Instant) -> bool {
        let expires_at = expiry(report.left_ms, now);
        self.add(
            Ending::Crashed,
            report.fingerprint,
            report.crash_id,
            expires_at,
            now,
        )
    }

    /// Merges a peer's report of a survival; returns whether it is new and unexpired.
    pub fn merge_survival(&mut self, report: &SurvivalReport, now: Instant) -> bool {
        let expires_at = expiry(report.left_ms, now);
        self.add(
            Ending::Survived,
            report.fingerprint,
            report.run_id,
            expires_at,
            now,
        )
    }

    /// Returns whether requests with the fingerprint are refused.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.suspicions.get(&fingerprint).is_some_and(|suspicion| {
            let crash_count = suspicion.crash_count(now);
            crash_count >= QUARANTINE_CRASH_COUNT
                && crash_count > count_unexpired(&suspicion.survivals, now)
        })
    }

    /// Returns the sequence number of the newest report; 0 if there was none yet.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns how many unexpired reports were evicted because there were too many.
    pub fn evicted_count(&self) -> u64 {
        self.evicted_count
    }

    /// Returns the oldest reports after a sequence number, up to `max_count`.
    pub fn reports_after(&self, sequence: u64, max_count: usize, now: Instant) -> ReportBatch {
        let mut batch = ReportBatch {
            last_sequence: self.last_sequence,
            ..ReportBatch::default()
        };
        let first = self
            .reports
            .partition_point(|report| report.sequence <= sequence);
        for (count, report) in self.reports.iter().skip(first).enumerate() {
            if count >= max_count {
                break;
            }
            batch.last_sequence = report.sequence;
            let left_ms = report.expires_at.saturating_duration_since(now).as_millis() as u64;
            let fingerprint = report.fingerprint;
            match report.ending {
                Ending::Crashed => batch.crashes.push(CrashReport {
                    fingerprint,
                    crash_id: report.run_id,
                    left_ms,
                }),
                Ending::Revived => batch.withdrawals.push(CrashReport {
                    fingerprint,
                    crash_id: report.run_id,
                    left_ms,
                }),
                Ending::Survived => batch.survivals.push(SurvivalReport {
                    fingerprint,
                    run_id: report.run_id,
                    left_ms,
                }),
            }
        }
        batch
    }

    fn add(
        &mut self,
        ending: Ending,
        fingerprint: Fingerprint,
        run_id: u64,
        expires_at: Instant,
        now: Instant,
    ) -> bool {
        self.remove_expired(now);
        if expires_at <= now {
            return false;
        }
        let suspicion = self.suspicions.entry(fingerprint).or_default();
        if suspicion.runs(ending).contains_key(&run_id) {
            return false;
        }
        suspicion.runs(ending).insert(run_id, expires_at);
        if self.reports.len() >= REPORT_MAX_COUNT {
            self.evicted_count += 1;
            self.remove_oldest();
        }
        self.last_sequence += 1;
        self.reports.push_back(Report {
            sequence: self.last_sequence,
            ending,
            fingerprint,
            run_id,
            expires_at,
        });
        true
    }

    /// Removes expired reports. A report that expires before one that was merged earlier is removed
    /// together with that one.
    fn remove_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.reports.front() {
            if oldest.expires_at > now {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some(report) = self.reports.pop_front() else {
            return;
        };
        let Some(suspicion) = self.suspicions.get_mut(&report.fingerprint) else {
            return;
        };
        suspicion.runs(report.ending).remove(&report.run_id);
        if suspicion.is_empty() {
            self.suspicions.remove(&report.fingerprint);
        }
    }
}

fn expiry(left_ms: u64, now: Instant) -> Instant {
    now + Duration::from_millis(left_ms).min(REPORT_TTL)
}
