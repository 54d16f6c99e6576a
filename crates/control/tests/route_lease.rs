//! Lease on the applied route table.
//!
//! The tests guard against a node that takes its table for the newest one longer than a peer or the
//! log said so.

use std::sync::Arc;
use std::time::Duration;

use figway_control::{
    Mesh,
    RouteConfirmation, //
};
use figway_profile::RouteTable;
use figway_test_support::live_member;
use figway_types::{
    BootInstant,
    Offset, //
};

fn mesh_with_table(version: u64) -> Arc<Mesh> {
    let mesh = Mesh::new("mesh", live_member("node-1", "land", "east"), None, 1);
    mesh.install_route_table(RouteTable {
        version,
        source_offset: Offset(version),
        ..RouteTable::default()
    });
    mesh
}

fn confirmation(version: u64, age_ms: u64) -> RouteConfirmation {
    RouteConfirmation {
        version,
        age: Duration::from_millis(age_ms),
    }
}

#[test]
fn a_confirmation_of_a_later_version_does_not_extend_the_lease_on_an_older_one() {
    let mesh = mesh_with_table(4);
    mesh.merge_route_confirmation(&confirmation(5, 0), BootInstant::now());
    assert_eq!(mesh.route_lease_age(), None);
    mesh.merge_route_confirmation(&confirmation(4, 0), BootInstant::now());
    assert!(mesh.route_lease_age().is_some());
}

#[test]
fn a_confirmation_that_was_under_way_for_long_counts_from_when_it_was_sent() {
    let mesh = mesh_with_table(4);
    let sent_at = BootInstant::now();
    std::thread::sleep(Duration::from_millis(30));
    mesh.merge_route_confirmation(&confirmation(4, 250), sent_at);
    let age = mesh.route_lease_age().unwrap();
    assert!(age >= Duration::from_millis(280), "{age:?}");
}

#[test]
fn an_older_confirmation_does_not_shorten_the_lease() {
    let mesh = mesh_with_table(4);
    mesh.merge_route_confirmation(&confirmation(4, 10), BootInstant::now());
    mesh.merge_route_confirmation(&confirmation(3, 60_000), BootInstant::now());
    assert!(mesh.route_lease_age().unwrap() < Duration::from_secs(30));
}

#[test]
fn a_node_without_a_table_has_no_lease() {
    let mesh = Mesh::new("mesh", live_member("node-1", "land", "east"), None, 1);
    mesh.merge_route_confirmation(&confirmation(0, 0), BootInstant::now());
    assert_eq!(mesh.route_confirmation(), None);
}
