//! Applying the difference between two versions yields the later table, and lookups return the
//! route with the longest prefix.

use std::collections::BTreeMap;
use std::sync::Arc;

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

proptest! {
    #![proptest_config(fixed_seed_config(61, 256))]

    #[test]
    fn applying_a_change_yields_the_later_table(earlier in routes(), later in routes()) {
        let earlier = table(3, &earlier);
        let later = table(8, &later);
        let change = later.change_since(&earlier);
        prop_assert_eq!(earlier.apply(&change), Some(later.clone()));
        // A change applies to no other version, and no change decreases the version.
        prop_assert_eq!(later.apply(&change), None);
        let reverse = earlier.change_since(&later);
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
