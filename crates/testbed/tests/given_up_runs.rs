//! End-to-end test of runs that were given up and go on at their back end. Nodes run as real processes;
//! store and back ends are emulated.

mod common;

use std::time::Duration;

use figway_testbed::site::Site;

use crate::common::wait_site_ready;

#[ntex::test]
async fn calls_of_a_run_that_was_given_up_are_still_nested_calls() {
    let site = Site::start("given-up", 4).await.unwrap();
    wait_site_ready(&site).await;
    for host in &site.hosts {
        host.backend.slow_ms.set(700);
    }
    let caller = site.caller(1);
    let call = caller.call("GET", "/reads/parent");
    let left = tokio::time::timeout(Duration::from_millis(150), call).await;
    assert!(left.is_err(), "the request was answered too soon");
    let mut parent = None;
    for host in &site.hosts {
        host.backend.slow_ms.set(0);
        let runs = host.backend.runs();
        let run = runs
            .iter()
            .find(|run| run.request_line == "GET /reads/parent");
        if let Some(run) = run {
            parent = Some((host, run.id.clone()));
        }
    }
    let (host, parent_id) = parent.expect("a back end runs the request");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let nested_id = format!("{parent_id}.1");
    let index = site
        .hosts
        .iter()
        .position(|other| other.name == host.name)
        .expect("it is one of them");
    let result = site
        .caller(index)
        .call_as(&nested_id, "GET", "/reads/nested")
        .await;
    assert_eq!(result.status, 200, "{result:?}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let log = host.log().unwrap();
    let ended = log
        .lines()
        .find(|line| line.contains("call ended") && line.contains(&nested_id));
    let ended = ended.expect("the call is logged");
    assert!(ended.contains("\"rank\":0,"), "{ended}");
}
