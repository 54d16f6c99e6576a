//! End-to-end tests of the operators' own profiles after the store came back older. Nodes run as real
//! processes; store and back ends are emulated.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    Headers,
    OutboundRequest,
    Transport as _, //
};
use figway_profile::{
    Change,
    ChangeRecord, //
};
use figway_testbed::site::store::StoreFaults;
use figway_testbed::site::{
    config,
    Site,
    ORDERS,
    READS, //
};
use figway_types::{
    ChangeId,
    LogEra,
    Offset, //
};

use crate::common::{
    assert_served,
    single_use_client,
    wait_site_ready, //
};

/// Topic of the operators' own changes.
const CHANGE_TOPIC: &str = "figway-changes";

/// Longest time until a change is in force on every node.
const IN_FORCE_MAX: Duration = Duration::from_secs(5);

/// Time after which every reader of the change stream has had an answer.
const LONG_POLL: Duration = Duration::from_millis(2_300);

/// Profile that every service can follow.
const PROFILE: &str =
    "kinds:\n  - {name: all, method: GET, path_prefix: /, idempotent: true, worth: 1, budget_ms: 500}\n";

/// Appends a change as an operator does.
fn append(site: &Site, change: Change) {
    let record = ChangeRecord {
        change_id: ChangeId(figway_types::entropy()),
        restores: None,
        author: "operator".to_owned(),
        change,
    };
    site.store
        .append_own_record(CHANGE_TOPIC, &record.to_body());
}

fn publish(site: &Site, profile: &str) {
    append(
        site,
        Change::Publish {
            profile: profile.to_owned(),
            expected_version_offset: Offset(0),
            body: PROFILE.to_owned(),
        },
    );
}

fn switch(site: &Site, service: &str, expected_pick_offset: Offset, profile: &str) {
    append(
        site,
        Change::Switch {
            service: service.to_owned(),
            expected_pick_offset,
            profile: profile.to_owned(),
        },
    );
}

/// Returns the name of the profile in force for `service` on the node of the host at `index`.
async fn profile_in_force(site: &Site, index: usize, service: &str) -> Option<String> {
    let client = single_use_client(1_024 * 1_024);
    let status = OutboundRequest {
        address: &site.hosts[index].call_address,
        method: "GET",
        path: "/figway/status",
        headers: &Headers::default(),
        body: &Default::default(),
        body_bytes_per_s: None,
        deadline: Instant::now() + Duration::from_secs(1),
        echo_header: None,
        idempotent: true,
    };
    let answer = client.send(&status).await.ok()?;
    let status: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let profile = status["services"][service]["profile"].as_str()?;
    Some(profile.to_owned())
}

async fn assert_in_force(site: &Site, service: &str, profile: &str) {
    let deadline = Instant::now() + IN_FORCE_MAX;
    for index in 0..site.hosts.len() {
        loop {
            let in_force = profile_in_force(site, index, service).await;
            if in_force.as_deref() == Some(profile) {
                break;
            }
            assert!(
                Instant::now() < deadline,
                "host {index}: {service} follows {in_force:?}, not {profile}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn restart_all_nodes(site: &mut Site) {
    for host in &mut site.hosts {
        host.node = None;
    }
    for host in &mut site.hosts {
        host.start_node().unwrap();
    }
}

#[ntex::test]
async fn a_switch_that_the_store_lost_is_in_force_also_after_all_nodes_restarted() {
    let mut site = Site::start("lost-switch", 4).await.unwrap();
    wait_site_ready(&site).await;
    publish(&site, "steady");
    switch(&site, READS, Offset(0), "steady");
    assert_in_force(&site, READS, "steady").await;
    let copy = site.store.copy();
    publish(&site, "trial");
    switch(&site, ORDERS, Offset(0), "trial");
    assert_in_force(&site, ORDERS, "trial").await;
    site.store.restore(&copy);
    tokio::time::sleep(IN_FORCE_MAX).await;
    assert_in_force(&site, ORDERS, "trial").await;
    // Only the store still knows it then.
    restart_all_nodes(&mut site);
    assert_in_force(&site, ORDERS, "trial").await;
    assert_in_force(&site, READS, "steady").await;
    // A second loss, of what was restored, with the store away for a moment.
    site.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    site.store.restore(&copy);
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.store.set_faults(StoreFaults::default());
    tokio::time::sleep(IN_FORCE_MAX).await;
    restart_all_nodes(&mut site);
    assert_in_force(&site, ORDERS, "trial").await;
}

#[ntex::test]
async fn changes_are_applied_in_time_when_the_restored_log_has_grown_past_the_lost_one() {
    let mut site = Site::start("regrown", 4).await.unwrap();
    wait_site_ready(&site).await;
    publish(&site, "steady");
    switch(&site, READS, Offset(0), "steady");
    assert_in_force(&site, READS, "steady").await;
    let steady_offset = Offset::in_era(LogEra(1), 2);
    let copy = site.store.copy();
    publish(&site, "trial");
    switch(&site, READS, steady_offset, "trial");
    assert_in_force(&site, READS, "trial").await;
    site.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.store.restore(&copy);
    // As many records as were lost, and one more.
    publish(&site, "fallback");
    switch(&site, ORDERS, Offset(0), "fallback");
    // A switch of the same service since the loss goes before the lost one.
    switch(&site, READS, steady_offset, "fallback");
    site.store.set_faults(StoreFaults::default());
    assert_in_force(&site, ORDERS, "fallback").await;
    assert_in_force(&site, READS, "fallback").await;
    tokio::time::sleep(IN_FORCE_MAX).await;
    restart_all_nodes(&mut site);
    assert_in_force(&site, ORDERS, "fallback").await;
    assert_in_force(&site, READS, "fallback").await;
}

#[ntex::test]
async fn a_host_that_is_added_after_the_store_lost_all_contacts_joins_the_others() {
    let mut site = Site::start("lost-contacts", 4).await.unwrap();
    wait_site_ready(&site).await;
    site.store
        .restore(&site.store.copy().without_topic("figway-contacts"));
    tokio::time::sleep(IN_FORCE_MAX).await;
    site.add_host().await.unwrap();
    let caller = site.caller(4);
    let deadline = Instant::now() + IN_FORCE_MAX;
    // No back end of this service is beside the new host.
    while caller.call("POST", "/orders/1").await.status != 200 {
        assert!(Instant::now() < deadline, "the host knows no other one");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[ntex::test]
async fn an_era_that_falls_or_is_no_number_is_logged_and_nothing_is_lost() {
    let site = Site::start("wrong-era", 4).await.unwrap();
    wait_site_ready(&site).await;
    site.store.restore(&site.store.copy());
    publish(&site, "steady");
    switch(&site, READS, Offset(0), "steady");
    assert_in_force(&site, READS, "steady").await;
    let wrong_eras = ["1", "0", "second", "-2", "", "99999999999", "70000"];
    for (index, text) in wrong_eras.into_iter().enumerate() {
        site.store.set_wrong_era(Some(text));
        let version = 2 + index as u32;
        let path = format!("/v{version}/");
        site.store.publish(&config(version, &path));
        assert_served(&site, &format!("{path}1"), IN_FORCE_MAX).await;
        tokio::time::sleep(LONG_POLL).await;
        assert_in_force(&site, READS, "steady").await;
    }
    site.store.set_wrong_era(None);
    switch(&site, ORDERS, Offset(0), "steady");
    assert_in_force(&site, ORDERS, "steady").await;
    let mut logs = String::new();
    for host in &site.hosts {
        logs.push_str(&host.log().unwrap());
    }
    for line in ["store era of an answer falls", "store era ignored"] {
        assert!(logs.contains(line), "no line says: {line}");
    }
}
