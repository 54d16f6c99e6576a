//! Account of one customer at a coordinator.

use std::time::{
    Duration,
    Instant, //
};

use figway_customers::CustomerLimit;

use crate::message::LimitedCustomer;

/// Time over which the demand of a customer is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(500);

/// Number of requests at the limit over which the demand is averaged in addition, so that a few requests
/// that arrive together are not taken for a higher demand.
const DEMAND_COUNT: f64 = 0.8;

/// Time within which a balance is spent or a debt repaid. It must be longer than the delay from a
/// request to the answer that takes it into account, or the ratio oscillates.
const BALANCE_TIME: Duration = Duration::from_millis(600);

/// Demand as a multiple of the limit from which on a customer is watched: nodes report more often, so
/// that the coordinator limits it in time. A smaller demand exceeds the limit slowly.
const WATCHED_RATIO: f64 = 1.5;

/// Largest debt that the loss of nodes may leave, as time at the limit. Nodes that change their
/// coordinator are lost too, so that the loss is an estimate.
const LOSS_DEBT_MAX: Duration = Duration::from_millis(200);

/// Shortest time between two reports, in seconds; shorter ones count as this.
const ELAPSED_MIN_S: f64 = 0.05;

/// Mean time from a report to its coordinator.
const TRANSIT_TIME: Duration = Duration::from_millis(30);

/// Demand as a multiple of the limit above which a customer is limited before it has used its burst. What
/// a higher demand admits until all nodes know of it would exceed the bound.
const BURST_DEMAND_RATIO: f64 = 2.0;

/// Shortest time after which a refused request may come back: by then an answer that takes the lower
/// demand into account has reached all nodes.
const RETURN_MIN: Duration = Duration::from_millis(700);

/// Longest time after which a refused request may come back.
const RETURN_MAX: Duration = Duration::from_secs(5);

/// Requests of a customer in one report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedUsage {
    pub(crate) arrival_count: f64,
    pub(crate) admitted_count: f64,
    /// Time since the report before, within which the requests arrived.
    pub(crate) elapsed_s: f64,
    /// The same, or the usual time between reports if that is longer.
    pub(crate) span_s: f64,
    /// Whether the node admitted them by its own share, which this coordinator has not granted.
    pub(crate) is_by_own_share: bool,
}

/// Tokens and demand of a customer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    limit: CustomerLimit,
    capacity: f64,
    /// Tokens; negative while nodes have admitted more than the limit allows.
    balance: f64,
    /// Tokens that would be left if all arrivals had been admitted. It falls no lower than twice the debt
    /// that the delay of reports explains, which is enough to tell that the limit is exceeded.
    arrival_balance: f64,
    demand_per_s: f64,
    /// The demand weighted by the spans of its reports. Divided by the demand it gives their mean span.
    demand_span: f64,
    /// Largest number of requests in one report, scaled to the usual time between reports. It decays as
    /// the demand does.
    largest_count: f64,
    advanced_at: Instant,
}

impl Bucket {
    /// Creates an empty bucket, or one with the tokens and the demand of `known`.
    pub(crate) fn new(
        limit: CustomerLimit,
        capacity: f64,
        known: Option<&Bucket>,
        now: Instant,
    ) -> Self {
        let mut bucket = Self {
            limit,
            capacity,
            balance: 0.0,
            arrival_balance: 0.0,
            demand_per_s: 0.0,
            demand_span: 0.0,
            largest_count: 0.0,
            advanced_at: now,
        };
        let Some(known) = known else {
            return bucket;
        };
        // A raised limit grants the additional burst at once.
        let added = (capacity - known.capacity).max(0.0);
        bucket.balance = (known.balance + added).clamp(-capacity, capacity);
        bucket.arrival_balance = (known.arrival_balance + added).clamp(-capacity, capacity);
        bucket.demand_per_s = known.demand_per_s;
        bucket.demand_span = known.demand_span;
        bucket.largest_count = known.largest_count;
        bucket.advanced_at = known.advanced_at;
        bucket
    }

    /// Fills the bucket of a customer whose limit is new.
    pub(crate) fn fill(&mut self, share: f64) {
        self.balance = self.capacity * share;
        self.arrival_balance = self.balance;
    }

    /// Empties the bucket.
    pub(crate) fn reset(&mut self, now: Instant) {
        *self = Self::new(self.limit, self.capacity, None, now);
    }

    /// Adds the tokens for the time since the last call. `share` is the part of the limit that this
    /// coordinator grants.
    pub(crate) fn advance(&mut self, share: f64, now: Instant) {
        let elapsed_s = now
            .saturating_duration_since(self.advanced_at)
            .as_secs_f64();
        let added = self.limit.rate_per_s * share * elapsed_s;
        self.balance = (self.balance + added).min(self.capacity * share);
        self.arrival_balance = (self.arrival_balance + added).min(self.capacity * share);
        let kept_ratio = (-elapsed_s / self.demand_time_s()).exp();
        self.demand_per_s *= kept_ratio;
        self.demand_span *= kept_ratio;
        self.largest_count *= kept_ratio;
        self.advanced_at = now;
    }

    /// Counts the requests of a report. The debt is bounded to what the limit yields within `debt_time`.
    pub(crate) fn draw(&mut self, usage: &ReportedUsage, debt_time: Duration) {
        let debt_max = self.limit.rate_per_s * debt_time.as_secs_f64();
        let demand_per_s = usage.arrival_count / self.demand_time_s();
        self.demand_per_s += demand_per_s;
        self.demand_span += demand_per_s * usage.span_s;
        let largest_count = usage.arrival_count * usage.span_s / usage.elapsed_s.max(ELAPSED_MIN_S);
        self.largest_count = self.largest_count.max(largest_count);
        if usage.is_by_own_share {
            return;
        }
        let balance = self.balance - usage.admitted_count;
        self.balance = balance.clamp(-debt_max, self.capacity);
        let drawn_count = usage.arrival_count.max(usage.admitted_count);
        let floor = -2.0 * self.delayed_count();
        let arrival_balance = self.arrival_balance - drawn_count;
        self.arrival_balance = arrival_balance.max(floor.min(self.arrival_balance));
    }

    /// Adjusts the balances to a changed share of the nodes that report. The share of lost nodes was
    /// granted to the others for `overgranted_s`, scaled to the whole limit.
    pub(crate) fn change_share(&mut self, share: f64, next_share: f64, overgranted_s: f64) {
        let lost_share = (share - next_share).max(0.0);
        let gained_share = (next_share - share).max(0.0);
        // The nodes that were lost admit requests by their own shares of the burst.
        let lost_count = self.capacity * lost_share + self.limit.rate_per_s * overgranted_s;
        // Nodes that are new have no tokens but those of the reserve.
        let gained_count = (self.capacity - self.limit.burst_count) * gained_share;
        let floor = -self.limit.rate_per_s * LOSS_DEBT_MAX.as_secs_f64();
        for balance in [&mut self.balance, &mut self.arrival_balance] {
            *balance = (*balance - lost_count).max(floor.min(*balance)) + gained_count;
        }
    }

    /// Returns the tokens, which are negative if nodes have admitted more than the limit allows.
    pub(crate) fn balance(&self) -> f64 {
        self.balance
    }

    /// Returns whether the customer sends so much more than its limit that its tokens would soon be used.
    pub(crate) fn is_watched(&self, share: f64) -> bool {
        let granted_per_s = self.granted_per_s(share);
        let watched_per_s = self.limit.rate_per_s * share * WATCHED_RATIO;
        self.demand_per_s > granted_per_s.max(watched_per_s)
    }

    /// Returns the rate that is granted: that of the limit, and the balance spread over [`BALANCE_TIME`].
    fn granted_per_s(&self, share: f64) -> f64 {
        self.limit.rate_per_s * share + self.balance / BALANCE_TIME.as_secs_f64()
    }

    /// Returns how the customer is limited, if it is. `is_whole` says whether nearly all nodes report in
    /// time. If they do, a customer with a demand of up to [`BURST_DEMAND_RATIO`] is not limited before its
    /// requests have exceeded the limit, since the demand still holds bursts for which it had tokens. If
    /// not, its unknown requests at the others may exceed it already.
    pub(crate) fn verdict(&self, code: u32, share: f64, is_whole: bool) -> Option<LimitedCustomer> {
        let rate_per_s = self.limit.rate_per_s;
        let granted_per_s = self.granted_per_s(share);
        let has_exceeded = self.balance.min(self.arrival_balance) < -self.delayed_count();
        let may_be_burst = self.demand_per_s <= BURST_DEMAND_RATIO * rate_per_s;
        if self.demand_per_s <= granted_per_s || is_whole && may_be_burst && !has_exceeded {
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

    /// Returns the largest debt of a customer that keeps its limit. A full bucket gains nothing while
    /// requests wait for the next report, so that the customer seems to owe what the limit yields in this
    /// time. That is half of the time between reports on average, and all of it if one report holds the
    /// requests.
    fn delayed_count(&self) -> f64 {
        let (mut span_s, mut concentration) = (0.0, 0.0);
        if self.demand_span > 0.0 {
            span_s = self.demand_span / self.demand_per_s;
            concentration = (self.largest_count / self.demand_span).min(1.0);
        }
        let delay_s = span_s * (1.0 + concentration.sqrt()) / 2.0 + TRANSIT_TIME.as_secs_f64();
        let reserve_count = self.capacity - self.limit.burst_count;
        (self.limit.rate_per_s * delay_s - reserve_count).max(0.0)
    }

    fn demand_time_s(&self) -> f64 {
        DEMAND_TIME.as_secs_f64() + (DEMAND_COUNT / self.limit.rate_per_s).min(1.0)
    }
}
