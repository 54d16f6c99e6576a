//! A profile after its check; `check` reads it from YAML.

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

/// Targets that carry all of these labels.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// Labels that a target must carry.
    pub labels: BTreeMap<String, String>,
}

/// One kind of request: how it is recognised, where it goes and what it is worth.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestKind {
    /// Name in logs, metrics and reports.
    pub name: String,
    /// HTTP method; any when absent.
    pub method: Option<String>,
    /// Start of the path.
    pub path_prefix: String,
    /// Service that runs the kind; the service that was called when absent.
    pub service: Option<String>,
    /// Subset of the service's targets.
    pub subset: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Header that carries the caller's key of a request that is not idempotent.
    pub key_header: String,
    /// Worth of one served request.
    pub worth: f64,
    /// Time that a call may take, in milliseconds; becomes a deadline when the call arrives.
    pub budget_ms: u64,
    /// Whether the kind is long work, which may not take all slots.
    pub long: bool,
}

/// How a leaving target is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draining {
    /// Time for the calls in flight to finish, in milliseconds.
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
    /// Waiting calls per slot at a target's node.
    pub queue_per_slot_ratio: f64,
    /// Share of slots that short kinds keep from long ones.
    pub short_share_ratio: f64,
    /// Retries and hedges as a share of recent calls.
    pub retry_budget_ratio: f64,
    /// Quantile of a kind's latency after which an idempotent call is hedged; 0 for never.
    pub hedge_quantile_ratio: f64,
    /// Targets of a service that one node keeps to; 0 for all.
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
    /// Returns the first kind that matches.
    pub fn kind_of(&self, method: &str, path: &str) -> Option<&RequestKind> {
        for kind in &self.kinds {
            if kind
                .method
                .as_deref()
                .is_some_and(|wanted| wanted != method)
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
