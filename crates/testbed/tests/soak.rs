//! Short soak with customers and a rollout.

use std::time::Duration;

use figway_testbed::soak::{
    soak,
    Scenarios, //
};

/// Guards against failures of keys, limits and rollouts that only a combination of faults causes. With
/// seed 606 the new version is bad.
#[ntex::test]
async fn a_short_soak_with_customers_and_a_bad_version_finds_no_violation() {
    let scenarios = Scenarios {
        customers: true,
        rollouts: true,
        kills_all: false,
    };
    let report = soak(606, Duration::from_secs(18), scenarios).await.unwrap();
    assert!(
        report.violations.is_empty(),
        "{:#?} after {:?}",
        report.violations,
        report.faults
    );
    assert!(report.served_count * 2 > report.call_count, "{report:?}");
}
