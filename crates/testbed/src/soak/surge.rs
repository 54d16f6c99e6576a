//! A customer that sends several times its limit, and what the others get meanwhile.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use super::customers::{
    LIMITED_CUSTOMER,
    LIMITED_KEY,
    RATE_PER_S, //
};
use super::{
    RandomSequence,
    Soak,
    HOST_COUNT,
    QUIET_PERIOD, //
};

/// What the customer sends, as a multiple of its limit.
const SURGE_FACTOR: f64 = 4.7;

/// Span of time over which its requests are summed.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);

/// Share and number of requests that may run beyond rate and burst, as settings of nodes have them.
const QUOTA_OVERRUN: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;

/// Share of the other customers' requests that are served while there are no faults.
const SERVED_RATIO_MIN: f64 = 0.9;

/// Time after the beginning of the quiet period from which on these requests count.
const QUIET_SETTLE: Duration = Duration::from_millis(1_000);

impl Soak {
    /// Sends requests of the limited customer at some hosts from a time that is drawn to the end.
    pub(super) async fn surge(self: Rc<Self>, seed: u64) {
        let Some(customers) = &self.customers else {
            return;
        };
        let mut random = RandomSequence(seed);
        tokio::time::sleep(Duration::from_millis(random.below(4_000))).await;
        let host_count = 1 + random.below(HOST_COUNT as u64) as usize;
        let first = random.below(HOST_COUNT as u64) as usize;
        let mut callers = Vec::new();
        for offset in 0..host_count {
            let index = (first + offset) % HOST_COUNT;
            let caller = self.site.borrow().caller(index).with_key(LIMITED_KEY);
            callers.push((index, Rc::new(caller)));
        }
        let period = Duration::from_secs_f64(1.0 / (RATE_PER_S * SURGE_FACTOR));
        let started_at = Instant::now();
        let mut calls = Vec::new();
        while Instant::now() < self.ends_at {
            let (index, caller) = &callers[calls.len() % host_count];
            let (index, caller) = (*index, Rc::clone(caller));
            calls.push(tokio::task::spawn_local(async move {
                (index, caller.call("GET", "/reads/1").await)
            }));
            tokio::time::sleep_until((started_at + period * calls.len() as u32).into()).await;
        }
        for call in calls {
            let Ok((index, result)) = call.await else {
                self.record_violation("a call of the limited customer panicked".to_owned());
                continue;
            };
            let mut limited_ids = customers.limited_ids.borrow_mut();
            limited_ids.insert(result.id.clone());
            self.results.borrow_mut().push((index, false, result));
        }
    }

    /// Checks that the customer stays within its limit.
    pub(super) fn check_limit(&self) {
        let mut started_at: BTreeMap<String, Instant> = BTreeMap::new();
        for host in &self.site.borrow().hosts {
            for run in host.backend.runs() {
                if run.headers.get("x-figway-tenant") != Some(LIMITED_CUSTOMER) {
                    continue;
                }
                let first = started_at.entry(run.id).or_insert(run.started_at);
                *first = run.started_at.min(*first);
            }
        }
        let mut starts: Vec<Instant> = started_at.into_values().collect();
        starts.sort();
        let mut busiest_count = 0;
        for (index, end) in starts.iter().enumerate() {
            let first = starts.partition_point(|start| *start + QUOTA_WINDOW <= *end);
            busiest_count = busiest_count.max(index + 1 - first);
        }
        let granted = RATE_PER_S * QUOTA_WINDOW.as_secs_f64() + RATE_PER_S;
        let permitted = granted * (1.0 + QUOTA_OVERRUN) + QUOTA_SLACK;
        if busiest_count as f64 > permitted {
            self.record_violation(format!(
                "{busiest_count} requests of the limited customer ran in {QUOTA_WINDOW:?}, \
                 permitted {permitted}"
            ));
        }
    }

    /// Checks that requests of customers without a limit are never limited, and are served while there are
    /// no faults.
    pub(super) fn check_unlimited(&self) {
        let Some(customers) = &self.customers else {
            return;
        };
        let limited_ids = customers.limited_ids.borrow();
        let quiet_from = self.ends_at - QUIET_PERIOD + QUIET_SETTLE;
        let (mut quiet_count, mut served_count) = (0_u32, 0_u32);
        for (_, _, call) in self.results.borrow().iter() {
            if limited_ids.contains(&call.id) {
                continue;
            }
            if call.status == 429 {
                self.record_violation(format!("request {} was limited", call.id));
            }
            if call.sent_at >= quiet_from {
                quiet_count += 1;
                served_count += u32::from(call.status == 200);
            }
        }
        if f64::from(served_count) < f64::from(quiet_count) * SERVED_RATIO_MIN {
            self.record_violation(format!(
                "{served_count} of {quiet_count} requests of others were served beside the surge"
            ));
        }
    }
}
