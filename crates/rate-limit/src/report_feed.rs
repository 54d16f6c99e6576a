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

/// Requests of one customer since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) arrival_count: u64,
    pub(crate) admitted_count: i64,
}

/// Usage of one customer at the time of a report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Counted {
    pub(crate) code: u32,
    pub(crate) totals: Totals,
    /// Requests that the node has admitted beyond its own share and not compensated since.
    pub(crate) debt_count: u32,
}

/// Progress of the reports to one coordinator.
#[derive(Clone, Debug)]
pub(crate) struct ReportFeed {
    sequence: u64,
    reported: FastMap<u32, Totals>,
    unacknowledged: Option<Vec<UsageCount>>,
    acknowledged_at: Instant,
}

impl ReportFeed {
    /// Creates a feed to a new coordinator, whose numbers begin after `sequence`. Of what was counted
    /// before, only the debt is reported.
    pub(crate) fn new(sequence: u64, totals: impl Iterator<Item = Counted>, now: Instant) -> Self {
        let mut feed = Self {
            sequence,
            reported: FastMap::default(),
            unacknowledged: None,
            acknowledged_at: now,
        };
        feed.skip_to(totals);
        feed
    }

    fn skip_to(&mut self, totals: impl Iterator<Item = Counted>) {
        self.reported.clear();
        for counted in totals {
            let mut totals = counted.totals;
            totals.admitted_count -= i64::from(counted.debt_count);
            self.reported.insert(counted.code, totals);
        }
    }

    /// Returns when the last report was acknowledged.
    pub(crate) fn acknowledged_at(&self) -> Instant {
        self.acknowledged_at
    }

    /// Fills `report` with the new counts, or with those that were not acknowledged.
    pub(crate) fn fill(
        &mut self,
        report: &mut UsageReport,
        totals: impl Iterator<Item = Counted> + Clone,
        now: Instant,
    ) {
        if now.saturating_duration_since(self.acknowledged_at) > STALE_AFTER {
            self.unacknowledged = None;
            self.skip_to(totals.clone());
            self.acknowledged_at = now;
        }
        if self.unacknowledged.is_none() {
            self.sequence += 1;
            self.unacknowledged = Some(self.new_counts(totals));
        }
        report.sequence = self.sequence;
        report.set_counts(self.unacknowledged.as_deref().unwrap_or_default());
    }

    fn new_counts(&mut self, totals: impl Iterator<Item = Counted>) -> Vec<UsageCount> {
        let mut counts = Vec::new();
        for Counted { code, totals, .. } in totals {
            let mut before = self.reported.insert(code, totals).unwrap_or_default();
            if before.arrival_count > totals.arrival_count {
                // The customer had no limit for a while, and its counts started at 0 again.
                before = Totals::default();
            }
            let arrivals = totals.arrival_count.saturating_sub(before.arrival_count);
            let admitted = totals.admitted_count.saturating_sub(before.admitted_count);
            if arrivals == 0 && admitted == 0 {
                continue;
            }
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
