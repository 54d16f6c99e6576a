//! Coordinator: sums what the nodes admit and decides which customers are above their limit.

use std::time::{
    Duration,
    Instant, //
};

use figway_customers::CustomerLimit;
use figway_types::FastMap;

use crate::bounds::{
    clamp_limit,
    LimitBounds, //
};
use crate::bucket::{
    Bucket,
    ReportedUsage, //
};
use crate::message::{
    UsageAnswer,
    UsageReport, //
};

/// Time after which the reports of a node are a base for decisions.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// A coordinator decides once one in this many nodes that report has done so for [`WARM_UP`]. Otherwise
/// most of the demand is still unknown to it, as after its start or the end of a cut.
const WARM_DIVISOR: usize = 3;

/// Time without any report after which a coordinator starts over, since its balances are outdated.
const IDLE_MAX: Duration = Duration::from_secs(2);

/// Number of its periods after which a node that did not report is not granted its share any more.
const MISSED_PERIOD_COUNT: u32 = 3;

/// Number of its periods after which a busy node is late, so that its part of the demand is unknown. A
/// node that was not busy may have no requests and report less often.
const LATE_PERIOD_COUNT: f64 = 1.8;

/// Ratio of the nodes that must report in time for the demand to be known as a whole. One message in 100
/// is taken to be lost.
const WHOLE_RATIO: f64 = 0.95;

/// Longest period that a report may state, in milliseconds.
const PERIOD_MAX_MS: u64 = 10_000;

/// Share of the nodes below which a coordinator does not decide. In a small group the requests that are
/// admitted before a report add up to more than the nodes' own shares let pass.
const SHARE_MIN: f64 = 0.2;

/// Largest number of a report that may be the first one to this coordinator since the node's start.
const FIRST_REPORT_MAX: u64 = 4;

/// Largest number of a report of a young node, which began to report less than 2 s before.
const YOUNG_REPORT_MAX: u64 = 12;

/// Ratio of the reporting nodes that must be young for this to be a start of all nodes or of the first
/// limits. After a mere change of the coordinator most nodes are not. At a start all demand is known
/// without a [`WARM_UP`].
const YOUNG_RATIO: f64 = 0.9;

/// Interval at which the nodes that report are counted.
const RECOUNT_EVERY: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Reporter {
    epoch: u32,
    sequence: u64,
    warm_at: Instant,
    /// Whether the node had just begun to report when this coordinator received its first report.
    is_young: bool,
    reported_at: Instant,
    /// When the last report that was not a repeated one was merged.
    counted_at: Instant,
    /// When the node is late, unless it reports before.
    late_at: Instant,
    expected_until: Instant,
}

/// Accounts of all customers with a limit at one coordinator.
#[derive(Clone, Debug)]
pub struct LimitCoordinator {
    bounds: LimitBounds,
    buckets: FastMap<u32, Bucket>,
    reporters: FastMap<String, Reporter>,
    member_count: usize,
    share: f64,
    is_warm: bool,
    /// Whether the demand is known as a whole: nearly all nodes have reported in time, or are young.
    is_whole: bool,
    recounted_at: Option<Instant>,
    last_report_at: Option<Instant>,
}

impl LimitCoordinator {
    /// Creates a coordinator without customers.
    pub fn new(bounds: LimitBounds) -> Self {
        Self {
            bounds,
            buckets: FastMap::default(),
            reporters: FastMap::default(),
            member_count: 1,
            share: 0.0,
            is_warm: false,
            is_whole: false,
            recounted_at: None,
            last_report_at: None,
        }
    }

    /// Sets the bounds within which limits have to hold, for the limits that are set next.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        self.bounds = bounds;
    }

    /// Sets the limits by customer code and drops all others. The bucket of a new customer is full
    /// if nearly all nodes report already, and empty if the coordinator has just begun.
    pub fn set_limits(&mut self, limits: impl Iterator<Item = (u32, CustomerLimit)>, now: Instant) {
        let mut buckets = FastMap::default();
        for (code, limit) in limits {
            let limit = clamp_limit(&limit);
            let capacity = self.bounds.capacity(&limit);
            let known = self.buckets.get(&code);
            let mut bucket = Bucket::new(limit, capacity, known, now);
            // A coordinator that has not just begun knows that the limit is new.
            if known.is_none() && self.is_whole {
                bucket.fill(self.share);
            }
            buckets.insert(code, bucket);
        }
        self.buckets = buckets;
    }

    /// Sets the number of nodes among which the limits are shared.
    pub fn set_member_count(&mut self, member_count: usize) {
        self.member_count = member_count.max(1);
    }

    /// Merges the report of `node`, unless it was merged before.
    pub fn merge(&mut self, node: &str, report: &UsageReport, now: Instant) {
        let is_idle = self
            .last_report_at
            .is_none_or(|last| now.saturating_duration_since(last) > IDLE_MAX);
        if is_idle {
            self.reset(now);
        }
        self.last_report_at = Some(now);
        let period = Duration::from_millis(report.period_ms.min(PERIOD_MAX_MS));
        self.recount(now);
        let known = self.reporters.get(node);
        // A node that was not granted a share by this coordinator before has admitted by its own one.
        let is_new = known.is_none() && report.sequence <= FIRST_REPORT_MAX;
        let is_young = report.sequence <= YOUNG_REPORT_MAX;
        let known = known.filter(|known| known.epoch == report.epoch);
        let is_repeated = known.is_some_and(|known| known.sequence >= report.sequence);
        let counted_at = known.map_or(now, |known| known.counted_at);
        // A node may report more often than its period for a short time.
        let elapsed_s = now.saturating_duration_since(counted_at).as_secs_f64();
        let span_s = elapsed_s.max(period.as_secs_f64());
        let expected_until = now + period * MISSED_PERIOD_COUNT;
        let next = Reporter {
            epoch: report.epoch,
            sequence: report.sequence,
            warm_at: known.map_or(now + WARM_UP, |known| known.warm_at),
            is_young: known.map_or(is_young, |known| known.is_young),
            reported_at: now,
            counted_at: if is_repeated { counted_at } else { now },
            late_at: if report.is_busy() {
                now + period.mul_f64(LATE_PERIOD_COUNT)
            } else {
                expected_until
            },
            expected_until,
        };
        self.reporters.insert(node.to_owned(), next);
        if is_repeated {
            return;
        }
        for count in report.all_counts() {
            let Some(bucket) = self.buckets.get_mut(&count.0) else {
                continue;
            };
            bucket.advance(self.share, now);
            let usage = ReportedUsage {
                arrival_count: f64::from(count.1),
                admitted_count: f64::from(count.2),
                span_s,
                elapsed_s,
                is_by_own_share: is_new,
            };
            bucket.draw(&usage, self.bounds.window);
        }
    }

    /// Returns the answer to a report.
    pub fn answer(&mut self, now: Instant) -> UsageAnswer {
        self.recount(now);
        let ready = self.is_warm;
        let mut limited = Vec::new();
        let mut watched = false;
        for (code, bucket) in &mut self.buckets {
            bucket.advance(self.share, now);
            watched |= self.is_whole && bucket.is_watched(self.share);
            limited.extend(bucket.verdict(*code, self.share, self.is_whole));
        }
        UsageAnswer {
            ready,
            watched,
            limited,
        }
    }

    /// Returns the tokens of a customer, if this coordinator decides and knows the customer.
    pub fn balance(&mut self, code: u32, now: Instant) -> Option<f64> {
        self.recount(now);
        let bucket = self.buckets.get_mut(&code).filter(|_| self.is_warm)?;
        bucket.advance(self.share, now);
        Some(bucket.balance())
    }

    /// Starts over without reporters, with empty buckets.
    fn reset(&mut self, now: Instant) {
        self.reporters.clear();
        self.share = 0.0;
        self.recounted_at = None;
        for bucket in self.buckets.values_mut() {
            bucket.reset(now);
        }
    }

    /// Counts the nodes that report, at most once in [`RECOUNT_EVERY`].
    fn recount(&mut self, now: Instant) {
        let is_recent = self
            .recounted_at
            .is_some_and(|at| now.saturating_duration_since(at) < RECOUNT_EVERY);
        if is_recent {
            return;
        }
        // Time for which the shares of lost nodes were granted to others, as a part of all shares.
        let overgranted_s = self.remove_lost_reporters(now) / self.member_count as f64;
        self.recounted_at = Some(now);
        let reporter_count = self.reporters.len();
        let share = (reporter_count as f64 / self.member_count as f64).min(1.0);
        self.set_share(share, overgranted_s, now);
        let count = |is_counted: fn(&Reporter, Instant) -> bool| {
            let reporters = self.reporters.values();
            reporters
                .filter(|reporter| is_counted(reporter, now))
                .count()
        };
        let warm_count = count(|reporter, now| reporter.warm_at <= now);
        let young_count = count(|reporter, _| reporter.is_young);
        let punctual_count = count(|reporter, now| reporter.late_at > now);
        let knows_demand = warm_count > 0 && warm_count * WARM_DIVISOR >= reporter_count;
        let has_begun =
            young_count > 0 && young_count as f64 >= reporter_count as f64 * YOUNG_RATIO;
        self.is_warm = share >= SHARE_MIN && (knows_demand || has_begun);
        self.is_whole = punctual_count as f64 >= self.member_count as f64 * WHOLE_RATIO
            || has_begun && !knows_demand;
    }

    /// Removes the nodes that did not report in time. Returns the sum of the times since their last
    /// reports, in seconds.
    fn remove_lost_reporters(&mut self, now: Instant) -> f64 {
        let mut lost_s = 0.0;
        let is_whole = self.is_whole;
        self.reporters.retain(|_, reporter| {
            // While nearly all nodes report, lost messages are more likely than a lost node.
            let grace = reporter
                .expected_until
                .saturating_duration_since(reporter.reported_at);
            let expected_until = if is_whole {
                reporter.expected_until + grace
            } else {
                reporter.expected_until
            };
            let is_expected = expected_until > now;
            if !is_expected {
                let silent = now.saturating_duration_since(reporter.reported_at);
                lost_s += silent.as_secs_f64();
            }
            is_expected
        });
        lost_s
    }

    /// Sets the share of the nodes that report, and adjusts the balances to the change.
    fn set_share(&mut self, share: f64, overgranted_s: f64, now: Instant) {
        for bucket in self.buckets.values_mut() {
            bucket.advance(self.share, now);
            bucket.change_share(self.share, share, overgranted_s);
        }
        self.share = share;
    }
}
