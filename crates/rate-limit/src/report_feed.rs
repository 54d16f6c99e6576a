//! Numbered reports from one node to one coordinator. A report is repeated until it is acknowledged, so
//! that none is lost and none counts twice.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::FastMap;

use crate::message::{
    UsageCount,
    UsageReport, //
};

/// Age from which on counts are not reported any more. They were admitted by the node's own share or
/// another coordinator, and have left the coordinator's account of this node's share.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Longest time for which a single request of a customer waits to be reported together with others.
const SINGLE_MAX_AGE: Duration = Duration::from_millis(450);

/// Requests of one customer since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) arrival_count: u64,
    pub(crate) admitted_count: i64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    totals: Totals,
    /// Since when there has been something to report.
    pending_since: Option<Instant>,
}

/// Progress of the reports to one coordinator.
#[derive(Clone, Debug)]
pub(crate) struct ReportFeed {
    sequence: u64,
    reported: FastMap<u64, Reported>,
    unacknowledged: Option<Vec<UsageCount>>,
    acknowledged_at: Instant,
}

impl ReportFeed {
    /// Creates a feed to a new coordinator. What was counted before is not reported.
    pub(crate) fn new(totals: impl Iterator<Item = (u64, Totals)>, now: Instant) -> Self {
        let mut feed = Self {
            sequence: 0,
            reported: FastMap::default(),
            unacknowledged: None,
            acknowledged_at: now,
        };
        feed.skip_to(totals);
        feed
    }

    fn skip_to(&mut self, totals: impl Iterator<Item = (u64, Totals)>) {
        self.reported.clear();
        for (code, totals) in totals {
            let reported = Reported {
                totals,
                pending_since: None,
            };
            self.reported.insert(code, reported);
        }
    }

    /// Returns when the last report was acknowledged.
    pub(crate) fn acknowledged_at(&self) -> Instant {
        self.acknowledged_at
    }

    /// Fills `report` with the counts that are due, or with those that were not acknowledged.
    pub(crate) fn fill(
        &mut self,
        report: &mut UsageReport,
        totals: impl Iterator<Item = (u64, Totals)> + Clone,
        now: Instant,
    ) {
        if now.saturating_duration_since(self.acknowledged_at) > STALE_AFTER {
            self.unacknowledged = None;
            self.skip_to(totals.clone());
            self.acknowledged_at = now;
        }
        if self.unacknowledged.is_none() {
            self.sequence += 1;
            self.unacknowledged = Some(self.due_counts(totals, now));
        }
        report.sequence = self.sequence;
        report.counts = self.unacknowledged.clone().unwrap_or_default();
    }

    fn due_counts(
        &mut self,
        totals: impl Iterator<Item = (u64, Totals)>,
        now: Instant,
    ) -> Vec<UsageCount> {
        let mut counts = Vec::new();
        for (code, totals) in totals {
            let reported = self.reported.entry(code).or_default();
            let before = reported.totals;
            let arrivals = totals.arrival_count.saturating_sub(before.arrival_count);
            let admitted = totals.admitted_count.saturating_sub(before.admitted_count);
            if arrivals == 0 && admitted == 0 {
                continue;
            }
            let since = *reported.pending_since.get_or_insert(now);
            if arrivals <= 1 && now.saturating_duration_since(since) < SINGLE_MAX_AGE {
                continue;
            }
            *reported = Reported {
                totals,
                pending_since: None,
            };
            counts.push(UsageCount(
                code,
                arrivals.min(u64::from(u32::MAX)) as u32,
                admitted.clamp(i64::from(i32::MIN), i64::from(i32::MAX)) as i32,
            ));
        }
        counts
    }

    /// Records that the coordinator has merged the report of that number.
    pub(crate) fn acknowledge(&mut self, sequence: u64, now: Instant) {
        if sequence != self.sequence {
            return;
        }
        self.unacknowledged = None;
        self.acknowledged_at = now;
    }
}
