//! Odd entries of other writers, met by real nodes.
//!
//! The tests guard against a node that ends, stops serving, or stops hearing its own back end because
//! of one odd entry among those of the back ends or of the operator.

mod common;

use std::time::Duration;

use figway_testbed::site::{
    config,
    Site, //
};
use serde_json::json;

use crate::common::{
    assert_gets_work,
    assert_served,
    post,
    post_heartbeat,
    wait_site_ready, //
};

/// Time in which a node whose back end it no longer hears gives it up.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(4_000);

/// Depth of the nested entry.
const DEEP_COUNT: usize = 20_000;

#[ntex::test]
async fn an_odd_heartbeat_neither_ends_a_node_nor_takes_its_back_end_away() {
    let mut site = Site::start("odd-heartbeat", 4).await.unwrap();
    wait_site_ready(&site).await;
    let deep = "[".repeat(DEEP_COUNT) + &"]".repeat(DEEP_COUNT);
    for host in &site.hosts {
        let entry = json!({
            "service": host.backend.service(), "address": host.wire.address, "zone": "east", "version": "v1",
            "slots": 12, "state": "ready", "coldLeft": "0ms", "sequence": 1,
            "born": 1_700_000_000_000_u64,
        });
        let mut bodies = vec![deep.clone(), format!("{{\"service\":{deep}}}")];
        for (field, value) in [
            ("born", json!(u64::MAX)),
            ("born", json!(9_000_000_000_000_000_u64)),
            ("slots", json!(u32::MAX)),
            ("sequence", json!(-1)),
            ("address", json!("127.0.0.1:99999")),
            ("address", json!("127.0.0.1:1")),
            ("coldLeft", json!(1e300)),
            ("state", json!("asleep")),
            ("service", json!([1, 2])),
        ] {
            let mut odd = entry.clone();
            odd[field] = value;
            bodies.push(odd.to_string());
        }
        bodies.push(entry.to_string().replace("\"slots\":12", "\"slots\":1e400"));
        for body in bodies {
            let address = host.backend.announce_address();
            let status = post_heartbeat(address, "i-odd", body.clone()).await;
            let shown: String = body.chars().take(120).collect();
            assert_eq!(status, 400, "{shown}");
        }
    }
    tokio::time::sleep(GIVEN_UP_AFTER).await;
    assert_served(&site, "/reads/1", GIVEN_UP_AFTER).await;
    for host in &mut site.hosts {
        assert!(!host.node.as_mut().unwrap().has_ended(), "{}", host.name);
    }
    for host in &site.hosts {
        assert_gets_work(&site, &host.backend, GIVEN_UP_AFTER).await;
    }
}

#[ntex::test]
async fn a_deregistration_with_an_odd_start_takes_no_back_end_away() {
    let site = Site::start("odd-departure", 4).await.unwrap();
    wait_site_ready(&site).await;
    let backend = &site.hosts[0].backend;
    let path = format!("/instances/{}/deregister", backend.instance_name());
    for born in [u64::MAX, 9_000_000_000_000_000] {
        let body = json!({ "born": born }).to_string();
        let status = post(backend.announce_address(), &path, body).await;
        assert_eq!(status, 400, "{born}");
    }
    assert_gets_work(&site, backend, GIVEN_UP_AFTER).await;
}

#[ntex::test]
async fn a_time_of_any_size_in_a_configuration_is_served() {
    let mut site = Site::start("odd-time", 4).await.unwrap();
    wait_site_ready(&site).await;
    let mut odd = config(2, "/odd/");
    odd["routes"]["r-reads"]["timeout"] = "1e300s".into();
    odd["routes"]["r-reads"]["targetLatency"] = "18446744073709551615ms".into();
    odd["routes"]["r-reads"]["priority"] = u32::MAX.into();
    odd["limits"]["idleTimeout"] = "9e17s".into();
    odd["limits"]["headerTimeout"] = "18446744073709551615ms".into();
    site.store.append_operator_record("notes", &[0xff; 300]);
    site.store.publish(&odd);
    assert_served(&site, "/odd/1", GIVEN_UP_AFTER).await;
    for index in 0..site.hosts.len() {
        let result = site.caller(index).call("POST", "/orders/1").await;
        assert_eq!(result.status, 200, "host {index}: {result:?}");
    }
    for host in &mut site.hosts {
        assert!(!host.node.as_mut().unwrap().has_ended(), "{}", host.name);
        let log = host.log().unwrap();
        assert!(!log.contains("panicked"), "{log}");
    }
}
