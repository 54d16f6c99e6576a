//! Table of routes by host and path prefix, as the platform's operator keeps it beside the profiles.
//!
//! A table is replaced whole. Its version only grows; nodes tell each other the difference of two
//! consecutive versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_types::{
    FastMap,
    Offset, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host that the caller names, without a port.
    pub host: String,
    /// Start of the path.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time that a request may take, in milliseconds; becomes a deadline when it arrives.
    pub budget_ms: u64,
    /// Time within which an answer has its full worth, in milliseconds; likewise.
    pub prompt_ms: u64,
    /// Rank among routes, 0 is served first.
    pub priority: u32,
    /// Targets to which one request may be sent.
    pub attempt_max_count: u32,
    /// Services that share the requests.
    #[serde(rename = "parts")]
    pub weighted_services: Vec<WeightedService>,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share, relative to the other parts.
    pub weight: u32,
}

/// What the operator says of a service's targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLimits {
    /// Connections that one target accepts.
    pub connection_max_count: u32,
}

/// Limits of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_max_bytes: u64,
    /// Largest request body.
    pub body_max_bytes: u64,
    /// Time for a request to come in, in milliseconds.
    pub request_max_ms: u64,
    /// Idle time after which a connection is closed, in milliseconds.
    pub idle_max_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_max_bytes: 64 * 1_024,
            body_max_bytes: 1_024 * 1_024,
            request_max_ms: 30_000,
            idle_max_ms: 60_000,
        }
    }
}

/// One version of the routes, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version, 0 for none yet; grows in steps of any size.
    pub version: u64,
    /// Record of the operator's stream that holds it.
    pub source_offset: Offset,
    /// Routes by name.
    pub routes: BTreeMap<String, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, TargetLimits>,
    /// Limits of callers' connections.
    pub caller_limits: CallerLimits,
}

/// Difference of two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteChange {
    /// Version that it changes.
    pub base_version: u64,
    /// Version that it leads to.
    pub version: u64,
    /// Record of the operator's stream that holds the later version.
    pub source_offset: Offset,
    /// Routes that are new or other than before.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub changed: BTreeMap<String, Arc<Route>>,
    /// Names of routes that are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
    /// All services, if any changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<BTreeMap<String, TargetLimits>>,
    /// Limits of callers' connections, if they changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
}

impl RouteTable {
    /// Returns what changed since `earlier`.
    pub fn change_since(&self, earlier: &RouteTable) -> RouteChange {
        let mut changed = BTreeMap::new();
        for (name, route) in &self.routes {
            if earlier.routes.get(name) != Some(route) {
                changed.insert(name.clone(), Arc::clone(route));
            }
        }
        let mut removed = Vec::new();
        for name in earlier.routes.keys() {
            if !self.routes.contains_key(name) {
                removed.push(name.clone());
            }
        }
        let services = (self.services != earlier.services).then(|| self.services.clone());
        let limits_changed = self.caller_limits != earlier.caller_limits;
        RouteChange {
            base_version: earlier.version,
            version: self.version,
            source_offset: self.source_offset,
            changed,
            removed,
            services,
            caller_limits: limits_changed.then_some(self.caller_limits),
        }
    }

    /// Returns the version that `change` leads to, if it starts from this one.
    pub fn apply(&self, change: &RouteChange) -> Option<RouteTable> {
        if change.base_version != self.version || change.version <= self.version {
            return None;
        }
        let mut next = self.clone();
        next.version = change.version;
        next.source_offset = change.source_offset;
        for name in &change.removed {
            next.routes.remove(name);
        }
        for (name, route) in &change.changed {
            next.routes.insert(name.clone(), Arc::clone(route));
        }
        if let Some(services) = &change.services {
            next.services.clone_from(services);
        }
        if let Some(caller_limits) = change.caller_limits {
            next.caller_limits = caller_limits;
        }
        Some(next)
    }
}

/// A route with its name, ready to be looked up.
#[derive(Clone, Debug)]
pub struct NamedRoute {
    /// Name.
    pub name: String,
    /// The route.
    pub route: Arc<Route>,
}

/// Routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: FastMap<String, Arc<NamedRoute>>,
    /// Lengths of the prefixes, longest first, each once.
    prefix_lens: Vec<usize>,
}

/// Routes by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// Version of the table.
    pub version: u64,
    /// Limits of callers' connections.
    pub caller_limits: CallerLimits,
    hosts: FastMap<String, HostRoutes>,
}

impl RouteIndex {
    /// Sorts the routes of a table. Of two routes with one host and prefix the first by name counts.
    pub fn new(table: &RouteTable) -> Self {
        let mut hosts: FastMap<String, HostRoutes> = FastMap::default();
        for (name, route) in &table.routes {
            let named = NamedRoute {
                name: name.clone(),
                route: Arc::clone(route),
            };
            let host = hosts.entry(route.host.clone()).or_default();
            host.prefix_lens.push(route.path_prefix.len());
            host.by_prefix
                .entry(route.path_prefix.clone())
                .or_insert_with(|| Arc::new(named));
        }
        for host in hosts.values_mut() {
            host.prefix_lens.sort_unstable_by(|a, b| b.cmp(a));
            host.prefix_lens.dedup();
        }
        Self {
            version: table.version,
            caller_limits: table.caller_limits,
            hosts,
        }
    }

    /// Returns the route of the longest prefix that begins `path`, which may bear a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<NamedRoute>> {
        let path = path.split('?').next().unwrap_or(path);
        let host = self.hosts.get(host)?;
        for prefix_len in &host.prefix_lens {
            let Some(prefix) = path.get(..*prefix_len) else {
                continue;
            };
            if let Some(named) = host.by_prefix.get(prefix) {
                return Some(named);
            }
        }
        None
    }
}
