//! End-to-end tests of a faulty back end whose answers have no end. Nodes run as real processes; store,
//! back ends and callers are emulated.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::process::Usage;
use figway_testbed::site::caller::CallResult;
use figway_testbed::site::endless::{
    EndlessPart,
    ENDLESS_PARTS, //
};
use figway_testbed::site::wire::WireFault;
use figway_testbed::site::{
    Site,
    MEMORY_MAX_MB, //
};
use tokio::io::{
    AsyncReadExt as _,
    AsyncWriteExt as _, //
};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::common::wait_site_ready;

/// Time for which each kind of answer is played.
const LOAD_TIME: Duration = Duration::from_millis(1_500);

/// Time that the routes allow for a call.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after its timeout within which a call must have its answer.
const ANSWER_MAX: Duration = Duration::from_millis(500);

/// Number of connections that clients keep open at one host.
const CONNECTION_COUNT: usize = 3_000;

/// Request on each of these connections, which no route matches.
const REQUEST: &[u8] = b"GET /none HTTP/1.1\r\nhost: site.example\r\n\r\n";

/// Number of callers of each service at each host.
const CALLER_COUNT: usize = 10;

/// Starts callers of `path` at every host.
fn start_callers(
    site: &Site,
    method: &'static str,
    path: &'static str,
) -> Vec<JoinHandle<Vec<(CallResult, Duration)>>> {
    let ends_at = Instant::now() + LOAD_TIME;
    let mut callers = Vec::new();
    for index in 0..site.hosts.len() {
        for _ in 0..CALLER_COUNT {
            let caller = Rc::new(site.caller(index));
            callers.push(tokio::task::spawn_local(async move {
                let mut results = Vec::new();
                while Instant::now() < ends_at {
                    let sent_at = Instant::now();
                    let result = caller.call(method, path).await;
                    results.push((result, sent_at.elapsed()));
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                results
            }));
        }
    }
    callers
}

async fn results_of(
    callers: Vec<JoinHandle<Vec<(CallResult, Duration)>>>,
) -> Vec<(CallResult, Duration)> {
    let mut results = Vec::new();
    for caller in callers {
        results.extend(caller.await.unwrap());
    }
    results
}

/// Asserts that the nodes have stayed within their memory.
fn assert_within_memory(site: &Site, what: &dyn std::fmt::Debug) {
    for host in &site.hosts {
        let usage = Usage::of(host.node.as_ref().unwrap()).unwrap();
        let peak_bytes = usage.peak_resident_bytes;
        println!("{what:?} {}: peak of {peak_bytes} bytes", host.name);
        assert!(peak_bytes <= MEMORY_MAX_MB * 1_000_000);
    }
}

/// Guards against a back end that holds the thread of the node beside it, so that callers of other
/// services wait, and against bytes that fill the node's memory.
#[ntex::test]
async fn a_back_end_whose_answers_have_no_end_costs_no_other_call_and_no_memory() {
    let site = Site::start("endless", 4).await.unwrap();
    wait_site_ready(&site).await;
    for part in ENDLESS_PARTS {
        site.hosts[0].wire.fault.set(WireFault::Endless(part));
        let reads = start_callers(&site, "GET", "/reads/1");
        let orders = results_of(start_callers(&site, "POST", "/orders/1")).await;
        let reads = results_of(reads).await;
        site.hosts[0].wire.fault.set(WireFault::None);
        for (result, took) in orders.iter().chain(&reads) {
            let is_late = *took > ROUTE_TIMEOUT + ANSWER_MAX;
            assert!(!is_late, "{part:?}: {took:?} {result:?}");
        }
        // The back ends of this service are sound.
        let served_count = orders.iter().filter(|(call, _)| call.status == 200).count();
        assert_eq!(served_count, orders.len(), "{part:?}");
        assert_within_memory(&site, &part);
    }
}

/// Guards against bodies without end that fill the memory beside many open connections of clients.
#[ntex::test]
async fn bodies_without_end_leave_room_for_the_connections_of_clients() {
    let site = Site::start("endless-connections", 4).await.unwrap();
    wait_site_ready(&site).await;
    let mut connections = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        let address = &site.hosts[0].caller_address;
        let mut connection = TcpStream::connect(address).await.unwrap();
        // A connection that has carried a request takes more memory than one that has not.
        connection.write_all(REQUEST).await.unwrap();
        assert!(connection.read(&mut [0; 1_024]).await.unwrap() > 0);
        connections.push(connection);
    }
    for part in [EndlessPart::Chunks, EndlessPart::UnframedBody] {
        site.hosts[0].wire.fault.set(WireFault::Endless(part));
        results_of(start_callers(&site, "GET", "/reads/1")).await;
        assert_within_memory(&site, &part);
    }
}
