//! The whole path with real processes: publish, switch, a call over two nodes, and a switch to
//! another profile that every node reports in force.

use std::time::Duration;

use figway_testbed::deployment::AL_RAMLA;
use figway_testbed::fleet::{
    Fleet,
    HostSpec, //
};

const WAIT: Duration = Duration::from_secs(20);

fn profile(name: &str) -> String {
    format!(
        "{}/../../deploy/al-ramla/profiles/{name}.yaml",
        env!("CARGO_MANIFEST_DIR")
    )
}

fn spec<'a>(name: &'a str, zone: usize, service: &'a str) -> HostSpec<'a> {
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
async fn a_call_crosses_two_nodes_and_a_switch_holds_on_both() {
    let mut fleet = Fleet::start("whole-path", "muscat").await.unwrap();
    fleet.add_host(&spec("muscat-a-1", 0, "stockdesk")).unwrap();
    fleet.add_host(&spec("sohar-a-1", 2, "orderbook")).unwrap();
    fleet.wait_live(2, WAIT).await.unwrap();

    for name in ["steady", "fallback"] {
        fleet
            .figway_ok(&["publish", name, &profile(name)])
            .await
            .unwrap();
    }
    for service in ["stockdesk", "orderbook"] {
        fleet
            .figway_ok(&["switch", service, "steady", "--wait"])
            .await
            .unwrap();
    }

    let caller_side = fleet.hosts[0].call_address().to_owned();
    let reply = fleet
        .post(
            &format!("http://{caller_side}/orders?n=7"),
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
