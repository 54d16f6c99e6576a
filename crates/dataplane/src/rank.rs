//! Ranks of calls in the queues of targets, by the priority of their customer and route.

use figway_customers::{
    call_priority,
    Customer, //
};
use figway_profile::{
    Route,
    RouteIndex, //
};

/// Rank of routes of priority 0. Nested calls rank before all routes, since their parent's slot
/// stays occupied until they are answered.
const ROUTE_BASE_RANK: u32 = 1;

/// Rank of nested calls, which a target makes while it runs another call.
const NESTED_RANK: u32 = 0;

/// Ranks of each priority under overload control: the first for nested calls, the second for others. A
/// nested call has the priority of its parent, so that it does not displace a more urgent call.
const RANKS_PER_PRIORITY: u32 = 2;

/// Returns the priority of a call on `route`; 0 is served first. If `routes` hold customers, that of the
/// customer takes precedence.
pub(crate) fn priority_of(routes: &RouteIndex, customer: Option<&Customer>, route: &Route) -> u32 {
    if routes.customers.is_none() {
        return route.priority;
    }
    let customer_priority = customer.and_then(|customer| customer.priority);
    call_priority(customer_priority, route.priority)
}

/// Returns the rank of a call on `route` that is not nested; rank 0 is served first.
pub(crate) fn rank_of(routes: &RouteIndex, customer: Option<&Customer>, route: &Route) -> u32 {
    let priority = priority_of(routes, customer, route);
    if !routes.overload_control {
        return ROUTE_BASE_RANK.saturating_add(priority);
    }
    let nested_rank = ROUTE_BASE_RANK.saturating_add(priority.saturating_mul(RANKS_PER_PRIORITY));
    nested_rank.saturating_add(1)
}

/// Returns the rank of a nested call whose parent has `parent_rank`.
pub(crate) fn nested_rank_of(routes: &RouteIndex, parent_rank: u32) -> u32 {
    if !routes.overload_control {
        return NESTED_RANK;
    }
    // The first rank of each priority is the one for nested calls.
    let is_nested = parent_rank % RANKS_PER_PRIORITY == ROUTE_BASE_RANK % RANKS_PER_PRIORITY;
    if is_nested {
        return parent_rank;
    }
    parent_rank.saturating_sub(1)
}
