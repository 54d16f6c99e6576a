//! Retry budgets by service and latency quantiles by request kind.

use std::sync::Mutex;
use std::time::Duration;

use figway_admission::RetryBudget;
use figway_profile::Limits;
use figway_routing::LatencyQuantile;
use figway_types::FastMap;

/// Retries that a node may make in a burst where the mesh has no common allowance.
const BURST_COUNT: f64 = 10.0;

#[derive(Default)]
struct Books {
    budgets: FastMap<String, RetryBudget>,
    quantiles: FastMap<String, FastMap<String, LatencyQuantile>>,
}

/// What limits and times retries and hedges.
#[derive(Default)]
pub(crate) struct RetryState {
    books: Mutex<Books>,
    /// Retries that all nodes together may make in a burst, for each service.
    shared_burst_count: Option<f64>,
}

impl RetryState {
    /// Starts empty. All nodes together make at most `shared_burst_count` retries beyond the ratio.
    pub(crate) fn new(shared_burst_count: Option<f64>) -> Self {
        Self {
            books: Mutex::default(),
            shared_burst_count,
        }
    }

    /// Notes the first attempt of a call; `node_count` nodes share the burst.
    pub(crate) fn deposit(&self, service: &str, limits: &Limits, node_count: usize) {
        let burst_count = match self.shared_burst_count {
            Some(shared) => shared / node_count.max(1) as f64,
            None => BURST_COUNT,
        };
        let mut books = self.books.lock().expect("no holder panics");
        if !books.budgets.contains_key(service) {
            let mut budget = RetryBudget::new(limits.retry_budget_ratio, burst_count);
            if self.shared_burst_count.is_some() {
                budget = budget.without_burst();
            }
            books.budgets.insert(service.to_owned(), budget);
        }
        let budget = books.budgets.get_mut(service).expect("was just made");
        budget.set_limits(limits.retry_budget_ratio, burst_count.max(1.0));
        budget.deposit();
    }

    /// Notes that a target refused a call for overload.
    pub(crate) fn note_overload(&self, service: &str) {
        let mut books = self.books.lock().expect("no holder panics");
        if let Some(budget) = books.budgets.get_mut(service) {
            budget.note_overload();
        }
    }

    /// Notes a call that a repeated run made.
    pub(crate) fn charge(&self, service: &str) {
        let mut books = self.books.lock().expect("no holder panics");
        if let Some(budget) = books.budgets.get_mut(service) {
            budget.charge();
        }
    }

    /// Gives back what a retry had paid that did not reach a target.
    pub(crate) fn refund(&self, service: &str) {
        let mut books = self.books.lock().expect("no holder panics");
        if let Some(budget) = books.budgets.get_mut(service) {
            budget.refund();
        }
    }

    /// Pays for one retry or hedge, if the budget allows it.
    pub(crate) fn try_withdraw(&self, service: &str) -> bool {
        let mut books = self.books.lock().expect("no holder panics");
        match books.budgets.get_mut(service) {
            Some(budget) => budget.try_withdraw(),
            None => false,
        }
    }

    /// Takes in the latency of an answer.
    pub(crate) fn note_latency(&self, service: &str, kind: &str, limits: &Limits, took: Duration) {
        let quantile_ratio = limits.hedge_quantile_ratio;
        if quantile_ratio <= 0.0 {
            return;
        }
        let mut books = self.books.lock().expect("no holder panics");
        if !books.quantiles.contains_key(service) {
            books
                .quantiles
                .insert(service.to_owned(), FastMap::default());
        }
        let kinds = books.quantiles.get_mut(service).expect("was just made");
        match kinds.get_mut(kind) {
            Some(quantile) if quantile.quantile_ratio() == quantile_ratio => quantile.note(took),
            _ => {
                let mut quantile = LatencyQuantile::new(quantile_ratio);
                quantile.note(took);
                kinds.insert(kind.to_owned(), quantile);
            }
        }
    }

    /// Returns the latency after which a call of the kind is hedged.
    pub(crate) fn hedge_delay(&self, service: &str, kind: &str) -> Option<Duration> {
        let books = self.books.lock().expect("no holder panics");
        books.quantiles.get(service)?.get(kind)?.estimate()
    }
}
