//! Network traffic while a large route table is distributed.
//!
//! The test guards against a route table that saturates the links of small hosts. This happens when
//! each version is sent whole, or over every link of a node, while the table grows by a thousand
//! routes and then changes several times a second.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_profile::{
    Route,
    RouteTable,
    WeightedService, //
};
use figway_testbed::deployment::AL_RAMLA;
use figway_testbed::mesh_farm::Farm;
use figway_types::Offset;

use crate::common::start_farm;

/// Number of nodes in the farm.
const NODE_COUNT: usize = 16;

/// Capacity of the network link of the smallest hosts, in bytes per second (7 Mbit/s).
const LINK_BYTES_PER_S: u64 = 7_000_000 / 8;

/// Number of table versions that the operator publishes per second during an update storm.
const STORM_VERSIONS_PER_S: u64 = 4;

/// Maximum time until a version is in force on every node.
const IN_FORCE_MAX: Duration = Duration::from_secs(3);

fn table(version: u64, route_count: u64) -> RouteTable {
    let mut routes = BTreeMap::new();
    for number in 0..route_count {
        let mixed = figway_types::mix(number + 1);
        // The first route differs in each version, as in an update storm.
        let service = if number == 0 { version } else { mixed % 4 };
        let route = Route {
            host: "site.example".to_owned(),
            path_prefix: format!("/{mixed:08x}/"),
            idempotent: mixed.is_multiple_of(2),
            unknown_kind: None,
            large_bodies: false,
            anonymous: false,
            budget_ms: 1_000 + mixed % 7 * 100,
            prompt_ms: 500,
            priority: (mixed % 3) as u32,
            attempt_max_count: 2,
            weighted_services: vec![WeightedService {
                service: format!("service-{service}"),
                weight: 1,
            }],
        };
        routes.insert(format!("r-{mixed:08x}"), Arc::new(route));
    }
    RouteTable {
        version,
        source_offset: Offset(version),
        routes,
        ..RouteTable::default()
    }
}

async fn wait_for_version(farm: &Farm, version: u64) {
    let deadline = Instant::now() + IN_FORCE_MAX;
    for mesh in &farm.meshes {
        while mesh.view().routes.version < version {
            assert!(Instant::now() < deadline, "version {version} is late");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

#[ntex::test]
async fn distributing_a_grown_route_table_uses_less_than_a_quarter_of_a_small_link() {
    let (_log, farm) = start_farm(NODE_COUNT, &AL_RAMLA.zones).await;
    farm.meshes[0].install_route_table(table(1, 300));
    wait_for_version(&farm, 1).await;

    let (region_bytes_before, cross_region_bytes_before) = farm.control_bytes();
    let last_version = 1 + STORM_VERSIONS_PER_S;
    for version in 2..=last_version {
        farm.meshes[0].install_route_table(table(version, 1_340));
        wait_for_version(&farm, version).await;
    }
    let (region_bytes_after, cross_region_bytes_after) = farm.control_bytes();
    // Each byte is counted twice, by its sender and by its receiver.
    let bytes = region_bytes_after - region_bytes_before + cross_region_bytes_after
        - cross_region_bytes_before;
    let bytes_per_node = bytes / NODE_COUNT as u64;
    println!("control bytes per node: {bytes_per_node}");
    assert!(
        bytes_per_node < LINK_BYTES_PER_S / 4,
        "an update storm moves {bytes_per_node} bytes/s per node, over a quarter of its link"
    );
}
