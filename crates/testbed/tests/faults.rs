//! Nodes that die, alone and in herds, freeze, and are cut off; records that expire.

mod common;

use std::net::Ipv4Addr;
use std::time::{
    Duration,
    Instant, //
};

use common::{
    al_ramla,
    profiles,
    signal_nodes,
    verband,
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

#[ntex::test]
async fn after_the_death_of_one_node_a_switch_holds_on_all_others() {
    let mut fleet = al_ramla("kill-one", &["stockdesk", "orderbook"], 2).await;
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

#[ntex::test]
async fn a_herd_that_died_at_once_comes_back_to_what_was_picked() {
    let mut fleet = al_ramla("herd", &["stockdesk", "orderbook"], 4).await;
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
    // Each node looks for contacts a few times and at most three of each region follow the log.
    assert!(reads < 200, "{reads} reads of the log by 8 nodes");
}

#[ntex::test]
async fn a_frozen_node_catches_up_and_never_goes_back() {
    let fleet = verband("freeze", &["katalog"], 4).await;
    let frozen = 2;
    fleet.hosts[frozen].node.signal(Signal::Stop).unwrap();
    // Longer than any timeout between nodes, and than a suspect is held.
    tokio::time::sleep(Duration::from_secs(9)).await;
    let during = fleet
        .figway(&["switch", "katalog", "fallback", "--wait", "--wait-s", "2"])
        .await
        .unwrap();
    // A zone that is silent as a whole may be cut off: it is named, not forgotten.
    assert_eq!(during.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&during.stderr).contains(&fleet.hosts[frozen].name));
    fleet.hosts[frozen].node.signal(Signal::Continue).unwrap();
    let mut last_version = 0;
    let deadline = Instant::now() + WAIT;
    loop {
        let status = fleet.status(frozen).await.unwrap();
        let version = status["services"]["katalog"]["version"].as_u64().unwrap();
        assert!(
            version >= last_version,
            "went back from {last_version} to {version}"
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

#[ntex::test]
async fn what_expired_is_bridged_by_snapshots_even_when_all_nodes_died() {
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
        .publish_and_switch_to_steady(&profiles(&AL_RAMLA), &["stockdesk"])
        .await
        .unwrap();
    // One node is paused for longer than records are kept, and changes go on.
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
    // By now every record of the profiles has expired; only snapshots hold them.
    signal_nodes(&fleet, Signal::Kill);
    for index in 0..2 {
        fleet.restart_host(index).unwrap();
    }
    fleet
        .wait_in_force("stockdesk", "fallback", WAIT)
        .await
        .unwrap();
}

/// Networks of the two regions; a node's control connects from its own address.
const NETWORKS: [(&str, Ipv4Addr); 2] = [
    ("muscat", Ipv4Addr::new(127, 0, 1, 1)),
    ("sohar", Ipv4Addr::new(127, 0, 2, 1)),
];

/// Hosts whose control is reached through relays that can cut the other region off, and a relay
/// between the far region and the log.
struct CutFleet {
    fleet: Fleet,
    relays: Vec<(Relay, Option<Ipv4Addr>)>,
}

impl CutFleet {
    async fn start(name: &str) -> Self {
        let mut fleet = Fleet::start(name, "muscat").await.unwrap();
        let log_relay = Relay::start().await.unwrap();
        log_relay.set_upstream(fleet.log.address("log"));
        let direct_url = fleet.log_url.clone();
        let mut relays = Vec::new();
        for zone in AL_RAMLA.zones {
            let own = usize::from(zone.region != "muscat");
            fleet.log_url = if own == 1 {
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
                    control_ip: &NETWORKS[own].1.to_string(),
                    extra_settings: &format!("advertise:\n  control: {}", relay.address),
                })
                .unwrap();
            let host = fleet.hosts.last().unwrap();
            relay.set_upstream(host.node.address("control"));
            relays.push((relay, Some(NETWORKS[1 - own].1)));
        }
        relays.push((log_relay, None));
        fleet.wait_live(4, WAIT).await.unwrap();
        fleet
            .publish_and_switch_to_steady(&profiles(&AL_RAMLA), &["stockdesk"])
            .await
            .unwrap();
        Self { fleet, relays }
    }

    fn set(&self, cut: bool) {
        for (relay, cut_from) in &self.relays {
            relay.set_link_state(LinkState {
                blocked: cut,
                blocked_subnet: *cut_from,
                delay_ms: 0,
            });
        }
    }
}

#[ntex::test]
async fn a_cut_region_keeps_its_profile_and_takes_up_the_change_when_healed() {
    let cut = CutFleet::start("cut").await;
    cut.set(true);
    let fleet = &cut.fleet;
    let during = fleet
        .figway(&["switch", "stockdesk", "fallback", "--wait", "--wait-s", "4"])
        .await
        .unwrap();
    assert_eq!(during.status.code(), Some(2));
    let told = String::from_utf8_lossy(&during.stderr).into_owned();
    assert!(
        told.contains("silent: sohar-a") && told.contains("silent: sohar-b"),
        "{told}"
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
    // Calls in the region that is cut off are still served there.
    let node = fleet.hosts[2].call_address();
    let url = format!("http://{node}/stock");
    let reply = fleet
        .get(&url, &[("x-figway-service", "stockdesk")])
        .await
        .unwrap();
    assert_eq!(reply.outcome, "answered");
    cut.set(false);
    fleet
        .wait_in_force("stockdesk", "fallback", WAIT)
        .await
        .unwrap();
    fleet.wait_live(4, WAIT).await.unwrap();
}
