//! `figway explain --host` asks a running node where a request would go.
//!
//! The tests guard against an answer that differs from what the node does, and against a question that
//! sends something.

use std::process::{
    Command,
    Output, //
};
use std::time::Duration;

use figway_testbed::process::Programs;
use figway_testbed::site::{
    config,
    Site,
    HOST_HEADER, //
};
use serde_json::{
    json,
    Value, //
};

/// Time in which a published configuration is in force.
const SPREAD_WAIT: Duration = Duration::from_millis(2_000);

fn ask(site: &Site, path: &str, flags: &[&str]) -> Output {
    let node = &site.hosts[0].call_address;
    let mut command = Command::new(Programs::find().unwrap().figway);
    command.args(["explain", path, "--host", HOST_HEADER, "--node", node]);
    let output = command.args(flags).output().unwrap();
    println!("{}", String::from_utf8_lossy(&output.stdout));
    output
}

fn run_count(site: &Site) -> usize {
    let mut count = 0;
    for host in &site.hosts {
        count += host.backend.run_count();
    }
    count
}

#[ntex::test]
async fn a_node_tells_where_a_request_would_go_and_sends_nothing() {
    let site = Site::start("asking", 4).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let mut with_uploads = config(2, "/reads/");
    with_uploads["routes"]["r-orders"]["kind"] = json!("upload");
    site.store.publish(&with_uploads);
    tokio::time::sleep(SPREAD_WAIT).await;
    for _ in 0..20 {
        let result = site.caller(0).call("GET", "/reads/1").await;
        assert_eq!(result.status, 200, "{result:?}");
    }
    let before = run_count(&site);
    let output = ask(
        &site,
        "/reads/7?a=b&c=d",
        &["--json", "--body-bytes", "300"],
    );
    assert!(output.status.success(), "{output:?}");
    let explained: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(explained["route"], "r-reads");
    assert_eq!(explained["overload_control"], true);
    let service = &explained["services"][0];
    let targets = service["targets"].as_array().unwrap();
    assert!(!targets.is_empty(), "{explained}");
    let picked = targets
        .iter()
        .find(|target| target["node"] == service["picked"])
        .expect("the pick is one of the targets");
    for name in ["run_ms", "wait_ms", "path_ms", "price", "loss"] {
        assert!(picked[name].is_number(), "{name} {explained}");
    }
    let printed = ask(&site, "/reads/7", &[]);
    let text = String::from_utf8_lossy(&printed.stdout).into_owned();
    assert!(text.contains("route r-reads customer none"), "{text}");
    let output = ask(&site, "/nowhere", &[]);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("no-route"));
    assert_eq!(run_count(&site), before);
}

/// Guards against an answer for a customer that the table doesn't hold, and against one without the
/// customer's limit.
#[ntex::test]
async fn a_node_tells_the_limit_of_a_customer_and_refuses_an_unknown_one() {
    let site = Site::start("askcust", 4).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let mut with_customers = config(2, "/reads/");
    with_customers["tenants"] = json!({
        "first": {"apiKeys": ["k1"], "priority": 0, "ratePerS": 50, "burstSize": 60},
    });
    site.store.publish(&with_customers);
    tokio::time::sleep(SPREAD_WAIT).await;
    let output = ask(&site, "/reads/1", &["--json", "--customer", "first"]);
    let explained: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(explained["customer"], "first");
    assert_eq!(explained["priority"], 0);
    assert!(explained["limit"].is_object(), "{explained}");
    let left = &explained["limit_left"];
    assert!(left["own_share_count"].is_number(), "{explained}");
    assert!(left["coordinator"].is_string(), "{explained}");
    assert_eq!(left["admitted_ratio"], 1.0, "{explained}");
    assert!(!explained.to_string().contains("k1"), "{explained}");
    for (flags, why) in [
        (&["--customer", "second"][..], "unknown-customer"),
        (&[][..], "customer-required"),
    ] {
        let output = ask(&site, "/reads/1", flags);
        assert_eq!(output.status.code(), Some(3), "{output:?}");
        assert!(String::from_utf8_lossy(&output.stdout).contains(why));
    }
}
