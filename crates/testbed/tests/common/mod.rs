//! Helpers shared by the failure tests.

#![allow(dead_code)]

pub(crate) mod crash;
pub(crate) mod customers;
pub(crate) mod leaving;
pub(crate) mod raw;

use std::path::PathBuf;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    Bytes,
    ClientLimits,
    Headers,
    HttpClient,
    OutboundRequest,
    Transport as _, //
};
use figway_testbed::deployment::{
    Deployment,
    Zone,
    AL_RAMLA,
    VERBAND, //
};
use figway_testbed::fleet::Fleet;
use figway_testbed::mesh_farm::{
    Farm,
    FarmSpec, //
};
use figway_testbed::process::{
    Process,
    Programs,
    Signal, //
};
use figway_testbed::site::backend::Backend;
use figway_testbed::site::caller::CallResult;
use figway_testbed::site::Site;
use tokio::task::JoinHandle;

/// Longest wait until nodes converge on a membership or a profile; the stated goal is 20 s.
pub(crate) const WAIT: Duration = Duration::from_secs(20);

/// Pause between two requests of one reader.
const CALL_PERIOD: Duration = Duration::from_millis(20);

/// Returns the folder of a deployment's profiles.
pub(crate) fn profiles_dir(deployment: &Deployment) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy")
        .join(deployment.name)
        .join("profiles")
}

/// Starts the Al Ramla deployment with one host for each service in each of the first `zone_count`
/// zones, and switches the services to the profile steady.
pub(crate) async fn start_al_ramla(name: &str, services: &[&str], zone_count: usize) -> Fleet {
    let fleet = Fleet::start_deployment(name, &AL_RAMLA, services, zone_count, false)
        .await
        .unwrap();
    fleet
        .publish_and_switch_to_steady(&profiles_dir(&AL_RAMLA), services)
        .await
        .unwrap();
    fleet
}

/// Starts the Verband deployment with one host for each service in each of the first `zone_count`
/// zones, and switches the services to the profile steady.
pub(crate) async fn start_verband(name: &str, services: &[&str], zone_count: usize) -> Fleet {
    let fleet = Fleet::start_deployment(name, &VERBAND, services, zone_count, false)
        .await
        .unwrap();
    fleet
        .publish_and_switch_to_steady(&profiles_dir(&VERBAND), services)
        .await
        .unwrap();
    fleet
}

/// Starts a log and a farm of control planes in `zones`, and waits until they know each other.
pub(crate) async fn start_farm(node_count: usize, zones: &[Zone]) -> (Process, Farm) {
    let programs = Programs::find().expect("the programs are built");
    let log = Process::start(&programs.testbed, &["log"], None).expect("the log starts");
    let farm = Farm::start(&FarmSpec {
        node_count,
        service_count: 4,
        log_url: format!("http://{}", log.address("log")),
        zones: zones.to_vec(),
    })
    .expect("the farm starts");
    farm.wait_joined(Duration::from_secs(60))
        .await
        .expect("the nodes find each other");
    (log, farm)
}

/// Sends `signal` to the node of each host.
pub(crate) fn signal_nodes(fleet: &Fleet, signal: Signal) {
    for host in &fleet.hosts {
        host.node.signal(signal).unwrap();
    }
}

/// Waits until requests for both services succeed at every node.
pub(crate) async fn wait_site_ready(site: &Site) {
    let deadline = Instant::now() + Duration::from_secs(10);
    for index in 0..site.hosts.len() {
        let caller = site.caller(index);
        for (method, path) in [("GET", "/reads/1"), ("POST", "/orders/1")] {
            loop {
                let result = caller.call(method, path).await;
                if result.status == 200 {
                    break;
                }
                assert!(Instant::now() < deadline, "host {index} {path}: {result:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Waits until every node knows all others.
pub(crate) async fn wait_site_joined(site: &Site) {
    let deadline = Instant::now() + WAIT;
    let expected = format!("figway_members {}\n", site.hosts.len());
    for host in &site.hosts {
        while !get_text(&host.metrics_address, "/metrics")
            .await
            .contains(&expected)
        {
            assert!(Instant::now() < deadline, "{} lacks members", host.name);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Waits until reads of `path` are served at every node, at most for `within`.
pub(crate) async fn assert_served(site: &Site, path: &str, within: Duration) {
    let deadline = Instant::now() + within;
    for index in 0..site.hosts.len() {
        let caller = site.caller(index);
        while caller.call("GET", path).await.status != 200 {
            assert!(
                Instant::now() < deadline,
                "host {index} does not serve {path}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Posts a heartbeat as another writer does. Returns the status, or 0 without an answer.
pub(crate) async fn post_heartbeat(address: &str, instance: &str, body: String) -> u16 {
    post(address, &format!("/instances/{instance}/heartbeat"), body).await
}

/// Posts `body`. Returns the status, or 0 without an answer.
pub(crate) async fn post(address: &str, path: &str, body: String) -> u16 {
    let client = single_use_client(64 * 1_024);
    let outbound = OutboundRequest {
        address,
        method: "POST",
        path,
        headers: &Headers::default(),
        body: &body.into(),
        body_bytes_per_s: None,
        deadline: Instant::now() + Duration::from_secs(2),
        echo_header: None,
        idempotent: true,
    };
    client
        .send(&outbound)
        .await
        .map_or(0, |answer| answer.status)
}

/// Sends requests of both services until the back end runs one, and asserts that it does in time.
pub(crate) async fn assert_gets_work(site: &Site, backend: &Backend, within: Duration) {
    let before = backend.run_count();
    let deadline = Instant::now() + within;
    while backend.run_count() == before {
        let name = backend.instance_name();
        assert!(Instant::now() < deadline, "{name} gets no work");
        for index in 0..site.hosts.len() {
            site.caller(index).call("GET", "/reads/1").await;
            site.caller(index).call("POST", "/orders/1").await;
        }
    }
}

/// Returns a client for a single request, whose answer has at most `body_max_bytes` bytes.
pub(crate) fn single_use_client(body_max_bytes: usize) -> HttpClient {
    HttpClient::new(ClientLimits {
        idle_max_count: 0,
        idle_max_ms: 100,
        non_idempotent_idle_max_ms: 100,
        connect_max_ms: 500,
        body_max_bytes,
        local_ip: None,
    })
}

/// Returns the body of `path` at `address` as text.
pub(crate) async fn get_text(address: &str, path: &str) -> String {
    let client = single_use_client(1_024 * 1_024);
    let outbound = OutboundRequest {
        address,
        method: "GET",
        path,
        headers: &Headers::default(),
        body: &Bytes::new(),
        body_bytes_per_s: None,
        deadline: Instant::now() + Duration::from_secs(2),
        echo_header: None,
        idempotent: true,
    };
    let answer = client.send(&outbound).await.unwrap();
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// Returns the number of requests that the back end ran from `since` on.
pub(crate) fn run_count_since(backend: &Backend, since: Instant) -> usize {
    let runs = backend.runs();
    runs.iter().filter(|run| run.started_at >= since).count()
}

/// Starts a caller at the host at `index` that reads once in [`CALL_PERIOD`] for `duration`.
pub(crate) fn start_reader(
    site: &Site,
    index: usize,
    duration: Duration,
) -> JoinHandle<Vec<CallResult>> {
    let caller = Rc::new(site.caller(index));
    tokio::task::spawn_local(async move {
        let ends_at = Instant::now() + duration;
        let mut calls = Vec::new();
        while Instant::now() < ends_at {
            let caller = Rc::clone(&caller);
            calls.push(tokio::task::spawn_local(async move {
                caller.call("GET", "/reads/1").await
            }));
            tokio::time::sleep(CALL_PERIOD).await;
        }
        let mut results = Vec::new();
        for call in calls {
            results.push(call.await.unwrap());
        }
        results
    })
}

/// Starts a reader at each of the first `host_count` hosts.
pub(crate) fn start_readers(
    site: &Site,
    host_count: usize,
    duration: Duration,
) -> Vec<JoinHandle<Vec<CallResult>>> {
    let mut readers = Vec::new();
    for index in 0..host_count {
        readers.push(start_reader(site, index, duration));
    }
    readers
}

/// Waits for the readers and returns all their results.
pub(crate) async fn results_of(readers: Vec<JoinHandle<Vec<CallResult>>>) -> Vec<CallResult> {
    let mut results = Vec::new();
    for reader in readers {
        results.extend(reader.await.unwrap());
    }
    results
}

/// Kills the node of the host at `index` and starts it again.
pub(crate) async fn restart_node(site: &mut Site, index: usize) {
    let node = site.hosts[index].node.take().unwrap();
    node.signal(Signal::Kill).unwrap();
    drop(node);
    site.hosts[index].start_node().unwrap();
}

/// Kills the nodes of all hosts before it starts any of them again.
pub(crate) fn restart_all_nodes(site: &mut Site) {
    for host in &mut site.hosts {
        let node = host.node.take().unwrap();
        node.signal(Signal::Kill).unwrap();
    }
    for host in &mut site.hosts {
        host.start_node().unwrap();
    }
}
