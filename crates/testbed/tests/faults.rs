//! Nodes that are killed, paused or partitioned, and log records that expire.
//!
//! The tests guard against nodes that keep an old profile, go back to an earlier version or never
//! find their peers again.

mod common;

use std::net::Ipv4Addr;
use std::time::{
    Duration,
    Instant, //
};

use common::{
    profiles_dir,
    signal_nodes,
    start_al_ramla,
    start_verband,
    WAIT, //
};
use figway_testbed::deployment::AL_RAMLA;
use figway_testbed::fleet::{
    Fleet,
    HostSpec, //
};
use figway_testbed::log_server::LogFaults;
use figway_testbed::process::Signal;
use figway_testbed::relay::{
    LinkState,
    Relay, //
};

/// Guards against a killed node that blocks a switch. This happens when the other nodes do not
/// notice that it has left and wait for its report.
#[ntex::test]
async fn a_switch_is_in_force_on_all_other_nodes_after_one_is_killed() {
    let mut fleet = start_al_ramla("kill-one", &["stockdesk", "orderbook"], 2).await;
    let dead = fleet.hosts.remove(3);
    dead.node.signal(Signal::Kill).unwrap();
    fleet.wait_live(3, WAIT).await.unwrap();
    fleet
        .figway_ok(&["switch", "stockdesk", "fallback", "--wait"])
        .await
        .unwrap();
    fleet
        .wait_in_force("stockdesk", "fallback", WAIT)
        .await
        .unwrap();
}

/// Guards against nodes that lose the profiles in force, and against an overload of the log, when
/// all nodes are killed and restart at the same time without a live peer.
#[ntex::test]
async fn nodes_that_restart_at_once_restore_their_profiles_with_few_log_reads() {
    let mut fleet = start_al_ramla("herd", &["stockdesk", "orderbook"], 4).await;
    fleet
        .figway_ok(&["switch", "orderbook", "fallback", "--wait"])
        .await
        .unwrap();
    signal_nodes(&fleet, Signal::Kill);
    let counts_url = format!("http://{}/testbed/counts", fleet.log.address("log"));
    let before = fleet.get(&counts_url, &[]).await.unwrap().json().unwrap();
    for index in 0..fleet.hosts.len() {
        fleet.restart_host(index).unwrap();
    }
    fleet.wait_live(8, WAIT).await.unwrap();
    fleet
        .wait_in_force("stockdesk", "steady", WAIT)
        .await
        .unwrap();
    fleet
        .wait_in_force("orderbook", "fallback", WAIT)
        .await
        .unwrap();
    let after = fleet.get(&counts_url, &[]).await.unwrap().json().unwrap();
    let reads = after["reads"].as_u64().unwrap() - before["reads"].as_u64().unwrap();
    // Each node reads contacts a few times, and at most three nodes of each region follow the log.
    assert!(reads < 200, "{reads} reads of the log by 8 nodes");
}

/// Guards against a node that applies an older version or misses a switch. This happens when it is
/// paused beyond all timeouts and then resumes with old state.
#[ntex::test]
async fn a_paused_node_catches_up_and_its_version_never_decreases() {
    let fleet = start_verband("freeze", &["katalog"], 4).await;
    let paused_index = 2;
    fleet.hosts[paused_index].node.signal(Signal::Stop).unwrap();
    // Longer than any timeout between nodes and than the suspicion timeout of a member.
    tokio::time::sleep(Duration::from_secs(9)).await;
    let switch = fleet
        .figway(&["switch", "katalog", "fallback", "--wait", "--wait-s", "2"])
        .await
        .unwrap();
    // A zone without any live node may be partitioned, so its nodes are kept as members and named
    // in the output.
    assert_eq!(switch.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&switch.stderr).contains(&fleet.hosts[paused_index].name));
    fleet.hosts[paused_index]
        .node
        .signal(Signal::Continue)
        .unwrap();
    let mut last_version = 0;
    let deadline = Instant::now() + WAIT;
    loop {
        let status = fleet.status(paused_index).await.unwrap();
        let version = status["services"]["katalog"]["version"].as_u64().unwrap();
        assert!(
            version >= last_version,
            "the version decreased from {last_version} to {version}"
        );
        last_version = version;
        if status["services"]["katalog"]["profile"] == "fallback" {
            break;
        }
        assert!(Instant::now() < deadline, "{status}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.wait_live(4, WAIT).await.unwrap();
}

/// Guards against the loss of the profiles in force when the log no longer holds the records that
/// set them. This affects a node that is paused for longer than the retention, and all nodes when
/// they restart at the same time.
#[ntex::test]
async fn snapshots_replace_expired_records_even_after_all_nodes_were_killed() {
    let mut fleet = Fleet::start("expiry", "muscat").await.unwrap();
    fleet
        .set_log_faults(LogFaults {
            retention_ms: 4_000,
            ..LogFaults::default()
        })
        .await
        .unwrap();
    fleet.retention_ms = 4_000;
    for zone in 0..2 {
        let zone = AL_RAMLA.zones[zone];
        fleet
            .add_host(&HostSpec {
                name: zone.name,
                zone,
                service: "stockdesk",
                slot_count: 4,
                labels: &[],
                control_ip: "127.0.0.1",
                extra_settings: "",
            })
            .unwrap();
    }
    fleet.wait_live(2, WAIT).await.unwrap();
    fleet
        .publish_and_switch_to_steady(&profiles_dir(&AL_RAMLA), &["stockdesk"])
        .await
        .unwrap();
    // One node is paused for longer than the retention of records, while a switch is made.
    fleet.hosts[1].node.signal(Signal::Stop).unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet
        .figway_ok(&["switch", "stockdesk", "fallback"])
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(6)).await;
    fleet.hosts[1].node.signal(Signal::Continue).unwrap();
    fleet
        .wait_in_force("stockdesk", "fallback", WAIT)
        .await
        .unwrap();
    // All records of the profiles have expired by now; only snapshots contain them.
    signal_nodes(&fleet, Signal::Kill);
    for index in 0..2 {
        fleet.restart_host(index).unwrap();
    }
    fleet
        .wait_in_force("stockdesk", "fallback", WAIT)
        .await
        .unwrap();
}

/// Name of each region and control address of its nodes, in a /24 network of its own. A node opens
/// control connections from its own address, so that a relay can distinguish the regions.
const NETWORKS: [(&str, Ipv4Addr); 2] = [
    ("muscat", Ipv4Addr::new(127, 0, 1, 1)),
    ("sohar", Ipv4Addr::new(127, 0, 2, 1)),
];

/// Fleet whose two regions can be partitioned. Each node's control listener is reached through a
/// relay that can block the other region, and the region `sohar` reaches the log through a relay.
struct PartitionableFleet {
    fleet: Fleet,
    relays: Vec<(Relay, Option<Ipv4Addr>)>,
}

impl PartitionableFleet {
    async fn start(name: &str) -> Self {
        let mut fleet = Fleet::start(name, "muscat").await.unwrap();
        let log_relay = Relay::start().await.unwrap();
        log_relay.set_upstream(fleet.log.address("log"));
        let direct_url = fleet.log_url.clone();
        let mut relays = Vec::new();
        for zone in AL_RAMLA.zones {
            let region_index = usize::from(zone.region != "muscat");
            fleet.log_url = if region_index == 1 {
                format!("http://{}", log_relay.address)
            } else {
                direct_url.clone()
            };
            let relay = Relay::start().await.unwrap();
            fleet
                .add_host(&HostSpec {
                    name: zone.name,
                    zone,
                    service: "stockdesk",
                    slot_count: 4,
                    labels: &[],
                    control_ip: &NETWORKS[region_index].1.to_string(),
                    extra_settings: &format!("advertise:\n  control: {}", relay.address),
                })
                .unwrap();
            let host = fleet.hosts.last().unwrap();
            relay.set_upstream(host.node.address("control"));
            relays.push((relay, Some(NETWORKS[1 - region_index].1)));
        }
        relays.push((log_relay, None));
        fleet.wait_live(4, WAIT).await.unwrap();
        fleet
            .publish_and_switch_to_steady(&profiles_dir(&AL_RAMLA), &["stockdesk"])
            .await
            .unwrap();
        Self { fleet, relays }
    }

    fn set_partitioned(&self, partitioned: bool) {
        for (relay, blocked_subnet) in &self.relays {
            relay.set_link_state(LinkState {
                blocked: partitioned,
                blocked_subnet: *blocked_subnet,
                delay_ms: 0,
            });
        }
    }
}

/// Guards against a region that stops serving calls while it is partitioned from the other region
/// and from the log, against a switch that is reported in force everywhere meanwhile, and against a
/// region that never applies the switch after the partition has healed.
#[ntex::test]
async fn a_partitioned_region_keeps_its_profile_and_applies_the_switch_after_healing() {
    let partitionable = PartitionableFleet::start("cut").await;
    partitionable.set_partitioned(true);
    let fleet = &partitionable.fleet;
    let switch = fleet
        .figway(&["switch", "stockdesk", "fallback", "--wait", "--wait-s", "4"])
        .await
        .unwrap();
    assert_eq!(switch.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&switch.stderr).into_owned();
    assert!(
        stderr.contains("silent: sohar-a") && stderr.contains("silent: sohar-b"),
        "{stderr}"
    );
    for (index, profile) in [
        (0, "fallback"),
        (1, "fallback"),
        (2, "steady"),
        (3, "steady"),
    ] {
        let status = fleet.status(index).await.unwrap();
        assert_eq!(
            status["services"]["stockdesk"]["profile"], profile,
            "host {index}"
        );
    }
    // The partitioned region still serves its own calls.
    let node = fleet.hosts[2].call_address();
    let url = format!("http://{node}/stock");
    let reply = fleet
        .get(&url, &[("x-figway-service", "stockdesk")])
        .await
        .unwrap();
    assert_eq!(reply.outcome, "answered");
    partitionable.set_partitioned(false);
    fleet
        .wait_in_force("stockdesk", "fallback", WAIT)
        .await
        .unwrap();
    fleet.wait_live(4, WAIT).await.unwrap();
}
