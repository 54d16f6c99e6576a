//! Table of routes by host and path prefix, which the platform's operator maintains separately from
//! the profiles.
//!
//! A new version replaces the whole table, and versions only increase. Nodes send each other the
//! difference between two consecutive versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_customers::{
    Customer,
    CustomerIndex, //
};
use figway_types::{
    FastMap,
    Offset, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Route of the requests for a host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host that the caller names, without the port.
    pub host: String,
    /// Path prefix to match.
    pub path_prefix: String,
    /// Whether the operator states that a request may run more than once.
    pub idempotent: bool,
    /// Kind that the operator states, if this build does not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unknown_kind: Option<String>,
    /// Whether its requests have large bodies.
    #[serde(default, skip_serializing_if = "is_false")]
    pub large_bodies: bool,
    /// Whether its requests need no API key.
    #[serde(default, skip_serializing_if = "is_false")]
    pub anonymous: bool,
    /// Time budget of a request, in milliseconds; converted to a deadline when the request arrives.
    pub budget_ms: u64,
    /// Time within which an answer has its full worth, in milliseconds; also converted to a
    /// deadline when the request arrives.
    pub prompt_ms: u64,
    /// Priority among routes; 0 is served first.
    pub priority: u32,
    /// Maximum number of targets to which one request is sent.
    pub attempt_max_count: u32,
    /// Services among which the requests are split by weight.
    #[serde(rename = "parts")]
    pub weighted_services: Vec<WeightedService>,
}

impl Route {
    /// Returns whether a request may run more than once. Those of an unknown kind may not.
    pub fn may_repeat(&self) -> bool {
        self.idempotent && self.unknown_kind.is_none()
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Service that receives a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight, relative to the route's other services.
    pub weight: u32,
}

/// Limits that the operator sets for each target of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLimits {
    /// Maximum number of connections that one target accepts.
    pub connection_max_count: u32,
}

/// Limits on callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_max_bytes: u64,
    /// Maximum size of a request body.
    pub body_max_bytes: u64,
    /// Maximum time to receive a request, in milliseconds.
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

/// Complete route table of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version; 0 before the first table. Increases in steps of any size.
    pub version: u64,
    /// Offset of the record in the operator's stream that contains the table.
    pub source_offset: Offset,
    /// Routes by name.
    pub routes: BTreeMap<String, Arc<Route>>,
    /// Target limits by service name.
    pub services: BTreeMap<String, TargetLimits>,
    /// Limits on callers' connections.
    pub caller_limits: CallerLimits,
    /// Customers by name. Requests need an API key if the table holds customers, however many.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<BTreeMap<String, Arc<Customer>>>,
}

/// Difference between two versions of the route table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteChange {
    /// Version that the change applies to.
    pub base_version: u64,
    /// Version that results from the change.
    pub version: u64,
    /// Offset of the record in the operator's stream that contains the later version.
    pub source_offset: Offset,
    /// Routes that were added or changed, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub changed: BTreeMap<String, Arc<Route>>,
    /// Names of the routes that were removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
    /// Target limits of all services, if any changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<BTreeMap<String, TargetLimits>>,
    /// Limits on callers' connections, if they changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
    /// Change of the customers, if they changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<CustomersChange>,
}

/// Change of the customers between two versions of the route table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CustomersChange {
    /// The later version has no customers, and its requests need no API key.
    Dropped,
    /// Some customers were added, changed or removed.
    Updated {
        /// Customers that were added or changed, by name.
        changed: BTreeMap<String, Arc<Customer>>,
        /// Names of the customers that were removed.
        removed: Vec<String>,
    },
}

impl CustomersChange {
    fn entry_count(&self) -> usize {
        match self {
            CustomersChange::Dropped => 1,
            CustomersChange::Updated { changed, removed } => changed.len() + removed.len(),
        }
    }

    fn between(
        earlier: Option<&BTreeMap<String, Arc<Customer>>>,
        later: Option<&BTreeMap<String, Arc<Customer>>>,
    ) -> Option<Self> {
        if earlier == later {
            return None;
        }
        let Some(later) = later else {
            return Some(CustomersChange::Dropped);
        };
        let none = BTreeMap::new();
        let earlier = earlier.unwrap_or(&none);
        let mut changed = BTreeMap::new();
        for (name, customer) in later {
            if earlier.get(name) != Some(customer) {
                changed.insert(name.clone(), Arc::clone(customer));
            }
        }
        let mut removed = Vec::new();
        for name in earlier.keys() {
            if !later.contains_key(name) {
                removed.push(name.clone());
            }
        }
        Some(CustomersChange::Updated { changed, removed })
    }

    fn apply(&self, customers: &mut Option<BTreeMap<String, Arc<Customer>>>) {
        match self {
            CustomersChange::Dropped => *customers = None,
            CustomersChange::Updated { changed, removed } => {
                let customers = customers.get_or_insert_default();
                for name in removed {
                    customers.remove(name);
                }
                for (name, customer) in changed {
                    customers.insert(name.clone(), Arc::clone(customer));
                }
            }
        }
    }
}

impl RouteChange {
    /// Returns the number of routes and customers that the change names.
    pub fn entry_count(&self) -> usize {
        let customer_count = self
            .customers
            .as_ref()
            .map_or(0, CustomersChange::entry_count);
        self.changed.len() + self.removed.len() + customer_count
    }
}

impl RouteTable {
    /// Returns the number of routes and customers.
    pub fn entry_count(&self) -> usize {
        self.routes.len() + self.customers.as_ref().map_or(0, BTreeMap::len)
    }

    /// Returns name and kind of each route whose kind this build does not know.
    pub fn unknown_kinds(&self) -> impl Iterator<Item = (&str, &str)> {
        self.routes
            .iter()
            .filter_map(|(name, route)| Some((name.as_str(), route.unknown_kind.as_deref()?)))
    }

    /// Returns the difference from `earlier` to this version.
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
            customers: CustomersChange::between(
                earlier.customers.as_ref(),
                self.customers.as_ref(),
            ),
        }
    }

    /// Returns the table that results from `change`, or `None` if the change does not apply to this
    /// version or does not increase it.
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
        if let Some(customers) = &change.customers {
            customers.apply(&mut next.customers);
        }
        Some(next)
    }
}

/// Route with its name, as a lookup returns it.
#[derive(Clone, Debug)]
pub struct NamedRoute {
    /// Name of the route.
    pub name: String,
    /// The route.
    pub route: Arc<Route>,
}

/// Routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: FastMap<String, Arc<NamedRoute>>,
    /// Distinct lengths of the prefixes, longest first.
    prefix_lens: Vec<usize>,
}

/// Index of the routes by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// Version of the table.
    pub version: u64,
    /// Limits on callers' connections.
    pub caller_limits: CallerLimits,
    /// Kinds that this build does not know, by the name of their route.
    pub unknown_kinds: BTreeMap<String, String>,
    /// Customers, if requests need an API key.
    pub customers: Option<Arc<CustomerIndex>>,
    /// Whether the table calls for overload control: it holds customers, who compete for the targets, or
    /// routes with large bodies, which compete with small requests.
    pub overload_control: bool,
    hosts: FastMap<String, HostRoutes>,
}

impl RouteIndex {
    /// Indexes the routes of a table. If two routes have the same host and prefix, the first by
    /// name is used.
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
        let mut unknown_kinds = BTreeMap::new();
        for (name, kind) in table.unknown_kinds() {
            unknown_kinds.insert(name.to_owned(), kind.to_owned());
        }
        for host in hosts.values_mut() {
            host.prefix_lens.sort_unstable_by(|a, b| b.cmp(a));
            host.prefix_lens.dedup();
        }
        let customers = table
            .customers
            .as_ref()
            .map(|customers| Arc::new(CustomerIndex::new(customers)));
        let has_large_bodies = table.routes.values().any(|route| route.large_bodies);
        Self {
            version: table.version,
            caller_limits: table.caller_limits,
            unknown_kinds,
            overload_control: customers.is_some() || has_large_bodies,
            customers,
            hosts,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`; ignores a query string in
    /// `path`.
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
