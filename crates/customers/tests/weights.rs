//! Weights by which customers share a full service.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_customers::{
    Customer,
    CustomerIndex,
    CustomerLimit, //
};

fn index(rates_per_s: &[(&str, Option<f64>)]) -> CustomerIndex {
    let mut customers = BTreeMap::new();
    for (name, rate_per_s) in rates_per_s {
        let limit = rate_per_s.map(|rate_per_s| CustomerLimit {
            rate_per_s,
            burst_count: 10.0,
        });
        let customer = Customer {
            limit,
            ..Customer::default()
        };
        customers.insert((*name).to_owned(), Arc::new(customer));
    }
    CustomerIndex::new(&customers)
}

/// Guards against a customer without a limit that gets all of a full service, or nothing.
#[test]
fn a_customer_without_a_limit_has_the_mean_weight() {
    let index = index(&[("ann", Some(30.0)), ("bob", Some(10.0)), ("eve", None)]);
    assert_eq!(index.weight(Some("ann")), 30.0);
    assert_eq!(index.weight(Some("bob")), 10.0);
    assert_eq!(index.weight(Some("eve")), 20.0);
    assert_eq!(index.weight(None), 20.0);
    assert_eq!(index.weight(Some("removed")), 20.0);
}

/// Guards against weights that are not numbers if no customer has a limit.
#[test]
fn customers_without_limits_have_equal_weights() {
    let index = index(&[("ann", None), ("bob", None)]);
    assert_eq!(index.weight(Some("ann")), index.weight(None));
    assert!(index.weight(None) > 0.0);
}
