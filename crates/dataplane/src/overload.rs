//! State by which a node refuses calls to overloaded services, for route tables that call for it.

use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    CustomerThrottle,
    ShareHolder,
    Shares, //
};
use figway_profile::RouteIndex;
use figway_types::FastMap;

/// Calls that are let through to a service for each one that its targets accepted. The rest keeps targets
/// busy and finds out when there is room again.
const SERVICE_HEADROOM_RATIO: f64 = 1.5;

/// Count of recent refusals of small requests up to which none is refused here. Single refusals also come
/// from targets that are full by chance while others have room.
const IGNORED_REFUSAL_COUNT: f64 = 2.0;

/// Calls that are let through to the local target for each one whose nested calls were served. It is
/// less, since a call whose nested calls are refused has held a slot for nothing.
const NESTED_HEADROOM_RATIO: f64 = 1.25;

/// Weight of a new report in the mean load of a service.
const BUSY_WEIGHT: f64 = 0.1;

/// Load of a service that is assumed until a target reports one.
const UNKNOWN_BUSY_RATIO: f64 = 0.0;

/// Calls to a service that are refused for the same reasons. A large body may be refused since the link
/// is full, which says nothing about the room for small requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CallClass {
    pub(crate) rank: u32,
    pub(crate) has_large_body: bool,
}

impl CallClass {
    /// Creates the throttle of the class. A large body is refused since a link is full, which each refusal
    /// shows.
    fn new_throttle(self, now: Instant) -> CustomerThrottle {
        let ignored_count = if self.has_large_body {
            0.0
        } else {
            IGNORED_REFUSAL_COUNT
        };
        CustomerThrottle::new(SERVICE_HEADROOM_RATIO, ignored_count, now)
    }
}

/// Outcomes of calls to one service.
#[derive(Default)]
struct ServiceState {
    throttles: FastMap<CallClass, CustomerThrottle>,
    /// Moving average of the calls per slot that targets report.
    busy_ratio: Option<f64>,
}

#[derive(Default)]
struct Inner {
    services: FastMap<String, ServiceState>,
    /// Throttles of the local target, by kind.
    nested: FastMap<String, CustomerThrottle>,
    /// Shares of the customers in the queue of the local target, by rank.
    queue: FastMap<u32, Shares>,
}

/// Throttles of the calls of this node, and of the calls that the local target runs.
#[derive(Default)]
pub(crate) struct OverloadState {
    inner: Mutex<Inner>,
}

impl OverloadState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// Decides whether a call to `service` is let through, with a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// When a refused caller should come back.
    pub(crate) fn try_call(
        &self,
        service: &str,
        class: CallClass,
        holder: Option<ShareHolder<'_>>,
        random_ratio: f64,
    ) -> Result<(), Duration> {
        let now = Instant::now();
        let mut inner = self.lock();
        let Some(throttle) = inner.throttle(service, class) else {
            return Ok(());
        };
        throttle.try_call(holder, random_ratio, now)
    }

    /// Records whether targets of `service` accepted a call that was let through.
    pub(crate) fn record_call(
        &self,
        service: &str,
        class: CallClass,
        holder: Option<ShareHolder<'_>>,
        accepted: bool,
    ) {
        let now = Instant::now();
        let mut inner = self.lock();
        if !inner.services.contains_key(service) {
            inner
                .services
                .insert(service.to_owned(), ServiceState::default());
        }
        let state = inner.services.get_mut(service).expect("was just inserted");
        state
            .throttles
            .entry(class)
            .or_insert_with(|| class.new_throttle(now))
            .record(holder, accepted, now);
    }

    /// Returns the time after which a caller should try again whose call targets of `service` refused.
    pub(crate) fn retry_after(
        &self,
        service: &str,
        class: CallClass,
        random_ratio: f64,
    ) -> Option<Duration> {
        let mut inner = self.lock();
        let throttle = inner.throttle(service, class)?;
        Some(throttle.retry_after(random_ratio, Instant::now()))
    }

    /// Records the calls per slot that a target of `service` reports.
    pub(crate) fn record_busy(&self, service: &str, busy_ratio: f64) {
        let mut inner = self.lock();
        let Some(state) = inner.services.get_mut(service) else {
            return;
        };
        let mean = state.busy_ratio.get_or_insert(busy_ratio);
        *mean += BUSY_WEIGHT * (busy_ratio - *mean);
    }

    /// Returns the mean of the calls per slot that targets of `service` reported.
    pub(crate) fn busy_ratio(&self, service: &str) -> f64 {
        let inner = self.lock();
        let state = inner.services.get(service);
        state
            .and_then(|state| state.busy_ratio)
            .unwrap_or(UNKNOWN_BUSY_RATIO)
    }

    /// Decides whether the local target may run a call of `kind`, by whether the nested calls of
    /// earlier ones were served.
    pub(crate) fn may_run(
        &self,
        kind: &str,
        holder: Option<ShareHolder<'_>>,
        random_ratio: f64,
    ) -> bool {
        let now = Instant::now();
        let mut inner = self.lock();
        let Some(throttle) = inner.nested.get_mut(kind) else {
            return true;
        };
        throttle.try_call(holder, random_ratio, now).is_ok()
    }

    /// Records whether the nested calls of a call that the local target ran were served.
    pub(crate) fn record_run(
        &self,
        kind: &str,
        holder: Option<ShareHolder<'_>>,
        nested_served: bool,
    ) {
        let now = Instant::now();
        let mut inner = self.lock();
        match inner.nested.get_mut(kind) {
            Some(throttle) => throttle.record(holder, nested_served, now),
            None if nested_served => {}
            None => {
                let mut throttle = CustomerThrottle::new(NESTED_HEADROOM_RATIO, 0.0, now);
                throttle.record(holder, false, now);
                inner.nested.insert(kind.to_owned(), throttle);
            }
        }
    }

    /// Returns whether the local target served `holder` its share of the calls of `rank`.
    pub(crate) fn is_above_share(&self, rank: u32, holder: ShareHolder<'_>) -> bool {
        let inner = self.lock();
        let shares = inner.queue.get(&rank);
        shares.is_some_and(|shares| shares.is_above(holder, Instant::now()))
    }

    /// Records whether a call of `rank` got a slot of the local target.
    pub(crate) fn record_entry(&self, rank: u32, holder: ShareHolder<'_>, entered: bool) {
        let now = Instant::now();
        let mut inner = self.lock();
        let shares = inner.queue.entry(rank).or_insert_with(|| Shares::new(now));
        shares.record(holder, entered, now);
    }
}

/// Returns the customer for whose share of a service calls count, if `routes` hold customers. All calls
/// without a customer count for one that has no name.
pub(crate) fn share_holder<'a>(
    routes: &RouteIndex,
    customer: Option<&'a str>,
) -> Option<ShareHolder<'a>> {
    let customers = routes.customers.as_deref()?;
    Some(ShareHolder {
        name: customer.unwrap_or(""),
        weight: customers.weight(customer),
    })
}

impl Inner {
    fn throttle(&mut self, service: &str, class: CallClass) -> Option<&mut CustomerThrottle> {
        self.services.get_mut(service)?.throttles.get_mut(&class)
    }
}
