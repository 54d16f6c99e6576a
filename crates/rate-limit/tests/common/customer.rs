//! Demand of a customer, what became of it, and what is checked of that.

use std::time::Duration;

use figway_customers::CustomerLimit;
use figway_rate_limit::LimitBounds;

/// Demand of a customer and what became of it.
pub(crate) struct Customer {
    pub(crate) name: String,
    pub(crate) limit: Option<CustomerLimit>,
    /// Requests per second by time in seconds.
    pub(crate) demand: Box<dyn Fn(f64) -> f64>,
    /// Times of admitted requests in milliseconds.
    pub(crate) admitted_ms: Vec<u64>,
    /// Times of refused requests in milliseconds, with the time to come back and whether the node
    /// refused by its own share.
    pub(crate) refused: Vec<(u64, Duration, usize)>,
    pub(crate) arrived_ms: Vec<u64>,
    /// Number of nodes that its callers use.
    pub(crate) node_count: usize,
    /// Tokens that the callers have left if they keep the limit by themselves, and when they were counted.
    paced: Option<(f64, u64)>,
}

impl Customer {
    pub(crate) fn new(name: &str, rate_per_s: f64, demand: impl Fn(f64) -> f64 + 'static) -> Self {
        Self {
            name: name.to_owned(),
            limit: Some(CustomerLimit {
                rate_per_s,
                burst_count: rate_per_s,
            }),
            demand: Box::new(demand),
            admitted_ms: Vec::new(),
            refused: Vec::new(),
            arrived_ms: Vec::new(),
            node_count: usize::MAX,
            paced: None,
        }
    }

    /// Returns a customer with the limit whose callers never exceed it: of the demand, they send what the
    /// limit allows.
    pub(crate) fn paced(
        name: &str,
        limit: CustomerLimit,
        demand: impl Fn(f64) -> f64 + 'static,
    ) -> Self {
        let mut customer = Self::new(name, limit.rate_per_s, demand);
        customer.limit = Some(limit);
        customer.paced = Some((limit.burst_count, 0));
        customer
    }

    /// Returns whether a request that the demand yields is sent.
    pub(crate) fn sends(&mut self, now_ms: u64) -> bool {
        let (Some((tokens, counted_ms)), Some(limit)) = (&mut self.paced, self.limit) else {
            return true;
        };
        let added = (now_ms - *counted_ms) as f64 / 1_000.0 * limit.rate_per_s;
        *tokens = (*tokens + added).min(limit.burst_count);
        *counted_ms = now_ms;
        let is_sent = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(is_sent));
        is_sent
    }

    /// Returns how many requests arrived from one time to another.
    pub(crate) fn arrived_count(&self, from_ms: u64, to_ms: u64) -> usize {
        let times = &self.arrived_ms;
        times
            .iter()
            .filter(|at| (from_ms..to_ms).contains(*at))
            .count()
    }

    /// Returns how many requests were refused from one time to another although the customer was within
    /// its limit: a bucket of the rate and burst, fed with all arrivals from `from_ms` on, was not empty in
    /// the second before. Arrivals are random, so that they exceed the limit at times.
    pub(crate) fn refused_below_limit_count(&self, from_ms: u64, to_ms: u64) -> usize {
        let limit = self.limit.unwrap_or(CustomerLimit {
            rate_per_s: f64::INFINITY,
            burst_count: f64::INFINITY,
        });
        let mut empty_ms = Vec::new();
        let mut balance = limit.burst_count;
        let mut last_ms = from_ms;
        for at_ms in &self.arrived_ms {
            if !(from_ms..to_ms).contains(at_ms) {
                continue;
            }
            let elapsed_s = (at_ms - last_ms) as f64 / 1_000.0;
            balance = (balance + elapsed_s * limit.rate_per_s).min(limit.burst_count) - 1.0;
            last_ms = *at_ms;
            if balance < 0.0 {
                balance = 0.0;
                empty_ms.push(*at_ms);
            }
        }
        let mut count = 0;
        for (at_ms, ..) in &self.refused {
            if !(from_ms..to_ms).contains(at_ms) {
                continue;
            }
            let recent = at_ms.saturating_sub(1_000)..=*at_ms;
            count += usize::from(!empty_ms.iter().any(|empty| recent.contains(empty)));
        }
        count
    }

    /// Returns the most requests admitted in any 5 s that begin at `from_ms` or later.
    pub(crate) fn busiest_window_count(&self, from_ms: u64) -> usize {
        let times: Vec<u64> = self
            .admitted_ms
            .iter()
            .copied()
            .filter(|at| *at >= from_ms)
            .collect();
        let mut first = 0;
        let mut busiest = 0;
        for (index, at) in times.iter().enumerate() {
            while times[first] + 5_000 <= *at {
                first += 1;
            }
            busiest = busiest.max(index + 1 - first);
        }
        busiest
    }
}

/// Asserts that no window that begins at `from_ms` or later has more admitted requests than permitted.
pub(crate) fn assert_within(customer: &Customer, limit: &CustomerLimit, from_ms: u64, what: &str) {
    let permitted = LimitBounds::default().permitted_count(limit);
    let busiest = customer.busiest_window_count(from_ms);
    eprintln!(
        "{what}: {} busiest window {busiest} of {permitted}, arrived {} refused {}",
        customer.name,
        customer.arrived_ms.len(),
        customer.refused.len(),
    );
    assert!(
        busiest as f64 <= permitted,
        "{what}: {} had {busiest} requests in 5 s, {permitted} are permitted",
        customer.name
    );
}
