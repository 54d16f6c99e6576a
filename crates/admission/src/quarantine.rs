//! Quarantine of requests that crash the targets which run them.
//!
//! One crash is reported once for each request that was at work. A run that was taken for ended and
//! answers again takes its reports back. Answers to requests with the same fingerprint speak against
//! the suspicion, those before the crash too; a node counts them for its own target. Reports are merged as a set, so that nodes
//! with the same reports agree, and each has a sequence number, so that peers can be sent exactly
//! those that they lack.

use std::collections::VecDeque;
use std::time::Instant;

use figway_types::{
    FastMap,
    Fingerprint, //
};

use crate::answers::RecentAnswers;
use crate::crash_report::{
    expiry,
    CrashReport,
    ReportBatch,
    SurvivalReport,
    REPORT_TTL, //
};
use crate::suspicion::{
    Event,
    Suspicion, //
};

/// Numbers of answers by one run of a target at which they are reported.
const REPORTED_ANSWER_COUNTS: [u32; 3] = [16, 4, 1];

/// Maximum number of stored reports. The oldest are evicted first.
const REPORT_MAX_COUNT: usize = 4_096;

/// Maximum number of stored reports of survivals for one fingerprint.
const SURVIVAL_MAX_COUNT: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Report {
    sequence: u64,
    event: Event,
    fingerprint: Fingerprint,
    run_id: u64,
    expires_at: Instant,
}

/// Unexpired reports, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    reports: VecDeque<Report>,
    suspicions: FastMap<Fingerprint, Suspicion>,
    answers: RecentAnswers,
    last_sequence: u64,
    /// Sequence number of the last report that this node made.
    own_sequence: u64,
    evicted_count: u64,
}

impl Quarantine {
    /// Records that a target crashed while it ran a request. Returns whether this is new.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash_id: u64, now: Instant) -> bool {
        let is_new = self.add_own(Event::Crashed, fingerprint, crash_id, now);
        self.report_recent_answers(fingerprint, now);
        is_new
    }

    /// Records that a target answered a request. Returns whether this makes a report, since the
    /// request is suspected to crash targets.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, run_id: u64, now: Instant) -> bool {
        let count = self.answers.record(fingerprint, run_id, now);
        let is_suspected = self.suspicions.contains_key(&fingerprint);
        is_suspected && self.report_answers(fingerprint, run_id, count, now)
    }

    /// Takes a crash back, since the run that was taken for ended answered again. Returns whether
    /// this is new.
    pub fn withdraw_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash_id: u64,
        now: Instant,
    ) -> bool {
        self.add_own(Event::Revived, fingerprint, crash_id, now)
    }

    /// Merges a peer's report that a crash was taken back; returns whether it is new and unexpired.
    pub fn merge_withdrawal(&mut self, report: &CrashReport, now: Instant) -> bool {
        let expires_at = expiry(report.left_ms, now);
        self.add(
            Event::Revived,
            report.fingerprint,
            report.crash_id,
            expires_at,
            now,
        )
    }

    /// Merges a peer's report of a crash; returns whether it is new and unexpired.
    pub fn merge_crash(&mut self, report: &CrashReport, now: Instant) -> bool {
        let expires_at = expiry(report.left_ms, now);
        let is_new = self.add(
            Event::Crashed,
            report.fingerprint,
            report.crash_id,
            expires_at,
            now,
        );
        if is_new {
            self.report_recent_answers(report.fingerprint, now);
        }
        is_new
    }

    /// Merges a peer's report of a survival; returns whether it is new and unexpired.
    pub fn merge_survival(&mut self, report: &SurvivalReport, now: Instant) -> bool {
        let expires_at = expiry(report.left_ms, now);
        self.add(
            Event::Answered(report.answer_count),
            report.fingerprint,
            report.run_id,
            expires_at,
            now,
        )
    }

    /// Returns whether requests with the fingerprint are refused.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let suspicion = self.suspicions.get(&fingerprint);
        suspicion.is_some_and(|suspicion| suspicion.is_quarantined(now))
    }

    /// Returns the sequence number of the newest report; 0 if there was none yet.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the sequence number of the newest report that this node made; 0 if it made none yet.
    pub fn own_sequence(&self) -> u64 {
        self.own_sequence
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
            match report.event {
                Event::Crashed => batch.crashes.push(CrashReport {
                    fingerprint,
                    crash_id: report.run_id,
                    left_ms,
                }),
                Event::Revived => batch.withdrawals.push(CrashReport {
                    fingerprint,
                    crash_id: report.run_id,
                    left_ms,
                }),
                Event::Answered(answer_count) => batch.survivals.push(SurvivalReport {
                    fingerprint,
                    run_id: report.run_id,
                    answer_count,
                    left_ms,
                }),
            }
        }
        batch
    }

    /// Reports the answers that this node has counted before a crash of the request.
    fn report_recent_answers(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(answers) = self.answers.get(fingerprint) {
            self.report_answers(fingerprint, answers.run_id, answers.count, now);
        }
    }

    /// Reports a number of answers rounded down to one of [`REPORTED_ANSWER_COUNTS`], so that they make
    /// few reports. Returns whether this is new.
    fn report_answers(
        &mut self,
        fingerprint: Fingerprint,
        run_id: u64,
        count: u32,
        now: Instant,
    ) -> bool {
        let known = self.suspicions.get(&fingerprint);
        let run_count = known.map_or(0, |suspicion| suspicion.answering_run_count());
        let is_known = known.is_some_and(|suspicion| suspicion.has_answers_of(run_id));
        if !is_known && run_count >= SURVIVAL_MAX_COUNT {
            return false;
        }
        for reported in REPORTED_ANSWER_COUNTS {
            if count >= reported {
                return self.add_own(Event::Answered(reported), fingerprint, run_id, now);
            }
        }
        false
    }

    fn add_own(
        &mut self,
        event: Event,
        fingerprint: Fingerprint,
        run_id: u64,
        now: Instant,
    ) -> bool {
        let is_new = self.add(event, fingerprint, run_id, now + REPORT_TTL, now);
        if is_new {
            self.own_sequence = self.last_sequence;
        }
        is_new
    }

    fn add(
        &mut self,
        event: Event,
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
        if !suspicion.add(event, run_id, expires_at) {
            return false;
        }
        if self.reports.len() >= REPORT_MAX_COUNT {
            self.evicted_count += 1;
            self.remove_oldest();
        }
        self.last_sequence += 1;
        self.reports.push_back(Report {
            sequence: self.last_sequence,
            event,
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
        suspicion.remove(report.event, report.run_id);
        if suspicion.is_empty() {
            self.suspicions.remove(&report.fingerprint);
        }
    }
}
