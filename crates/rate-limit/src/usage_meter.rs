//! Node side: counts the requests of this node's callers and decides which are admitted.

use std::time::{
    Duration,
    Instant, //
};

use figway_customers::CustomerLimit;
use figway_types::{
    mix,
    FastMap, //
};

use crate::bounds::LimitBounds;
use crate::local_bucket::{
    Exception,
    LocalBucket,
    Share, //
};
use crate::message::{
    customer_code,
    UsageAnswer,
    UsageReport, //
};
use crate::report_feed::{
    Counted,
    ReportFeed,
    Totals, //
};
use crate::verdict::{
    Answer,
    LimitSource,
    Standing,
    Usage,
    Verdict, //
};

/// Number of coordinators that a node reports to.
pub const COORDINATOR_COUNT: usize = 2;

/// Period of the reports to the coordinator whose answers a node uses.
const LEAD_PERIOD: Duration = Duration::from_millis(280);

/// Period of the reports to the other coordinator.
const STANDBY_PERIOD: Duration = Duration::from_millis(700);

/// Period of the reports while no customer's requests arrive at the node.
const QUIET_PERIOD: Duration = Duration::from_millis(600);

/// Period of the reports of a node that has just begun to report, until the first answer.
const START_PERIOD: Duration = Duration::from_millis(100);

/// Time for which a node reports every [`START_PERIOD`] after an answer that says that a customer is watched.
const WATCH_TIME: Duration = Duration::from_millis(800);

/// Shortest time from one such phase to the next, so that a customer that stays near its limit does not
/// raise the traffic of reports for long.
const WATCH_EVERY: Duration = Duration::from_secs(5);

/// Longest time for which a running node waits for the first answer after the first limit came into force.
/// A limit need not bind before a window has passed.
const FIRST_ANSWER_TIME: Duration = Duration::from_millis(1_500);

/// Time after a report for which its answer is valid. A customer that suddenly sends several times its
/// limit is not held back for as long as that if all coordinators are lost in the same moment.
const VALID_FOR: Duration = Duration::from_millis(750);

/// Largest number of nodes that report this often. With more, the periods grow in proportion.
const FREQUENT_MEMBER_MAX_COUNT: usize = 128;

/// Longest period of reports, as a multiple of the shortest.
const PERIOD_FACTOR_MAX: f64 = 8.0;

/// Time without any report after which the progress of a coordinator is dropped.
const FEED_RETENTION: Duration = Duration::from_secs(10);

/// Time after the first report within which a new coordinator receives all counts since the start. After a
/// quick restart coordinators still grant this node's share to others.
const START_TIME: Duration = Duration::from_secs(2);

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request may run.
    Admitted,
    /// The customer is above its limit.
    Limited {
        /// Time after which the request may come back.
        retry_after: Duration,
        /// Who limits the customer.
        source: LimitSource,
    },
}

/// Usage of this node's callers by customer.
#[derive(Clone, Debug)]
pub struct UsageMeter {
    bounds: LimitBounds,
    epoch: u32,
    random_state: u64,
    member_count: usize,
    customers: FastMap<String, Usage>,
    answers: [Answer; COORDINATOR_COUNT],
    /// Whether requests have arrived since the last report.
    has_news: [bool; COORDINATOR_COUNT],
    /// Whether the last report showed a busy node, see [`UsageReport::is_busy`].
    was_busy: [bool; COORDINATOR_COUNT],
    feeds: FastMap<String, ReportFeed>,
    /// Highest number of all reports. A new feed continues after it, so that its reports do not count as
    /// repeated.
    last_sequence: u64,
    first_report_at: Option<Instant>,
    /// Since when requests have been decided without a coordinator.
    isolated_since: Option<Instant>,
    /// Until when all requests are admitted without a coordinator, after the first limits came into force.
    unlimited_until: Option<Instant>,
    /// When the node last began to report more often for a customer that is watched.
    watched_at: Option<Instant>,
}

impl UsageMeter {
    /// Creates the meter of a node that has just started. `seed` is a random number of its process.
    pub fn new(bounds: LimitBounds, seed: u64) -> Self {
        Self {
            bounds,
            epoch: mix(seed) as u32,
            random_state: seed,
            member_count: 1,
            customers: FastMap::default(),
            answers: Default::default(),
            has_news: [false; COORDINATOR_COUNT],
            was_busy: [false; COORDINATOR_COUNT],
            feeds: FastMap::default(),
            last_sequence: 0,
            first_report_at: None,
            isolated_since: None,
            unlimited_until: None,
            watched_at: None,
        }
    }

    /// Begins anew at a running node without limits when the first comes into force. Requests are admitted
    /// until the first answer of a coordinator, but not longer than a limit may take to bind.
    pub fn begin(&mut self, now: Instant) {
        let seed = mix(self.random_state ^ u64::from(self.epoch));
        let member_count = self.member_count;
        *self = Self::new(self.bounds, seed);
        self.member_count = member_count;
        self.unlimited_until = Some(now + FIRST_ANSWER_TIME);
    }

    /// Sets the bounds within which limits have to hold.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        self.bounds = bounds;
    }

    /// Sets the number of nodes among which the limits are shared.
    pub fn set_member_count(&mut self, member_count: usize) {
        self.member_count = member_count.max(1);
    }

    /// Drops the usage of customers that have no limit any more.
    pub fn retain(&mut self, has_limit: impl Fn(&str) -> bool) {
        self.customers.retain(|customer, _| has_limit(customer));
    }

    /// Counts a request of a customer and decides whether it may run.
    pub fn try_admit(&mut self, customer: &str, limit: &CustomerLimit, now: Instant) -> Admission {
        let draws = [self.random_ratio(), self.random_ratio()];
        let lead = self.lead(now);
        let exception = match lead {
            Some(_) => Exception::Never,
            None => self.exception(now),
        };
        let share = Share::new(&self.bounds, limit, self.member_count, exception);
        let is_unlimited = self.unlimited_until.is_some_and(|until| until > now);
        let usage = match self.customers.get_mut(customer) {
            Some(usage) => usage,
            None => {
                let usage = Usage {
                    code: customer_code(customer),
                    totals: Totals::default(),
                    credit: draws[1],
                    bucket: LocalBucket::new(share.capacity, draws[0], now),
                };
                self.customers.entry(customer.to_owned()).or_insert(usage)
            }
        };
        self.has_news = [true; COORDINATOR_COUNT];
        usage.totals.arrival_count += 1;
        usage.bucket.refill(&share, draws[0], now);
        let refusal = match lead {
            Some(lead) => usage.refusal_by_answer(&self.answers[lead]),
            None if is_unlimited => None,
            None => usage.refusal_by_share(&share),
        };
        if let Some(refusal) = refusal {
            return Admission::Limited {
                retry_after: refusal.wait.mul_f64(1.0 + draws[1]),
                source: refusal.source,
            };
        }
        usage.totals.admitted_count += 1;
        usage.bucket.draw(&share, draws[1], now);
        Admission::Admitted
    }

    /// Returns the token of an admitted request that has not run.
    pub fn refund(&mut self, customer: &str) {
        let Some(usage) = self.customers.get_mut(customer) else {
            return;
        };
        usage.totals.admitted_count -= 1;
        usage.bucket.give_back();
    }

    /// Returns what is left of a customer's limit, without drawing on it.
    pub fn standing(&self, customer: &str, limit: &CustomerLimit, now: Instant) -> Standing {
        let share = Share::new(&self.bounds, limit, self.member_count, Exception::Never);
        let usage = self.customers.get(customer);
        let own_share_count = usage.map_or(share.capacity, |usage| usage.bucket.count(&share, now));
        let source = self.lead(now).map_or(LimitSource::OwnShare, |lead| {
            let limited = &self.answers[lead].limited;
            let verdict = limited.get(&customer_code(customer));
            LimitSource::Coordinator(verdict.map_or(1.0, |verdict| verdict.ratio))
        });
        Standing {
            source,
            own_share_count,
        }
    }

    /// Returns the period of the reports to the coordinator of rank `slot`.
    pub fn report_period(&self, slot: usize, now: Instant) -> Duration {
        match self.lead(now) {
            None if self.has_just_started(now) => START_PERIOD.mul_f64(self.period_factor()),
            Some(lead) if lead == slot && self.has_watched(WATCH_TIME, now) => {
                START_PERIOD.mul_f64(self.period_factor())
            }
            lead => self.period_with_lead(slot, lead.unwrap_or(slot)),
        }
    }

    /// Returns whether the node began to report more often for a watched customer within the last `time`.
    fn has_watched(&self, time: Duration, now: Instant) -> bool {
        self.watched_at
            .is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Returns whether the node has not reported yet, or sent its first report less than [`START_TIME`] ago.
    fn has_just_started(&self, now: Instant) -> bool {
        self.first_report_at
            .is_none_or(|first| now.saturating_duration_since(first) < START_TIME)
    }

    /// Returns the period of the reports to the coordinator of rank `slot` if that of rank `lead` decides.
    fn period_with_lead(&self, slot: usize, lead: usize) -> Duration {
        let has_news = self.has_news.get(slot).is_some_and(|news| *news);
        let was_busy = self.was_busy.get(slot).is_some_and(|busy| *busy);
        let period = if slot != lead {
            STANDBY_PERIOD
        } else if has_news || was_busy {
            LEAD_PERIOD
        } else {
            QUIET_PERIOD
        };
        period.mul_f64(self.period_factor())
    }

    fn period_factor(&self) -> f64 {
        let factor = self.member_count as f64 / FREQUENT_MEMBER_MAX_COUNT as f64;
        factor.clamp(1.0, PERIOD_FACTOR_MAX)
    }

    /// Returns the next report to `coordinator`, which is of rank `slot`.
    pub fn report(&mut self, slot: usize, coordinator: &str, now: Instant) -> UsageReport {
        self.first_report_at.get_or_insert(now);
        let has_just_started = self.has_just_started(now);
        // Until the first answer the node reports more often than it states.
        let assumed_lead = if has_just_started { 0 } else { slot };
        let period = self.period_with_lead(slot, self.lead(now).unwrap_or(assumed_lead));
        let mut report = UsageReport {
            epoch: self.epoch,
            period_ms: period.as_millis() as u64,
            ..UsageReport::default()
        };
        self.feeds.retain(|_, feed| {
            now.saturating_duration_since(feed.acknowledged_at()) < FEED_RETENTION
        });
        if let Some(has_news) = self.has_news.get_mut(slot) {
            *has_news = false;
        }
        let totals = self.customers.values().map(|usage| Counted {
            code: usage.code,
            totals: usage.totals,
            debt_count: usage.bucket.debt_count(),
        });
        let known_totals = totals.clone().filter(|_| !has_just_started);
        self.feeds
            .entry(coordinator.to_owned())
            .or_insert_with(|| ReportFeed::new(self.last_sequence, known_totals, now))
            .fill(&mut report, totals, now);
        self.last_sequence = self.last_sequence.max(report.sequence);
        if let Some(was_busy) = self.was_busy.get_mut(slot) {
            *was_busy = report.is_busy();
        }
        report
    }

    /// Applies the answer to a report that was sent at `sent_at`.
    pub fn apply(
        &mut self,
        slot: usize,
        coordinator: &str,
        report: &UsageReport,
        answer: &UsageAnswer,
        sent_at: Instant,
        now: Instant,
    ) {
        if let Some(feed) = self.feeds.get_mut(coordinator) {
            feed.acknowledge(report.sequence, now);
        }
        if answer.watched && !self.has_watched(WATCH_EVERY, now) {
            self.watched_at = Some(now);
        }
        let period_factor = self.period_factor();
        let Some(slot) = self.answers.get_mut(slot) else {
            return;
        };
        if !answer.ready {
            slot.valid_until = None;
            return;
        }
        slot.valid_until = Some(sent_at + VALID_FOR.mul_f64(period_factor));
        slot.is_stale = false;
        self.isolated_since = None;
        slot.limited.clear();
        for limited in &answer.limited {
            slot.limited.insert(limited.0, Verdict::from(limited));
        }
    }

    /// Records that the coordinator of rank `slot` did not answer.
    pub fn record_failure(&mut self, slot: usize) {
        if let Some(slot) = self.answers.get_mut(slot) {
            slot.is_stale = true;
        }
    }

    /// Returns the rank of the coordinator whose answers are used, if any are valid.
    pub fn lead(&self, now: Instant) -> Option<usize> {
        let is_valid = |answer: &Answer| answer.valid_until.is_some_and(|until| until > now);
        self.answers
            .iter()
            .position(|answer| is_valid(answer) && !answer.is_stale)
            .or_else(|| self.answers.iter().position(is_valid))
    }

    /// Returns the number of customers that the used answer limits.
    pub fn limited_count(&self, now: Instant) -> usize {
        self.lead(now)
            .map_or(0, |lead| self.answers[lead].limited.len())
    }

    /// Returns which requests the node admits beyond its share while it has no coordinator.
    fn exception(&mut self, now: Instant) -> Exception {
        let since = *self.isolated_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= self.bounds.window {
            return Exception::InIsolation;
        }
        match self.has_just_started(now) {
            true => Exception::AtStart,
            false => Exception::Never,
        }
    }

    fn random_ratio(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random_state) as f64 / u64::MAX as f64
    }
}
