//! End-to-end test with real processes: publishes profiles, switches services to them, forwards a
//! call across two nodes, and switches to another profile.
//!
//! The test guards against a break between two parts that pass their own tests: the commands, the
//! log, gossip, forwarding between nodes, and the status that nodes report.

use std::time::Duration;

use figway_testbed::deployment::AL_RAMLA;
use figway_testbed::fleet::{
    Fleet,
    HostSpec, //
};

const WAIT: Duration = Duration::from_secs(20);

fn profile_path(name: &str) -> String {
    format!(
        "{}/../../deploy/al-ramla/profiles/{name}.yaml",
        env!("CARGO_MANIFEST_DIR")
    )
}

fn host_spec<'a>(name: &'a str, zone: usize, service: &'a str) -> HostSpec<'a> {
    HostSpec {
        name,
        zone: AL_RAMLA.zones[zone],
        service,
        slot_count: 4,
        labels: &[],
        control_ip: "127.0.0.1",
        extra_settings: "",
    }
}

#[ntex::test]
async fn a_call_is_forwarded_across_two_nodes_and_a_switch_is_in_force_on_both() {
    let mut fleet = Fleet::start("whole-path", "muscat").await.unwrap();
    fleet
        .add_host(&host_spec("muscat-a-1", 0, "stockdesk"))
        .unwrap();
    fleet
        .add_host(&host_spec("sohar-a-1", 2, "orderbook"))
        .unwrap();
    fleet.wait_live(2, WAIT).await.unwrap();

    for name in ["steady", "fallback"] {
        fleet
            .figway_ok(&["publish", name, &profile_path(name)])
            .await
            .unwrap();
    }
    for service in ["stockdesk", "orderbook"] {
        fleet
            .figway_ok(&["switch", service, "steady", "--wait"])
            .await
            .unwrap();
    }

    let caller_address = fleet.hosts[0].call_address().to_owned();
    let reply = fleet
        .post(
            &format!("http://{caller_address}/orders?n=7"),
            &[("x-figway-service", "orderbook"), ("x-call-id", "order-7")],
            "three sieves",
        )
        .await
        .unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.outcome, "answered");
    let answer = reply.json().unwrap();
    assert_eq!(answer["target"], "sohar-a-1");
    assert_eq!(answer["call_id"], "order-7");
    assert_eq!(answer["echo"], "three sieves");
    assert_eq!(fleet.journal(1).await.unwrap().len(), 1);

    let printed = fleet
        .figway_ok(&["switch", "orderbook", "fallback", "--wait", "--json"])
        .await
        .unwrap();
    assert!(printed.contains("\"outcome\":\"in-force\""), "{printed}");
    for index in 0..2 {
        let status = fleet.status(index).await.unwrap();
        assert_eq!(status["services"]["orderbook"]["profile"], "fallback");
        assert_eq!(status["services"]["stockdesk"]["profile"], "steady");
    }
}
