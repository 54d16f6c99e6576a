//! Customer as the operator configures it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::key::KeyDigest;

/// Customer. Its callers identify themselves by one of its API keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Digests of its API keys.
    pub key_digests: Vec<KeyDigest>,
    /// Priority of its requests, which takes precedence over that of the route; 0 is served first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Limit of its requests over all nodes, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<CustomerLimit>,
}

/// Number of route priorities that are distinguished among customers of one priority. Larger
/// ones count as the last.
const ROUTE_PRIORITY_COUNT: u32 = 16;

/// Returns the priority of a call of a customer on a route; 0 is served first. The priority of the
/// customer takes precedence. A customer without one has that of the route.
pub fn call_priority(customer_priority: Option<u32>, route_priority: u32) -> u32 {
    customer_priority
        .unwrap_or(route_priority)
        .saturating_mul(ROUTE_PRIORITY_COUNT)
        .saturating_add(route_priority.min(ROUTE_PRIORITY_COUNT - 1))
}

/// Limit of the requests of a customer over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerLimit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that may come at once beyond the rate.
    pub burst_count: f64,
}
