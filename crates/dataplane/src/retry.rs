//! Retry budgets by service and latency quantiles by request kind.

use std::sync::Mutex;
use std::time::Duration;

use figway_admission::RetryBudget;
use figway_profile::Limits;
use figway_routing::LatencyQuantile;
use figway_types::FastMap;

#[derive(Default)]
struct Books {
    budgets: FastMap<String, RetryBudget>,
    quantiles: FastMap<String, FastMap<String, LatencyQuantile>>,
}

/// What limits and times retries and hedges.
#[derive(Default)]
pub(crate) struct RetryBook {
    books: Mutex<Books>,
}

impl RetryBook {
    /// Notes the first attempt of a call.
    pub(crate) fn deposit(&self, service: &str, limits: &Limits) {
        self.with_budget(service, limits, RetryBudget::deposit);
    }

    /// Notes that a target refused a call for overload.
    pub(crate) fn note_overload(&self, service: &str, limits: &Limits) {
        self.with_budget(service, limits, RetryBudget::note_overload);
    }

    /// Pays for one retry or hedge, if the budget allows it.
    pub(crate) fn try_withdraw(&self, service: &str, limits: &Limits) -> bool {
        self.with_budget(service, limits, RetryBudget::try_withdraw)
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
    pub(crate) fn hedge_after(&self, service: &str, kind: &str) -> Option<Duration> {
        let books = self.books.lock().expect("no holder panics");
        books.quantiles.get(service)?.get(kind)?.estimate()
    }

    fn with_budget<T>(
        &self,
        service: &str,
        limits: &Limits,
        use_budget: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut books = self.books.lock().expect("no holder panics");
        if !books.budgets.contains_key(service) {
            let budget = RetryBudget::new(limits.retry_budget_ratio);
            books.budgets.insert(service.to_owned(), budget);
        }
        let budget = books.budgets.get_mut(service).expect("was just made");
        budget.set_ratio(limits.retry_budget_ratio);
        use_budget(budget)
    }
}
