//! Heartbeats of other writers, met by real nodes.
//!
//! The tests guard against one such heartbeat that takes the place of the back end which is there, so that
//! it gets no request any more.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::site::{
    Site,
    ORDERS,
    READS, //
};
use serde_json::{
    json,
    Value, //
};

use crate::common::{
    assert_gets_work,
    get_text,
    post_heartbeat,
    restart_node,
    wait_site_ready, //
};

/// Time within which a back end that is there gets work, whatever another writer has sent: three heartbeats
/// of the other run are missing, then two of its own come, at 500 ms each.
const REGAINED_MAX: Duration = Duration::from_millis(4_000);

/// A year, in milliseconds.
const YEAR_MS: u64 = 31_536_000_000;

/// Pause between two heartbeats of a series.
const SERIES_PERIOD: Duration = Duration::from_millis(100);

/// Length of a series of heartbeats.
const SERIES_TIME: Duration = Duration::from_secs(5);

/// Returns the heartbeat with some fields replaced.
fn with_fields(heartbeat: &Value, fields: &[(&str, Value)]) -> Value {
    let mut changed = heartbeat.clone();
    for (name, value) in fields {
        changed[*name] = value.clone();
    }
    changed
}

fn born_of(heartbeat: &Value) -> u64 {
    heartbeat["born"].as_u64().expect("it has a start")
}

#[ntex::test]
async fn a_heartbeat_that_names_another_service_takes_no_back_end_away() {
    let site = Site::start("foreign-service", 4).await.unwrap();
    wait_site_ready(&site).await;
    for host in &site.hosts {
        let backend = &host.backend;
        let heartbeat = backend.heartbeat(1, false);
        let later = json!(born_of(&heartbeat) + 1_000);
        let other = if backend.service() == READS {
            ORDERS
        } else {
            READS
        };
        let own_id = backend.instance_name();
        let unknown = ("service", json!("probe-tool"));
        for (instance, fields) in [
            ("i-probe", vec![unknown.clone(), ("born", later.clone())]),
            (
                "i-probe",
                vec![("service", json!(other)), ("born", later.clone())],
            ),
            (
                "i-probe",
                vec![
                    unknown.clone(),
                    ("born", later.clone()),
                    ("state", json!("draining")),
                ],
            ),
            (
                "i-probe",
                vec![
                    unknown.clone(),
                    ("born", json!(born_of(&heartbeat) + YEAR_MS)),
                ],
            ),
            (&own_id, vec![unknown.clone(), ("born", later.clone())]),
            (
                &own_id,
                vec![unknown.clone(), ("sequence", json!(u64::MAX))],
            ),
            (&own_id, vec![unknown.clone(), ("state", json!("draining"))]),
        ] {
            let body = with_fields(&heartbeat, &fields).to_string();
            let status = post_heartbeat(backend.announce_address(), instance, body).await;
            assert_eq!(status, 400, "{fields:?}");
        }
    }
    for host in &site.hosts {
        assert_gets_work(&site, &host.backend, REGAINED_MAX).await;
        let log = host.log().unwrap();
        assert!(!log.contains("target lost"), "{log}");
        let metrics = get_text(&host.metrics_address, "/metrics").await;
        let counted = metrics
            .lines()
            .find(|line| line.contains("announcements") && line.contains("refused"));
        assert!(
            counted.is_some_and(|line| line.ends_with(" 7")),
            "{metrics}"
        );
    }
}

#[ntex::test]
async fn a_foreign_heartbeat_before_the_first_one_of_a_back_end_takes_no_place() {
    let mut site = Site::start("foreign-first", 2).await.unwrap();
    wait_site_ready(&site).await;
    site.hosts[0].backend.heartbeat_paused.set(true);
    restart_node(&mut site, 0).await;
    let backend = &site.hosts[0].backend;
    let heartbeat = backend.heartbeat(1, false);
    let fields = [
        ("service", json!("probe-tool")),
        ("born", json!(born_of(&heartbeat) + YEAR_MS)),
    ];
    let body = with_fields(&heartbeat, &fields).to_string();
    let deadline = Instant::now() + REGAINED_MAX;
    let mut status = 0;
    while status == 0 {
        assert!(Instant::now() < deadline, "the node does not start");
        status = post_heartbeat(backend.announce_address(), "i-probe", body.clone()).await;
    }
    assert_eq!(status, 400);
    backend.heartbeat_paused.set(false);
    assert_gets_work(&site, backend, REGAINED_MAX).await;
}

#[ntex::test]
async fn a_series_of_foreign_heartbeats_is_logged_once_and_takes_no_place() {
    let site = Site::start("foreign-series", 2).await.unwrap();
    wait_site_ready(&site).await;
    let backend = &site.hosts[0].backend;
    let began_at = Instant::now();
    let mut sequence = 0;
    while began_at.elapsed() < SERIES_TIME {
        sequence += 1;
        let heartbeat = backend.heartbeat(sequence, false);
        let body = with_fields(&heartbeat, &[("service", json!("probe-tool"))]).to_string();
        let address = backend.announce_address();
        assert_eq!(post_heartbeat(address, "i-probe", body).await, 400);
        tokio::time::sleep(SERIES_PERIOD).await;
    }
    assert_gets_work(&site, backend, REGAINED_MAX).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let log = site.hosts[0].log().unwrap();
    let refused = log
        .lines()
        .filter(|line| line.contains("heartbeat refused"));
    let lines: Vec<&str> = refused.collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(
        lines[0].contains("the target of this host runs reads"),
        "{lines:?}"
    );
}

/// All but the start, the id or the sequence is right here, as in the heartbeat of a new run.
#[ntex::test]
async fn a_back_end_that_is_there_regains_its_place_from_one_that_only_announced_itself() {
    let site = Site::start("foreign-run", 4).await.unwrap();
    wait_site_ready(&site).await;
    let backend = &site.hosts[0].backend;
    let own_id = backend.instance_name();
    let heartbeat = backend.heartbeat(1, false);
    let later = json!(born_of(&heartbeat) + 1_000);
    let far = json!(born_of(&heartbeat) + YEAR_MS);
    for (instance, fields) in [
        ("i-other", vec![("born", later.clone())]),
        ("i-far", vec![("born", far.clone())]),
        (
            "i-leaving",
            vec![
                ("born", json!(born_of(&heartbeat) + 2 * YEAR_MS)),
                ("state", json!("draining")),
            ],
        ),
        (&own_id, vec![("born", later)]),
        (&own_id, vec![("sequence", json!(1_000_000_000))]),
    ] {
        let body = with_fields(&heartbeat, &fields).to_string();
        post_heartbeat(backend.announce_address(), instance, body).await;
        assert_gets_work(&site, backend, REGAINED_MAX).await;
        // The next one comes when the back end is in its place.
        tokio::time::sleep(REGAINED_MAX).await;
    }
    let log = site.hosts[0].log().unwrap();
    assert!(log.contains("target overruled"), "{log}");
    // A real new run is served at once.
    backend.restart();
    backend.send_heartbeat().await;
    assert_gets_work(&site, backend, Duration::from_secs(1)).await;
}

/// Guards against another writer that goes on naming a run which isn't there, under one id.
#[ntex::test]
async fn a_back_end_keeps_its_place_beside_a_series_of_heartbeats_of_a_run_that_is_not_there() {
    let site = Site::start("foreign-series-run", 2).await.unwrap();
    wait_site_ready(&site).await;
    let backend = &site.hosts[0].backend;
    let born = born_of(&backend.heartbeat(1, false)) + 1_000;
    let announce = async {
        let began_at = Instant::now();
        let mut sequence = 0;
        while began_at.elapsed() < 2 * SERIES_TIME {
            sequence += 1;
            let heartbeat = backend.heartbeat(sequence, false);
            let body = with_fields(&heartbeat, &[("born", json!(born))]).to_string();
            post_heartbeat(backend.announce_address(), "i-other", body).await;
            tokio::time::sleep(SERIES_PERIOD).await;
        }
    };
    let call = async {
        let began_at = Instant::now();
        let (mut late_count, mut served_count) = (0, 0);
        while began_at.elapsed() < 2 * SERIES_TIME {
            let result = site.caller(1).call("GET", "/reads/1").await;
            if began_at.elapsed() > SERIES_TIME {
                late_count += 1;
                served_count += usize::from(result.status == 200);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        (late_count, served_count)
    };
    let ((), (late_count, served_count)) = futures::future::join(announce, call).await;
    assert!(late_count > 50, "{late_count}");
    assert_eq!(served_count, late_count);
}
