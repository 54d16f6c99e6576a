//! Customers of a soak, and keys that the operator removes while nodes are cut off from the store.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use serde_json::{
    json,
    Value, //
};

use crate::site::caller::CallResult;
use crate::site::config;

use super::{
    RandomSequence,
    Soak,
    HOST_COUNT, //
};

/// Key that stays valid, of a customer without a limit.
pub(super) const KEPT_KEY: &str = "key-that-is-kept";

/// Customer with a limit, and its key.
pub(super) const LIMITED_CUSTOMER: &str = "over";
pub(super) const LIMITED_KEY: &str = "key-with-a-limit";

/// Limit of [`LIMITED_CUSTOMER`].
pub(super) const RATE_PER_S: f64 = 40.0;

/// Time after the acknowledgement of a version within which it is in force on all nodes that reach the store.
pub(super) const APPLY_MAX: Duration = Duration::from_secs(3);

/// Number of keys that are removed one after the other.
const REMOVED_KEY_COUNT: usize = 3;

/// Pause between two requests of the callers with these keys at one host.
const KEYED_CALL_PAUSE: Duration = Duration::from_millis(15);

/// Customers of the configuration. The keys of one of them are removed in turn.
#[derive(Default)]
pub(super) struct Customers {
    /// When the store acknowledged the removal of each key that is gone.
    removed_at: RefCell<Vec<Instant>>,
    /// IDs of the requests of the customer with a limit.
    pub(super) limited_ids: RefCell<BTreeSet<String>>,
    /// Number of the key of each call, and its result.
    keyed_calls: RefCell<Vec<(usize, CallResult)>>,
}

impl Customers {
    /// Returns the configuration with the keys that are valid now.
    pub(super) fn config(&self, version: u32, reads_prefix: &str) -> Value {
        let removed_count = self.removed_at.borrow().len();
        let keys: Vec<String> = (removed_count..REMOVED_KEY_COUNT).map(key).collect();
        let mut config = config(version, reads_prefix);
        config["tenants"] = json!({
            "ann": {"apiKeys": [KEPT_KEY]},
            "bob": {"apiKeys": keys},
            LIMITED_CUSTOMER: {
                "apiKeys": [LIMITED_KEY], "ratePerS": RATE_PER_S, "burstSize": RATE_PER_S,
            },
        });
        config
    }
}

fn key(number: usize) -> String {
    format!("key-that-is-removed-{number}")
}

impl Soak {
    /// Removes one key after the other while some nodes do not reach the store.
    pub(super) async fn revoke_keys(self: Rc<Self>, seed: u64) {
        let Some(customers) = &self.customers else {
            return;
        };
        let mut random = RandomSequence(seed);
        for _ in 0..REMOVED_KEY_COUNT {
            if Instant::now() > self.last_fault_at() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(500 + random.below(1_500))).await;
            let cut: BTreeSet<usize> = (0..random.below(HOST_COUNT as u64))
                .map(|_| random.below(HOST_COUNT as u64) as usize)
                .collect();
            for index in &cut {
                self.cut_store(*index, true);
            }
            tokio::time::sleep(Duration::from_millis(random.below(1_000))).await;
            let now = Instant::now();
            customers.removed_at.borrow_mut().push(now);
            self.publish();
            tokio::time::sleep(Duration::from_millis(random.below(5_000))).await;
            for index in &cut {
                self.cut_store(*index, false);
            }
        }
    }

    /// Sends reads and orders with each of the keys at the host at `index`, also after the key was removed.
    pub(super) async fn run_keyed_callers(self: Rc<Self>, index: usize) {
        let Some(customers) = &self.customers else {
            return;
        };
        let callers: Vec<_> = (0..REMOVED_KEY_COUNT)
            .map(|number| self.site.borrow().caller(index).with_key(&key(number)))
            .collect();
        while Instant::now() < self.ends_at {
            for (number, caller) in callers.iter().enumerate() {
                for is_order in [false, true] {
                    let result = if is_order {
                        caller.call("POST", "/orders/1").await
                    } else {
                        caller.call("GET", "/reads/1").await
                    };
                    let removed_at = customers.removed_at.borrow().get(number).copied();
                    if result.status != 401 || removed_at.is_none() {
                        let mut results = self.results.borrow_mut();
                        results.push((index, is_order, result.clone()));
                    }
                    customers.keyed_calls.borrow_mut().push((number, result));
                    tokio::time::sleep(KEYED_CALL_PAUSE).await;
                }
            }
        }
    }

    /// Checks that no request ran that was sent with a key after its removal was in force.
    pub(super) fn check_customers(&self) {
        let Some(customers) = &self.customers else {
            return;
        };
        self.check_limit();
        self.check_unlimited();
        let runs: BTreeSet<String> = self.run_ids();
        let removed_at = customers.removed_at.borrow();
        for (number, call) in customers.keyed_calls.borrow().iter() {
            let Some(removed_at) = removed_at.get(*number) else {
                continue;
            };
            let in_force_at = self.in_force_at(*removed_at);
            if call.sent_at > in_force_at && runs.contains(&call.id) {
                self.record_violation(format!(
                    "request {} ran with a key that was removed {} ms before it was sent",
                    call.id,
                    (call.sent_at - *removed_at).as_millis()
                ));
            }
        }
    }

    /// Returns when a version that the store acknowledged at `acknowledged_at` is in force. Nobody can read
    /// it while the store is down.
    fn in_force_at(&self, acknowledged_at: Instant) -> Instant {
        let mut in_force_at = acknowledged_at + APPLY_MAX;
        let mut outages = self.store_outages.borrow().clone();
        outages.sort();
        for (began_at, ended_at) in outages {
            if began_at < in_force_at && ended_at > acknowledged_at {
                in_force_at = in_force_at.max(ended_at + APPLY_MAX);
            }
        }
        in_force_at
    }

    fn run_ids(&self) -> BTreeSet<String> {
        let mut ids = BTreeSet::new();
        for host in &self.site.borrow().hosts {
            ids.extend(host.backend.runs().into_iter().map(|run| run.id));
        }
        ids
    }
}
