//! End-to-end tests with back ends whose answers are damaged on the wire: cut anywhere, or written once
//! more. The callers are on hosts of both services, so that each request crosses one node or two.

mod common;

use std::time::Duration;

use figway_testbed::site::caller::CallResult;
use figway_testbed::site::wire::WireFault;
use figway_testbed::site::Site;

use crate::common::wait_site_ready;

/// Size of the answers that are cut in the middle of their body.
const FILLER_BYTES: usize = 300_000;

/// Time that the routes allow for a call.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after its deadline within which the answer to a call reaches its caller.
const DEADLINE_SLACK: Duration = Duration::from_millis(90);

/// Statuses that are not three digits from 100 to 599, and a change of the protocol that no caller offered.
const INVALID_STATUSES: [&str; 16] = [
    "000 None",
    "099 None",
    "20 OK",
    "2000 OK",
    "OK",
    "2x0 OK",
    "-20 OK",
    "+200 OK",
    "2.0 OK",
    "0200 OK",
    "101 Switching Protocols",
    "600 None",
    "666",
    "700 None",
    "998 None",
    "999 None",
];

/// Returns how often any back end ran the request.
fn run_count(site: &Site, result: &CallResult) -> usize {
    let mut count = 0;
    for host in &site.hosts {
        let runs = host.backend.runs();
        count += runs.iter().filter(|run| run.id == result.id).count();
    }
    count
}

/// Checks that a success has its whole body, an order ran once at most, and a refusal is true.
fn assert_true(site: &Site, result: &CallResult, is_order: bool, fault: WireFault) {
    let ran_count = run_count(site, result);
    assert!(
        result.status != 200 || result.sealed,
        "{fault:?}: {result:?}"
    );
    if is_order {
        assert!(
            ran_count <= 1,
            "{fault:?}: ran {ran_count} times {result:?}"
        );
    }
    if matches!(result.status, 408 | 421 | 429 | 503) {
        assert_eq!(ran_count, 0, "{fault:?}: {result:?}");
    }
}

/// Guards against an answer that broke off at a back end and looks whole to the client.
#[ntex::test]
async fn an_answer_that_breaks_off_at_the_back_end_never_looks_whole() {
    let site = Site::start("cut", 4).await.unwrap();
    wait_site_ready(&site).await;
    for filler_bytes in [0, FILLER_BYTES] {
        for host in &site.hosts {
            host.backend.filler_bytes.set(filler_bytes);
        }
        for permille in (0..1_000).step_by(83) {
            let fault = WireFault::Cut(permille);
            for host in &site.hosts {
                host.wire.fault.set(fault);
            }
            for index in 0..2 {
                let read = site.caller(index).call("GET", "/reads/1").await;
                assert_true(&site, &read, false, fault);
                assert_ne!(read.status, 200, "{fault:?}: {read:?}");
                let order = site.caller(index).call("POST", "/orders/1").await;
                assert_true(&site, &order, true, fault);
                assert_ne!(order.status, 200, "{fault:?}: {order:?}");
            }
        }
    }
}

/// Guards against an earlier answer or refusal that a faulty back end writes once more on a kept
/// connection, and that is taken for the answer to the next request.
#[ntex::test]
async fn an_answer_or_refusal_that_is_written_again_is_not_given_to_another_request() {
    let site = Site::start("again", 4).await.unwrap();
    wait_site_ready(&site).await;
    for fault in [WireFault::RepeatBefore, WireFault::RepeatAtOnce] {
        for host in &site.hosts {
            host.wire.fault.set(fault);
        }
        for round in 0..40 {
            let refuses = round % 4 == 0;
            for host in &site.hosts {
                host.backend.refuses.set(refuses);
            }
            for index in 0..2 {
                let order = site.caller(index).call("POST", "/orders/1").await;
                assert_true(&site, &order, true, fault);
                assert!(!refuses || order.status != 200, "{order:?}");
                let read = site.caller(index).call("GET", "/reads/1").await;
                assert_true(&site, &read, false, fault);
            }
        }
    }
}

/// Guards against an answer with an invalid status that reaches the caller. The HTTP library
/// accepts 101 and 600 to 999.
#[ntex::test]
async fn an_answer_with_an_invalid_status_reaches_the_caller_as_502() {
    let site = Site::start("status", 2).await.unwrap();
    wait_site_ready(&site).await;
    let mut passed = Vec::new();
    for status in INVALID_STATUSES {
        for host in &site.hosts {
            host.wire.fault.set(WireFault::Status(status));
        }
        for index in 0..2 {
            for (method, path) in [("GET", "/reads/1"), ("POST", "/orders/1")] {
                let result = site.caller(index).call(method, path).await;
                assert_true(&site, &result, method == "POST", WireFault::Status(status));
                if result.status != 502 {
                    passed.push((index, method, status, result.status));
                }
            }
        }
    }
    assert!(passed.is_empty(), "{passed:?}");
    for host in &site.hosts {
        host.wire.fault.set(WireFault::None);
    }
    wait_site_ready(&site).await;
}

/// Guards against interim answers that hold a call beyond its deadline.
#[ntex::test]
async fn interim_answers_without_end_hold_no_call_beyond_its_deadline() {
    let site = Site::start("interim", 2).await.unwrap();
    wait_site_ready(&site).await;
    for host in &site.hosts {
        host.wire.fault.set(WireFault::EndlessInterim);
    }
    for index in 0..2 {
        for (method, path) in [("GET", "/reads/1"), ("POST", "/orders/1")] {
            let result = site.caller(index).call(method, path).await;
            assert_eq!(result.status, 504, "host {index}: {result:?}");
            assert!(result.took < ROUTE_TIMEOUT + DEADLINE_SLACK, "{result:?}");
        }
    }
}
