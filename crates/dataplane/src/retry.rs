//! Retry budgets by service and hedge delays by request kind.

use std::sync::Mutex;
use std::time::Duration;

use figway_admission::RetryBudget;
use figway_profile::Limits;
use figway_routing::LatencyQuantile;
use figway_types::FastMap;

/// Retries that a node may make in a burst if the nodes of the mesh share no burst.
const BURST_COUNT: f64 = 10.0;

#[derive(Default)]
struct Inner {
    budgets: FastMap<String, RetryBudget>,
    /// Latency quantiles by service and request kind.
    quantiles: FastMap<String, FastMap<String, LatencyQuantile>>,
}

/// Limits retries and hedges by budgets, and times hedges by latency quantiles.
#[derive(Default)]
pub(crate) struct RetryState {
    inner: Mutex<Inner>,
    /// Retries that all nodes together may make in a burst, per service.
    shared_burst_count: Option<f64>,
}

impl RetryState {
    /// Creates empty state. All nodes together make at most `shared_burst_count` retries per
    /// service beyond the budget's ratio. With `None`, each node has a burst of its own.
    pub(crate) fn new(shared_burst_count: Option<f64>) -> Self {
        Self {
            inner: Mutex::default(),
            shared_burst_count,
        }
    }

    /// Deposits tokens into the service's retry budget for a new call. A shared burst is
    /// divided by `node_count`.
    pub(crate) fn deposit(&self, service: &str, limits: &Limits, node_count: usize) {
        let burst_count = match self.shared_burst_count {
            Some(shared) => shared / node_count.max(1) as f64,
            None => BURST_COUNT,
        };
        let mut inner = self.inner.lock().expect("no holder panics");
        if !inner.budgets.contains_key(service) {
            let mut budget = RetryBudget::new(limits.retry_budget_ratio, burst_count);
            if self.shared_burst_count.is_some() {
                budget = budget.without_burst();
            }
            inner.budgets.insert(service.to_owned(), budget);
        }
        let budget = inner.budgets.get_mut(service).expect("was just inserted");
        budget.set_limits(limits.retry_budget_ratio, burst_count.max(1.0));
        budget.deposit();
    }

    /// Records that a target refused a call because of overload, which shrinks the budget.
    pub(crate) fn record_overload(&self, service: &str) {
        let mut inner = self.inner.lock().expect("no holder panics");
        if let Some(budget) = inner.budgets.get_mut(service) {
            budget.record_overload();
        }
    }

    /// Withdraws a token for a call that is nested in a retry or hedge, even if the budget does not
    /// allow it.
    pub(crate) fn charge(&self, service: &str) {
        let mut inner = self.inner.lock().expect("no holder panics");
        if let Some(budget) = inner.budgets.get_mut(service) {
            budget.charge();
        }
    }

    /// Puts back the token of a retry or hedge that did not reach a target.
    pub(crate) fn refund(&self, service: &str) {
        let mut inner = self.inner.lock().expect("no holder panics");
        if let Some(budget) = inner.budgets.get_mut(service) {
            budget.refund();
        }
    }

    /// Withdraws a token for one retry or hedge. Returns false if the budget does not allow it.
    pub(crate) fn try_withdraw(&self, service: &str) -> bool {
        let mut inner = self.inner.lock().expect("no holder panics");
        match inner.budgets.get_mut(service) {
            Some(budget) => budget.try_withdraw(),
            None => false,
        }
    }

    /// Records the latency of a successful answer. Does nothing if the profile turns latency hedges
    /// off with a quantile of 0.
    pub(crate) fn record_latency(
        &self,
        service: &str,
        kind: &str,
        limits: &Limits,
        took: Duration,
    ) {
        let quantile_ratio = limits.hedge_quantile_ratio;
        if quantile_ratio <= 0.0 {
            return;
        }
        let mut inner = self.inner.lock().expect("no holder panics");
        if !inner.quantiles.contains_key(service) {
            inner
                .quantiles
                .insert(service.to_owned(), FastMap::default());
        }
        let kinds = inner.quantiles.get_mut(service).expect("was just inserted");
        match kinds.get_mut(kind) {
            Some(quantile) if quantile.quantile_ratio() == quantile_ratio => quantile.record(took),
            _ => {
                let mut quantile = LatencyQuantile::new(quantile_ratio);
                quantile.record(took);
                kinds.insert(kind.to_owned(), quantile);
            }
        }
    }

    /// Returns the latency after which a call of the request kind is hedged, if there is an
    /// estimate.
    pub(crate) fn hedge_delay(&self, service: &str, kind: &str) -> Option<Duration> {
        let inner = self.inner.lock().expect("no holder panics");
        inner.quantiles.get(service)?.get(kind)?.estimate()
    }
}
