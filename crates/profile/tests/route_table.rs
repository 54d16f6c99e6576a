//! Applying the difference between two versions yields the later table, and lookups return the
//! route with the longest prefix.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_customers::{
    Customer,
    CustomerLimit,
    KeyDigest, //
};
use figway_profile::{
    Route,
    RouteIndex,
    RouteTable,
    WeightedService, //
};
use figway_test_support::fixed_seed_config;
use figway_types::Offset;
use proptest::prelude::*;

fn route(host: u8, prefix: &str, service: u8) -> Arc<Route> {
    Arc::new(Route {
        host: format!("h{host}.example"),
        path_prefix: prefix.to_owned(),
        idempotent: true,
        unknown_kind: None,
        large_bodies: false,
        anonymous: false,
        budget_ms: 600,
        prompt_ms: 250,
        priority: 1,
        attempt_max_count: 2,
        weighted_services: vec![WeightedService {
            service: format!("s{service}"),
            weight: 1,
        }],
    })
}

fn table(version: u64, routes: &BTreeMap<u8, (u8, u8)>) -> RouteTable {
    let mut table = RouteTable {
        version,
        source_offset: Offset(version),
        ..RouteTable::default()
    };
    for (name, (host, service)) in routes {
        let route = route(*host, &format!("/p{name}/"), *service);
        table.routes.insert(format!("r{name}"), route);
    }
    table
}

fn routes() -> impl Strategy<Value = BTreeMap<u8, (u8, u8)>> {
    prop::collection::btree_map(0..12_u8, (0..3_u8, 0..4_u8), 0..10)
}

/// Returns a customer with one key, and a limit if its number is odd.
fn customer(name: u8, key: u8) -> Arc<Customer> {
    let limit = CustomerLimit {
        rate_per_s: f64::from(key) + 0.5,
        burst_count: 10.0,
    };
    Arc::new(Customer {
        key_digests: vec![KeyDigest::of_key(&format!("key-{name}-{key}")).unwrap()],
        priority: Some(u32::from(key)),
        limit: (key % 2 == 1).then_some(limit),
    })
}

fn customers(keys: &BTreeMap<u8, u8>) -> BTreeMap<String, Arc<Customer>> {
    let mut customers = BTreeMap::new();
    for (name, key) in keys {
        customers.insert(format!("c{name}"), customer(*name, *key));
    }
    customers
}

/// Customers of a table, or none at all.
fn any_customers() -> impl Strategy<Value = Option<BTreeMap<u8, u8>>> {
    prop::option::weighted(0.8, prop::collection::btree_map(0..8_u8, 0..3_u8, 0..7))
}

proptest! {
    #![proptest_config(fixed_seed_config(61, 256))]

    #[test]
    fn applying_a_change_yields_the_later_table(
        earlier in routes(),
        later in routes(),
        earlier_customers in any_customers(),
        later_customers in any_customers(),
    ) {
        let mut earlier = table(3, &earlier);
        let mut later = table(8, &later);
        earlier.customers = earlier_customers.as_ref().map(customers);
        later.customers = later_customers.as_ref().map(customers);
        let change = later.change_since(&earlier);
        prop_assert_eq!(earlier.apply(&change), Some(later.clone()));
        // A change applies to no other version, and no change decreases the version.
        prop_assert_eq!(later.apply(&change), None);
        let reverse = earlier.change_since(&later);
        // Peers get the change as text.
        let sent = serde_json::to_string(&change).unwrap();
        let received = serde_json::from_str(&sent).unwrap();
        prop_assert_eq!(earlier.apply(&received), Some(later.clone()));
        prop_assert_eq!(change.customers.is_none(), earlier.customers == later.customers);
        prop_assert_eq!(later.apply(&reverse), None);
    }

    #[test]
    fn lookups_equal_a_scan(routes in routes(), host in 0..3_u8, name in 0..12_u8) {
        let table = table(1, &routes);
        let index = RouteIndex::new(&table);
        let host = format!("h{host}.example");
        let path = format!("/p{name}/x?y=/p1/");
        let found = index.find(&host, &path).map(|named| named.name.clone());
        let scanned = table
            .routes
            .iter()
            .find(|(_, route)| route.host == host && path.starts_with(&route.path_prefix))
            .map(|(name, _)| name.clone());
        prop_assert_eq!(found, scanned);
    }
}

#[test]
fn the_longest_prefix_wins() {
    let mut table = RouteTable::default();
    for (name, prefix) in [("short", "/a/"), ("long", "/a/b/"), ("other", "/c/")] {
        table.routes.insert(name.to_owned(), route(1, prefix, 1));
    }
    let index = RouteIndex::new(&table);
    let found = |path| {
        index
            .find("h1.example", path)
            .map(|named| named.name.as_str())
    };
    assert_eq!(found("/a/b/c"), Some("long"));
    assert_eq!(found("/a/bc"), Some("short"));
    assert_eq!(found("/a"), None);
    assert_eq!(found("/x/?p=/a/b/"), None);
    assert!(index.find("h2.example", "/a/").is_none());
}

/// Guards against a table without customers that is taken for one whose customers did not change, or
/// for one with none left: it opens the routes, the other one closes them.
#[test]
fn tables_without_customers_and_with_no_customer_left_differ() {
    let mut open = table(1, &BTreeMap::new());
    let mut empty = open.clone();
    empty.customers = Some(BTreeMap::new());
    empty.version = 2;
    let closed = open.apply(&empty.change_since(&open)).unwrap();
    assert!(RouteIndex::new(&closed).customers.is_some());
    open.version = 3;
    let opened = closed.apply(&open.change_since(&closed)).unwrap();
    assert!(RouteIndex::new(&opened).customers.is_none());
}

/// Guards against a change of one key that carries the keys of all customers.
#[test]
fn a_change_of_one_key_among_85_customers_carries_that_customer_alone() {
    let keys: BTreeMap<u8, u8> = (0..85).map(|name| (name, 1)).collect();
    let mut earlier = table(1, &BTreeMap::from([(1, (1, 1))]));
    earlier.customers = Some(customers(&keys));
    let mut later = earlier.clone();
    later.version = 2;
    let changed = customer(7, 2);
    later
        .customers
        .as_mut()
        .unwrap()
        .insert("c7".to_owned(), Arc::clone(&changed));
    let change = later.change_since(&earlier);
    assert_eq!(change.entry_count(), 1);
    let change_len = serde_json::to_string(&change).unwrap().len();
    let own_len = serde_json::to_string(&*changed).unwrap().len();
    // What names the versions and the customer takes some bytes more.
    assert!(change_len < own_len + 150, "{change_len} of {own_len}");
}
