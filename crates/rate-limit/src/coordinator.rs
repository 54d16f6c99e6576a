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
use crate::message::{
    LimitedCustomer,
    UsageAnswer,
    UsageReport, //
};

/// Time over which the demand of a customer is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(500);

/// Number of requests at the limit over which the demand is averaged in addition, so that a few requests
/// that arrive together are not taken for a higher demand.
const DEMAND_COUNT: f64 = 0.8;

/// Time within which a balance is spent or a debt repaid. It must be longer than the delay from a
/// request to the answer that takes it into account, or the ratio oscillates.
const BALANCE_TIME: Duration = Duration::from_millis(600);

/// Time after which the reports of a node are a base for decisions.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// A coordinator decides once one in this many nodes that report has done so for [`WARM_UP`]. Otherwise
/// most of the demand is still unknown to it, as after its start or the end of a cut.
const WARM_DIVISOR: usize = 3;

/// Time without any report after which a coordinator starts over, since its balances are outdated.
const IDLE_MAX: Duration = Duration::from_secs(2);

/// Number of its periods after which a node that did not report is not granted its share any more.
const MISSED_PERIOD_COUNT: u32 = 3;

/// Longest period that a report may state, in milliseconds.
const PERIOD_MAX_MS: u64 = 10_000;

/// Share of the nodes below which a coordinator does not decide. In a small group the requests that are
/// admitted before a report add up to more than the nodes' own shares let pass.
const SHARE_MIN: f64 = 0.2;

/// Largest number of a report that may be the first one to this coordinator since the node's start.
const FIRST_REPORT_MAX: u64 = 2;

/// Largest debt that the loss of nodes may leave, as time at the limit. Nodes that change their
/// coordinator are lost too, so that the loss is an estimate.
const LOSS_DEBT_MAX: Duration = Duration::from_millis(200);

/// Interval at which the nodes that report are counted.
const RECOUNT_EVERY: Duration = Duration::from_millis(50);

/// Shortest time after which a refused request may come back: by then an answer that takes the lower
/// demand into account has reached all nodes.
const RETURN_MIN: Duration = Duration::from_millis(700);

/// Longest time after which a refused request may come back.
const RETURN_MAX: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Reporter {
    epoch: u32,
    sequence: u64,
    warm_at: Instant,
    reported_at: Instant,
    expected_until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    limit: CustomerLimit,
    capacity: f64,
    /// Tokens; negative while nodes have admitted more than the limit allows.
    balance: f64,
    demand_per_s: f64,
    advanced_at: Instant,
}

impl Bucket {
    fn advance(&mut self, share: f64, now: Instant) {
        let elapsed_s = now
            .saturating_duration_since(self.advanced_at)
            .as_secs_f64();
        let refilled = self.balance + self.limit.rate_per_s * share * elapsed_s;
        self.balance = refilled.min(self.capacity * share);
        self.demand_per_s *= (-elapsed_s / self.demand_time_s()).exp();
        self.advanced_at = now;
    }

    fn demand_time_s(&self) -> f64 {
        DEMAND_TIME.as_secs_f64() + (DEMAND_COUNT / self.limit.rate_per_s).min(1.0)
    }

    fn verdict(&self, code: u32, share: f64) -> Option<LimitedCustomer> {
        let rate_per_s = self.limit.rate_per_s;
        let granted_per_s = rate_per_s * share + self.balance / BALANCE_TIME.as_secs_f64();
        if self.demand_per_s <= granted_per_s {
            return None;
        }
        let ratio = (granted_per_s / self.demand_per_s).clamp(0.0, 1.0);
        let debt_s = (-self.balance / rate_per_s).max(0.0);
        // What is refused now arrives again, so that it is spread over as long as it takes to serve.
        let backlog_s = (self.demand_per_s / rate_per_s - 1.0).max(0.0) / 2.0;
        let wait_s = RETURN_MIN.as_secs_f64() + debt_s + backlog_s;
        let wait_ms = wait_s.min(RETURN_MAX.as_secs_f64()) * 1_000.0;
        Some(LimitedCustomer(
            code,
            (ratio * 1_000.0) as u32,
            wait_ms as u32,
        ))
    }
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
            recounted_at: None,
            last_report_at: None,
        }
    }

    /// Sets the bounds within which limits have to hold, for the limits that are set next.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        self.bounds = bounds;
    }

    /// Sets the limits by customer code and drops all others. The bucket of a new customer is empty.
    pub fn set_limits(&mut self, limits: impl Iterator<Item = (u32, CustomerLimit)>, now: Instant) {
        let mut buckets = FastMap::default();
        for (code, limit) in limits {
            let limit = clamp_limit(&limit);
            let capacity = self.bounds.capacity(&limit);
            let known = self.buckets.get(&code);
            // A raised limit grants the additional burst at once.
            let balance = known.map_or(0.0, |known| {
                known.balance + (capacity - known.capacity).max(0.0)
            });
            let bucket = Bucket {
                limit,
                capacity,
                balance: balance.clamp(-capacity, capacity),
                demand_per_s: known.map_or(0.0, |known| known.demand_per_s),
                advanced_at: known.map_or(now, |known| known.advanced_at),
            };
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
        let known = known.filter(|known| known.epoch == report.epoch);
        let is_repeated = known.is_some_and(|known| known.sequence >= report.sequence);
        let next = Reporter {
            epoch: report.epoch,
            sequence: report.sequence,
            warm_at: known.map_or(now + WARM_UP, |known| known.warm_at),
            reported_at: now,
            expected_until: now + period * MISSED_PERIOD_COUNT,
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
            bucket.demand_per_s += f64::from(count.1) / bucket.demand_time_s();
            let debt_max = bucket.limit.rate_per_s * self.bounds.window.as_secs_f64();
            let drawn_count = if is_new { 0.0 } else { f64::from(count.2) };
            let balance = bucket.balance - drawn_count;
            bucket.balance = balance.clamp(-debt_max, bucket.capacity);
        }
    }

    /// Returns the answer to a report.
    pub fn answer(&mut self, now: Instant) -> UsageAnswer {
        self.recount(now);
        let ready = self.is_warm;
        let mut limited = Vec::new();
        for (code, bucket) in &mut self.buckets {
            bucket.advance(self.share, now);
            limited.extend(bucket.verdict(*code, self.share));
        }
        UsageAnswer { ready, limited }
    }

    /// Starts over without reporters, with empty buckets.
    fn reset(&mut self, now: Instant) {
        self.reporters.clear();
        self.share = 0.0;
        self.recounted_at = None;
        for bucket in self.buckets.values_mut() {
            bucket.balance = 0.0;
            bucket.demand_per_s = 0.0;
            bucket.advanced_at = now;
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
        let warm_count = self
            .reporters
            .values()
            .filter(|reporter| reporter.warm_at <= now)
            .count();
        let share = (self.reporters.len() as f64 / self.member_count as f64).min(1.0);
        self.set_share(share, overgranted_s, now);
        let is_large = share >= SHARE_MIN;
        self.is_warm =
            is_large && warm_count > 0 && warm_count * WARM_DIVISOR >= self.reporters.len();
    }

    /// Removes the nodes that did not report in time. Returns the sum of the times since their last
    /// reports, in seconds.
    fn remove_lost_reporters(&mut self, now: Instant) -> f64 {
        let mut lost_s = 0.0;
        self.reporters.retain(|_, reporter| {
            let is_expected = reporter.expected_until > now;
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
        let lost_share = (self.share - share).max(0.0);
        let gained_share = (share - self.share).max(0.0);
        for bucket in self.buckets.values_mut() {
            bucket.advance(self.share, now);
            // The nodes that were lost admit requests by their own shares of the burst.
            let lost_count = bucket.capacity * lost_share + bucket.limit.rate_per_s * overgranted_s;
            let floor = -bucket.limit.rate_per_s * LOSS_DEBT_MAX.as_secs_f64();
            bucket.balance = (bucket.balance - lost_count).max(floor.min(bucket.balance));
            // Nodes that are new have no tokens but those of the reserve.
            bucket.balance += (bucket.capacity - bucket.limit.burst_count) * gained_share;
        }
        self.share = share;
    }
}
