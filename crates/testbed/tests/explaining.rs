//! `figway explain` finds the cause of a failed request by its id in the logs of all nodes, as in
//! the procedures of docs/OPERATIONS.md.
//!
//! The tests guard against failures that operators cannot explain. This happens when a node does
//! not log a failed call, or when its log line lacks the request id, the outcome or the reason.

use std::process::Command;
use std::time::Duration;

use figway_testbed::process::Programs;
use figway_testbed::site::{
    config,
    Site, //
};
use futures::future::join_all;

/// Time in which nodes write their last log lines.
const LOG_FLUSH_WAIT: Duration = Duration::from_millis(500);

async fn start_site(name: &str) -> Site {
    let site = Site::start(name, 4).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    site
}

/// Runs `figway explain` for a request on the logs of all nodes and returns its output.
async fn explain(site: &Site, id: &str) -> String {
    tokio::time::sleep(LOG_FLUSH_WAIT).await;
    let mut command = Command::new(Programs::find().unwrap().figway);
    command.args(["explain", id]);
    for host in &site.hosts {
        command.arg(host.log_path());
    }
    let output = command.output().unwrap();
    let printed = [output.stdout, output.stderr].concat();
    let explanation = String::from_utf8_lossy(&printed).into_owned();
    println!("{explanation}");
    explanation
}

/// The back ends run each order but never answer it, so that the caller gets 504 and does not know
/// whether the order ran.
#[ntex::test]
async fn explain_names_the_back_end_that_ran_an_order_whose_answer_was_lost() {
    let site = start_site("lost").await;
    for host in &site.hosts {
        host.backend.drop_answer_one_in.set(1);
    }
    let result = site.caller(0).call("POST", "/orders/1").await;
    assert_eq!(result.status, 504, "{result:?}");
    let explanation = explain(&site, &result.id).await;
    assert!(explanation.contains("call run"), "{explanation}");
    assert!(
        explanation.contains("instance=i-127-0-0-1"),
        "{explanation}"
    );
    assert!(explanation.contains("outcome=unknown"), "{explanation}");
    assert!(explanation.contains("why=deadline"), "{explanation}");
}

/// The caller disconnects after 300 ms while the back end still runs the order.
#[ntex::test]
async fn explain_shows_a_run_whose_caller_disconnected() {
    let site = start_site("left").await;
    for host in &site.hosts {
        host.backend.slow_ms.set(700);
    }
    let caller = site.caller(0);
    let leaving =
        tokio::time::timeout(Duration::from_millis(300), caller.call("POST", "/orders/1"));
    assert!(leaving.await.is_err(), "the order was answered too soon");
    let mut ran = None;
    for host in &site.hosts {
        for run in host.backend.runs() {
            if run.request_line.contains("/orders/") {
                ran = ran.max(Some((run.started_at, run.id)));
            }
        }
    }
    let (_, id) = ran.expect("a back end runs the order");
    let explanation = explain(&site, &id).await;
    assert!(explanation.contains("call run"), "{explanation}");
    assert!(explanation.contains("why=given-up"), "{explanation}");
    assert!(explanation.contains("call ended"), "{explanation}");
    assert!(explanation.contains("why=caller-left"), "{explanation}");
}

/// More orders arrive at once than the slots and queues of the order service admit, so that some
/// calls get 503.
#[ntex::test]
async fn explain_shows_the_slots_and_the_queue_of_a_refusal() {
    let site = start_site("refused").await;
    for host in &site.hosts {
        host.backend.slow_ms.set(700);
    }
    let callers: Vec<_> = (0..4).map(|index| site.caller(index)).collect();
    let calls = (0..160).map(|n| callers[n % 4].call("POST", "/orders/1"));
    let all = join_all(calls).await;
    let refused = all.iter().find(|result| result.status == 503);
    let refused = refused.expect("160 orders do not fit 24 slots");
    let explanation = explain(&site, &refused.id).await;
    assert!(explanation.contains("call refused"), "{explanation}");
    assert!(explanation.contains("slots=12"), "{explanation}");
    assert!(explanation.contains("waiting="), "{explanation}");
    assert!(explanation.contains("outcome=not-run"), "{explanation}");
}

/// A new configuration removes the route of the request, so that the caller gets 404.
#[ntex::test]
async fn explain_shows_the_version_in_force_for_a_call_without_a_route() {
    let site = start_site("removed").await;
    site.store.publish(&config(2, "/moved/"));
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let result = site.caller(1).call("GET", "/reads/1").await;
    assert_eq!(result.status, 404, "{result:?}");
    let explanation = explain(&site, &result.id).await;
    assert!(explanation.contains("call not routed"), "{explanation}");
    assert!(explanation.contains("routes_version=2"), "{explanation}");
    assert!(explanation.contains("why=no-route"), "{explanation}");
}

/// Guards against a log that grows with the load. This happens when the rate limit for log lines
/// about calls does not hold, so that each node logs each call.
#[ntex::test]
async fn calls_under_load_write_fewer_than_half_as_many_log_lines() {
    let site = start_site("volume").await;
    let before = line_count(&site);
    let callers: Vec<_> = (0..4).map(|index| site.caller(index)).collect();
    let mut call_count = 0;
    for _ in 0..60 {
        let calls = (0..40).map(|n| callers[n % 4].call("GET", "/reads/1"));
        call_count += join_all(calls).await.len();
    }
    tokio::time::sleep(LOG_FLUSH_WAIT).await;
    let written = line_count(&site) - before;
    assert!(
        written * 2 < call_count,
        "{written} lines for {call_count} calls"
    );
}

fn line_count(site: &Site) -> usize {
    let mut count = 0;
    for host in &site.hosts {
        count += host.log().unwrap().lines().count();
    }
    count
}
