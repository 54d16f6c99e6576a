//! Validated profile; the `check` module parses it from YAML.

use std::collections::BTreeMap;

/// One named set of routing, draining and limit settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Profile {
    /// Subsets of a service's targets by label; `all` always exists.
    pub subsets: BTreeMap<String, Subset>,
    /// Request kinds in the order in which they are matched.
    pub kinds: Vec<RequestKind>,
    /// How a leaving target is drained.
    pub draining: Draining,
    /// Limits of the services that follow the profile.
    pub limits: Limits,
}

/// Targets of a service that have all of the given labels.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// Labels that a target must have.
    pub labels: BTreeMap<String, String>,
}

/// Kind of request: how it is matched, where it is routed and what it is worth.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestKind {
    /// Name in logs, metrics and reports.
    pub name: String,
    /// HTTP method to match; any if absent.
    pub method: Option<String>,
    /// Path prefix to match.
    pub path_prefix: String,
    /// Service that runs the requests; the called service if absent.
    pub service: Option<String>,
    /// Subset of the service's targets that runs the requests.
    pub subset: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Header that carries the caller's idempotency key, for requests that are not idempotent.
    pub key_header: String,
    /// Worth of serving one request.
    pub worth: f64,
    /// Time budget of a call, in milliseconds; converted to a deadline when the call arrives.
    pub budget_ms: u64,
    /// Whether requests of the kind are long-running; these may not occupy all slots.
    pub long: bool,
}

/// How a leaving target is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draining {
    /// Time allowed for calls in flight to finish, in milliseconds.
    pub grace_ms: u64,
}

impl Default for Draining {
    fn default() -> Self {
        Self { grace_ms: 10_000 }
    }
}

/// Limits of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Queue limit at a target's node, in calls per slot.
    pub queue_per_slot_ratio: f64,
    /// Fraction of slots reserved for short kinds; long kinds can't occupy them.
    pub short_share_ratio: f64,
    /// Limit of retries and hedges, as a fraction of recent calls.
    pub retry_budget_ratio: f64,
    /// Quantile of a kind's latency after which an idempotent call is hedged; 0 disables hedging.
    pub hedge_quantile_ratio: f64,
    /// Number of a service's targets to which one node sends its calls; 0 for all.
    pub share_target_count: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue_per_slot_ratio: 4.0,
            short_share_ratio: 0.25,
            retry_budget_ratio: 0.1,
            hedge_quantile_ratio: 0.95,
            share_target_count: 32,
        }
    }
}

impl Profile {
    /// Returns the first kind that matches `method` and `path`.
    pub fn kind_of(&self, method: &str, path: &str) -> Option<&RequestKind> {
        for kind in &self.kinds {
            if kind
                .method
                .as_deref()
                .is_some_and(|expected| expected != method)
            {
                continue;
            }
            if path.starts_with(kind.path_prefix.as_str()) {
                return Some(kind);
            }
        }
        None
    }
}
