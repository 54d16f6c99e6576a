//! Identification of customers: every combination of credentials, route and parent, and a naive version of the
//! same decision.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_customers::{
    identify,
    Credentials,
    Customer,
    CustomerIndex,
    Identity,
    KeyDigest,
    Parent, //
};
use figway_test_support::fixed_seed_config;
use figway_types::KeyRefusal;
use proptest::prelude::*;

fn customer(keys: &[&str]) -> Arc<Customer> {
    let mut key_digests = Vec::new();
    for key in keys {
        key_digests.push(KeyDigest::of_key(key).unwrap());
    }
    Arc::new(Customer {
        key_digests,
        ..Customer::default()
    })
}

fn index(customers: &[(&str, &[&str])]) -> CustomerIndex {
    let mut by_name = BTreeMap::new();
    for (name, keys) in customers {
        by_name.insert((*name).to_owned(), customer(keys));
    }
    CustomerIndex::new(&by_name)
}

fn by_key(name: &str, key: &str) -> Identity {
    Identity::Customer {
        name: Arc::from(name),
        key: KeyDigest::of_key(key),
    }
}

fn by_parent(name: &str) -> Identity {
    Identity::Customer {
        name: Arc::from(name),
        key: None,
    }
}

/// Guards against a request that is accepted without a key, or for another customer than its own.
#[test]
fn every_combination_of_credentials_route_and_parent_is_decided() {
    let index = index(&[
        ("ann", &["key-a"]),
        ("bob", &["key-b", "both"]),
        ("eve", &["both"]),
    ]);
    let parents = [
        Parent::None,
        Parent::Running(Some(Arc::from("bob"))),
        Parent::Running(None),
        Parent::Possible,
        Parent::Outlived,
    ];
    for parent in &parents {
        for anonymous in [false, true] {
            let decide =
                |credentials| identify(Some(&index), credentials, anonymous, parent.clone());
            let refused = |why| match anonymous {
                true => Identity::Anonymous,
                false => Identity::Unauthorized(why),
            };
            // A key decides alone, whatever the request names as its parent.
            assert_eq!(decide(Credentials::Key("key-a")), by_key("ann", "key-a"));
            assert_eq!(
                decide(Credentials::Key("key-c")),
                refused(KeyRefusal::Unknown)
            );
            assert_eq!(
                decide(Credentials::Key("both")),
                refused(KeyRefusal::Shared)
            );
            assert_eq!(decide(Credentials::Invalid), refused(KeyRefusal::Malformed));
            let expected = match parent {
                Parent::Running(Some(_)) => by_parent("bob"),
                Parent::None => refused(KeyRefusal::Missing),
                Parent::Outlived if !anonymous => Identity::Orphaned,
                Parent::Running(None) | Parent::Possible | Parent::Outlived => Identity::Anonymous,
            };
            assert_eq!(
                decide(Credentials::Absent),
                expected,
                "{parent:?} {anonymous}"
            );
        }
    }
}

/// Guards against a configuration without customers that asks for keys.
#[test]
fn without_customers_no_request_needs_a_key() {
    for credentials in [
        Credentials::Absent,
        Credentials::Key("k"),
        Credentials::Invalid,
    ] {
        let parent = Parent::Outlived;
        assert_eq!(
            identify(None, credentials, false, parent),
            Identity::Anonymous
        );
    }
}

/// Guards against an empty table of customers that accepts requests.
#[test]
fn an_empty_table_of_customers_lets_no_key_in() {
    let index = index(&[]);
    let decided = identify(Some(&index), Credentials::Key("k"), false, Parent::None);
    assert_eq!(decided, Identity::Unauthorized(KeyRefusal::Unknown));
}

/// Guards against long, empty and non-ASCII keys that match a customer or cost time.
#[test]
fn odd_keys_are_unknown() {
    let index = index(&[("ann", &["key-a"])]);
    let (long, longest) = ("k".repeat(10_240), "k".repeat(1_025));
    for key in [
        "",
        "schlüssel",
        "key-a\u{0}",
        "KEY-A",
        "key-",
        "key-ab",
        &long,
        &longest,
    ] {
        let decided = identify(Some(&index), Credentials::Key(key), false, Parent::None);
        assert_eq!(
            decided,
            Identity::Unauthorized(KeyRefusal::Unknown),
            "{}",
            key.len()
        );
    }
    assert!(KeyDigest::of_key("").is_none());
    assert!(KeyDigest::of_key(&long).is_none());
    assert!(KeyDigest::of_key(&"k".repeat(1_024)).is_some());
}

/// Guards against a key that two customers held, and that stays refused after one gave it up.
#[test]
fn a_key_that_one_customer_lists_twice_is_its_own_and_a_shared_one_is_nobodys() {
    let twice = index(&[("ann", &["key-a", "key-a"])]);
    assert_eq!(twice.shared_key_count(), 0);
    assert!(twice.find("key-a").is_ok());
    let shared = index(&[("ann", &["key-a"]), ("bob", &["key-a", "key-b"])]);
    assert_eq!(shared.shared_key_count(), 1);
    assert_eq!(shared.count_without_keys(), 0);
    assert_eq!(index(&[("ann", &[])]).count_without_keys(), 1);
    assert_eq!(shared.customers_with_shared_keys(), ["ann", "bob"]);
    assert!(twice.customers_with_shared_keys().is_empty());
    assert_eq!(shared.find("key-a").unwrap_err(), KeyRefusal::Shared);
    assert_eq!(&**shared.find("key-b").unwrap().0, "bob");
    let tag = KeyDigest::of_key("key-a").unwrap().tag();
    assert!(!shared.holds_tag("ann", tag));
    assert!(twice.holds_tag("ann", tag));
    assert!(!twice.holds_tag("bob", tag));
}

/// Guards against keys in the texts that logs are made of.
#[test]
fn digests_and_tags_show_nothing_in_debug_output() {
    let digest = KeyDigest::of_key("key-a").unwrap();
    let shown = format!("{digest:?} {:?} {:?}", digest.tag(), customer(&["key-a"]));
    assert!(
        !shown.contains(|letter: char| letter.is_ascii_digit()),
        "{shown}"
    );
}

fn keys() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(0..8_u8, 0..4)
}

proptest! {
    #![proptest_config(fixed_seed_config(62, 512))]

    #[test]
    fn the_holder_of_a_key_equals_a_scan_of_all_customers(
        held in prop::collection::btree_map("[a-d]", keys(), 0..5),
        key in 0..9_u8,
    ) {
        let text = |key: &u8| format!("key-{key}");
        let mut customers = BTreeMap::new();
        for (name, keys) in &held {
            let texts: Vec<String> = keys.iter().map(text).collect();
            let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
            customers.insert(name.clone(), customer(&texts));
        }
        let index = CustomerIndex::new(&customers);
        let mut holders = Vec::new();
        for (name, keys) in &held {
            if keys.contains(&key) {
                holders.push(name.as_str());
            }
        }
        let key = text(&key);
        let decided = identify(Some(&index), Credentials::Key(&key), false, Parent::None);
        let expected = match holders[..] {
            [] => Identity::Unauthorized(KeyRefusal::Unknown),
            [name] => by_key(name, &key),
            _ => Identity::Unauthorized(KeyRefusal::Shared),
        };
        prop_assert_eq!(decided, expected);
        let tag = KeyDigest::of_key(&key).unwrap().tag();
        for name in held.keys() {
            prop_assert_eq!(index.holds_tag(name, tag), holders == [name.as_str()]);
        }
    }
}
