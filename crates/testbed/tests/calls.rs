//! Outcomes of calls while nodes, targets and the log fail.
//!
//! The tests guard against calls that run twice, outcomes that contradict what the targets ran,
//! answers that reach another caller, calls that a shutdown or a drain interrupts, and a request
//! that crashes one target after another.

mod common;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::{
    Duration,
    Instant, //
};

use common::{
    start_al_ramla,
    start_verband, //
};
use figway_testbed::fleet::Fleet;
use figway_testbed::log_server::LogFaults;
use figway_testbed::process::Signal;
use futures::future::join_all;

/// Time within which a target that starts to drain must stop receiving new calls.
const DRAIN_WAIT: Duration = Duration::from_secs(3);

/// Returns the number of runs of each call id and of each key in the journals of all targets.
async fn count_runs(fleet: &Fleet) -> (BTreeMap<String, usize>, BTreeMap<String, usize>) {
    let (mut by_call, mut by_key) = (BTreeMap::new(), BTreeMap::new());
    for index in 0..fleet.hosts.len() {
        for entry in fleet.journal(index).await.unwrap() {
            let call_id = entry["call_id"].as_str().unwrap().to_owned();
            let key = entry["key"].as_str().unwrap().to_owned();
            *by_call.entry(call_id).or_default() += 1;
            if !key.is_empty() {
                *by_key.entry(key).or_default() += 1;
            }
        }
    }
    (by_call, by_key)
}

/// Sends an order once and then `resend_count` times more, each time to the next node. If `keyed`
/// is true, all sends carry the same idempotency key. Returns the outcome of each send.
async fn send_order(fleet: &Fleet, n: usize, resend_count: usize, keyed: bool) -> Vec<String> {
    let mut outcomes = Vec::new();
    let key = format!("key-{n}");
    for send in 0..=resend_count {
        let node = fleet.hosts[(n + send) % fleet.hosts.len()].call_address();
        let call_id = format!("order-{n}-{send}");
        let work_ms = 5 + (n * 7) % 60;
        let url = format!("http://{node}/orders?work_ms={work_ms}");
        let mut headers = vec![
            ("x-figway-service", "orderbook"),
            ("x-call-id", call_id.as_str()),
            (
                "x-figway-budget-ms",
                if n.is_multiple_of(5) { "30" } else { "1500" },
            ),
        ];
        if keyed {
            headers.push(("idempotency-key", key.as_str()));
        }
        let outcome = match fleet.post(&url, &headers, "three sieves").await {
            Ok(reply) => {
                if reply.outcome == "answered" {
                    let echoed = reply.json().unwrap();
                    let call_id_prefix = format!("order-{n}-");
                    let answered_to = echoed["call_id"].as_str().unwrap().to_owned();
                    assert!(
                        answered_to.starts_with(&call_id_prefix),
                        "{call_id_prefix} got the answer to {answered_to}"
                    );
                }
                reply.outcome
            }
            Err(_) => "none".to_owned(),
        };
        outcomes.push(outcome);
    }
    outcomes
}

/// Guards against an order that runs twice under one key, and against the outcome not-run for an
/// order that ran. Both can happen when a client resends an order to another node after the first
/// node was killed, or after the log lost the answer to a claim or was down.
#[ntex::test]
async fn keyed_orders_run_at_most_once_and_not_run_is_true_during_node_and_log_failures() {
    let mut fleet = start_al_ramla("keyed", &["orderbook"], 4).await;
    // While orders are sent, the last node is killed, and the log loses answers and is then down.
    let killed = fleet.hosts.pop().unwrap();
    let orders = join_all((0..120).map(|n| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(n as u64 * 15)).await;
            send_order(fleet, n, 3, true).await
        }
    }));
    let inject_faults = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let lost_answers = LogFaults {
            lose_answer_count: 3,
            ..LogFaults::default()
        };
        fleet.set_log_faults(lost_answers).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        killed.node.signal(Signal::Kill).unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let down = LogFaults {
            down: true,
            ..LogFaults::default()
        };
        fleet.set_log_faults(down).await.unwrap();
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.set_log_faults(LogFaults::default()).await.unwrap();
    };
    let (orders, ()) = futures::join!(orders, inject_faults);
    let killed_address = killed.target.address("target").to_owned();
    let killed_journal = fleet
        .get(&format!("http://{killed_address}/testbed/journal"), &[])
        .await
        .unwrap()
        .json()
        .unwrap();
    let (mut by_call, mut by_key) = count_runs(&fleet).await;
    for entry in killed_journal.as_array().unwrap() {
        *by_call
            .entry(entry["call_id"].as_str().unwrap().to_owned())
            .or_default() += 1;
        *by_key
            .entry(entry["key"].as_str().unwrap().to_owned())
            .or_default() += 1;
    }
    let duplicates: Vec<_> = by_key.iter().filter(|(_, count)| **count > 1).collect();
    assert!(duplicates.is_empty(), "ran more than once: {duplicates:?}");
    let mut answered_count = 0;
    for (n, outcomes) in orders.iter().enumerate() {
        let mut ran_before = false;
        for (send, outcome) in outcomes.iter().enumerate() {
            ran_before |= by_call.contains_key(&format!("order-{n}-{send}"));
            assert!(
                !(outcome == "not-run" && ran_before),
                "not-run was reported for order {n} although it ran: {outcomes:?}"
            );
        }
        answered_count += usize::from(outcomes.iter().any(|outcome| outcome == "answered"));
    }
    assert!(
        answered_count > 60,
        "only {answered_count} of 120 orders were served"
    );
}

/// Guards against a booking without a key that runs twice, and against outcomes that contradict the
/// journals of the targets. Both can happen when a node is paused for 3.5 s and then resumes with
/// calls whose deadlines have passed.
#[ntex::test]
async fn unkeyed_bookings_run_at_most_once_and_outcomes_are_true_while_a_node_is_paused() {
    let fleet = start_verband("unkeyed", &["werkbuch"], 4).await;
    let send_booking = |n: usize| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(n as u64 * 10)).await;
            let node = fleet.hosts[n % 3].call_address();
            let call_id = format!("booking-{n}");
            let headers = [
                ("x-figway-service", "werkbuch"),
                ("x-call-id", call_id.as_str()),
                ("x-figway-budget-ms", "600"),
            ];
            let url = format!("http://{node}/bookings?work_ms=20");
            let reply = fleet.post(&url, &headers, "").await.unwrap();
            (call_id, reply.outcome)
        }
    };
    let bookings = join_all((0..200).map(send_booking));
    let pause_node = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.hosts[3].node.signal(Signal::Stop).unwrap();
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        fleet.hosts[3].node.signal(Signal::Continue).unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
    };
    let (bookings, ()) = futures::join!(bookings, pause_node);
    let (by_call, _) = count_runs(&fleet).await;
    for (call_id, outcome) in &bookings {
        let run_count = by_call.get(call_id).copied().unwrap_or(0);
        assert!(run_count <= 1, "{call_id} ran {run_count} times");
        assert!(
            outcome != "not-run" || run_count == 0,
            "not-run was reported for {call_id} although it ran"
        );
        assert!(
            outcome != "answered" || run_count == 1,
            "{call_id} was answered but did not run"
        );
    }
}

/// Guards against one request that crashes all targets of a service. This happens when each target
/// that runs it crashes and a caller sends it again to one node after another.
#[ntex::test]
async fn a_request_that_crashes_targets_is_quarantined_and_other_calls_are_served() {
    let fleet = start_al_ramla("crash", &["stockdesk"], 4).await;
    let mut fleet = fleet;
    let headers = [("x-figway-service", "stockdesk"), ("x-call-id", "deadly")];
    let mut last = String::new();
    for n in 0..8 {
        let node = fleet.hosts[n % 4].call_address();
        let url = format!("http://{node}/stock?crash=1");
        let reply = fleet.get(&url, &headers).await.unwrap();
        last = format!("{} {}", reply.outcome, reply.reason);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    assert_eq!(last, "not-run quarantined");
    let mut crashed_count = 0;
    for host in &mut fleet.hosts {
        crashed_count += usize::from(host.target.has_ended());
    }
    // Two crashes quarantine the request. A third attempt may start before the crash reports reach
    // its node.
    assert!(crashed_count <= 3, "{crashed_count} targets crashed");
    for host in &fleet.hosts {
        let url = format!("http://{}/stock", host.call_address());
        let reply = fleet
            .get(&url, &[("x-figway-service", "stockdesk")])
            .await
            .unwrap();
        assert_eq!(
            reply.outcome, "answered",
            "at {}: {}",
            host.name, reply.reason
        );
    }
}

/// Guards against a request that crashes targets again because a node forgot its crashes when it was
/// restarted, and its peers do not tell it again.
#[ntex::test]
async fn a_restarted_node_learns_from_its_peers_which_requests_are_quarantined() {
    let mut fleet = start_al_ramla("crash-again", &["stockdesk"], 4).await;
    let headers = [("x-figway-service", "stockdesk"), ("x-call-id", "deadly")];
    for n in 0..2 {
        let url = format!("http://{}/stock?crash=1", fleet.hosts[n].call_address());
        fleet.get(&url, &headers).await.unwrap();
        tokio::time::sleep(Duration::from_millis(1_000)).await;
    }
    fleet.hosts[0].node.signal(Signal::Kill).unwrap();
    fleet.restart_host(0).unwrap();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let mut running_count = 0;
    for host in &mut fleet.hosts {
        running_count += usize::from(!host.target.has_ended());
    }
    let url = format!("http://{}/stock?crash=1", fleet.hosts[0].call_address());
    let reply = fleet.get(&url, &headers).await.unwrap();
    let last = format!("{} {}", reply.outcome, reply.reason);
    assert_eq!(
        last, "not-run quarantined",
        "{running_count} targets were running"
    );
}

/// Guards against an answer that is written to the wrong call. This happens when a call ends at its
/// deadline and its late answer is read on a connection that the next call reuses.
#[ntex::test]
async fn late_answers_never_reach_another_caller() {
    let fleet = start_verband("late", &["katalog"], 2).await;
    let call = |n: usize| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(n as u64 * 3)).await;
            let node = fleet.hosts[n % 2].call_address();
            let call_id = format!("part-{n}");
            // The budget of every third call is shorter than the 40 ms of work.
            let budget = if n.is_multiple_of(3) { "25" } else { "2000" };
            let headers = [
                ("x-figway-service", "katalog"),
                ("x-call-id", call_id.as_str()),
                ("x-figway-budget-ms", budget),
            ];
            let url = format!("http://{node}/parts?work_ms=40&n={n}");
            let reply = fleet.get(&url, &headers).await.unwrap();
            if reply.outcome == "answered" {
                let echoed = reply.json().unwrap();
                assert_eq!(echoed["call_id"], call_id);
                assert!(echoed["path"]
                    .as_str()
                    .unwrap()
                    .ends_with(&format!("n={n}")));
            }
            reply.outcome
        }
    };
    let outcomes = join_all((0..400).map(call)).await;
    let distinct_outcomes: BTreeSet<&str> = outcomes.iter().map(String::as_str).collect();
    assert!(
        distinct_outcomes.contains("answered") && distinct_outcomes.contains("unknown"),
        "{distinct_outcomes:?}"
    );
    let answered_count = outcomes
        .iter()
        .filter(|outcome| *outcome == "answered")
        .count();
    assert!(
        answered_count >= 200,
        "only {answered_count} of 400 were answered"
    );
}

/// Guards against calls that fail during a graceful shutdown. This happens when a node that gets
/// SIGTERM closes connections with calls in flight, or stops before its callers and peers have
/// stopped sending to it.
#[ntex::test]
async fn a_graceful_shutdown_interrupts_no_call() {
    let mut fleet = start_al_ramla("stop", &["stockdesk"], 4).await;
    let stopping = fleet.hosts.pop().unwrap();
    let call = |n: usize| {
        let (fleet, stopping) = (&fleet, &stopping);
        async move {
            tokio::time::sleep(Duration::from_millis(n as u64 * 4)).await;
            // Callers of the stopping node keep calling it for one second after the signal.
            let node = match n % 4 {
                3 if n < 450 => stopping.call_address(),
                other => fleet.hosts[other % 3].call_address(),
            };
            let url = format!("http://{node}/stock?work_ms=60");
            fleet.get(&url, &[("x-figway-service", "stockdesk")]).await
        }
    };
    let calls = join_all((0..600).map(call));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(800)).await;
        stopping.node.signal(Signal::Terminate).unwrap();
    };
    let (replies, ()) = futures::join!(calls, stop);
    for (n, reply) in replies.iter().enumerate() {
        let reply = reply.as_ref().unwrap();
        assert_eq!(reply.outcome, "answered", "call {n}: {}", reply.reason);
    }
    let mut stopping = stopping;
    let deadline = Instant::now() + Duration::from_secs(15);
    while !stopping.node.has_ended() {
        assert!(Instant::now() < deadline, "the node did not stop");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(stopping.node.wait().unwrap().success());
}

/// Guards against calls that are sent to a target long after it started to drain. This happens when
/// its draining state does not reach all nodes.
#[ntex::test]
async fn a_draining_target_gets_no_new_calls_after_three_seconds() {
    let fleet = start_verband("leave", &["katalog"], 4).await;
    let draining = fleet.hosts[1].target.address("target").to_owned();
    let drain = format!("http://{draining}/testbed/drain");
    fleet.post(&drain, &[], "").await.unwrap();
    tokio::time::sleep(DRAIN_WAIT).await;
    let before = fleet.journal(1).await.unwrap().len();
    for n in 0..200 {
        let node = fleet.hosts[n % 4].call_address();
        let url = format!("http://{node}/parts");
        let reply = fleet
            .get(&url, &[("x-figway-service", "katalog")])
            .await
            .unwrap();
        assert_eq!(reply.outcome, "answered");
    }
    assert_eq!(fleet.journal(1).await.unwrap().len(), before);
}

/// Guards against a retry of a call that may have run. A booking without a key is not idempotent,
/// so after a crash of its target the outcome is unknown and no other target may run it.
#[ntex::test]
async fn an_unkeyed_booking_is_not_retried_after_its_target_crashed() {
    let mut fleet = start_verband("died", &["werkbuch"], 4).await;
    let node = fleet.hosts[0].call_address().to_owned();
    let url = format!("http://{node}/bookings?crash=1");
    let headers = [("x-figway-service", "werkbuch"), ("x-call-id", "booking-1")];
    let reply = fleet.post(&url, &headers, "").await.unwrap();
    assert_eq!(reply.outcome, "unknown", "{}", reply.reason);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut crashed_count = 0;
    for host in &mut fleet.hosts {
        crashed_count += usize::from(host.target.has_ended());
    }
    assert_eq!(crashed_count, 1);
}
