//! From the id of a failed request to its cause, with `figway explain` on the nodes' own logs; the
//! walks of docs/OPERATIONS.md.

use std::process::Command;
use std::time::Duration;

use figway_testbed::process::Programs;
use figway_testbed::site::{
    config,
    Site, //
};
use futures::future::join_all;

/// Time for the last lines to be written.
const WRITTEN_AFTER: Duration = Duration::from_millis(500);

async fn started(name: &str) -> Site {
    let site = Site::start(name, 4).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    site
}

/// Returns the story of a request out of the logs of all nodes.
async fn explained(site: &Site, id: &str) -> String {
    tokio::time::sleep(WRITTEN_AFTER).await;
    let mut command = Command::new(Programs::find().unwrap().figway);
    command.args(["explain", id]);
    for host in &site.hosts {
        command.arg(host.log_path());
    }
    let output = command.output().unwrap();
    let printed = [output.stdout, output.stderr].concat();
    let story = String::from_utf8_lossy(&printed).into_owned();
    println!("{story}");
    story
}

#[ntex::test]
async fn a_lost_answer_is_told_with_the_back_end_that_ran_the_order() {
    let site = started("lost").await;
    for host in &site.hosts {
        host.backend.drop_answer_one_in.set(1);
    }
    let seen = site.caller(0).call("POST", "/orders/1").await;
    assert_eq!(seen.status, 504, "{seen:?}");
    let story = explained(&site, &seen.id).await;
    assert!(story.contains("call run"), "{story}");
    assert!(story.contains("instance=i-127-0-0-1"), "{story}");
    assert!(story.contains("outcome=unknown"), "{story}");
    assert!(story.contains("why=deadline"), "{story}");
}

#[ntex::test]
async fn a_run_whose_caller_left_is_told() {
    let site = started("left").await;
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
    let story = explained(&site, &id).await;
    assert!(story.contains("call run"), "{story}");
    assert!(story.contains("why=given-up"), "{story}");
}

#[ntex::test]
async fn a_refusal_is_told_with_slots_queue_and_time_left() {
    let site = started("refused").await;
    for host in &site.hosts {
        host.backend.slow_ms.set(700);
    }
    let callers: Vec<_> = (0..4).map(|index| site.caller(index)).collect();
    let calls = (0..160).map(|n| callers[n % 4].call("POST", "/orders/1"));
    let all = join_all(calls).await;
    let refused = all.iter().find(|seen| seen.status == 503);
    let refused = refused.expect("160 orders do not fit 24 slots");
    let story = explained(&site, &refused.id).await;
    assert!(story.contains("call refused"), "{story}");
    assert!(story.contains("slots=12"), "{story}");
    assert!(story.contains("waiting="), "{story}");
    assert!(story.contains("outcome=not-run"), "{story}");
}

#[ntex::test]
async fn a_removed_route_is_told_with_the_version_in_force() {
    let site = started("removed").await;
    site.store.publish(&config(2, "/moved/"));
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let seen = site.caller(1).call("GET", "/reads/1").await;
    assert_eq!(seen.status, 404, "{seen:?}");
    let story = explained(&site, &seen.id).await;
    assert!(story.contains("call not routed"), "{story}");
    assert!(story.contains("routes_version=2"), "{story}");
    assert!(story.contains("why=no-route"), "{story}");
}

#[ntex::test]
async fn log_lines_stay_within_their_bound_under_load() {
    let site = started("volume").await;
    let before = line_count(&site);
    let callers: Vec<_> = (0..4).map(|index| site.caller(index)).collect();
    let mut call_count = 0;
    for _ in 0..60 {
        let calls = (0..40).map(|n| callers[n % 4].call("GET", "/reads/1"));
        call_count += join_all(calls).await.len();
    }
    tokio::time::sleep(WRITTEN_AFTER).await;
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
