//! Calls under failure: refusals are true, orders run at most once, answers are whole and their
//! own, targets drain, and a request that crashes targets is stopped.

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
    al_ramla,
    verband, //
};
use figway_testbed::fleet::Fleet;
use figway_testbed::log_server::LogFaults;
use figway_testbed::process::Signal;
use futures::future::join_all;

/// Time after which a leaving target may get no new work.
const LEAVE_WAIT: Duration = Duration::from_secs(3);

/// Runs of each call id and of each key, over all journals.
async fn runs(fleet: &Fleet) -> (BTreeMap<String, usize>, BTreeMap<String, usize>) {
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

/// Sends an order up to `resend_count` times more under the same key, at changing nodes; returns
/// each answer's outcome.
async fn order(fleet: &Fleet, n: usize, resend_count: usize, keyed: bool) -> Vec<String> {
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
                    let own = format!("order-{n}-");
                    let answered_to = echoed["call_id"].as_str().unwrap().to_owned();
                    assert!(
                        answered_to.starts_with(&own),
                        "{answered_to} is no answer to {own}"
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

#[ntex::test]
async fn keyed_orders_run_at_most_once_and_refusals_are_true_under_kills_and_lost_answers() {
    let mut fleet = al_ramla("keyed", &["orderbook"], 4).await;
    // The last node is killed in the midst, and the log loses answers and is down for a while.
    let victim = fleet.hosts.pop().unwrap();
    let orders = join_all((0..120).map(|n| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(n as u64 * 15)).await;
            order(fleet, n, 3, true).await
        }
    }));
    let trouble = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let losing = LogFaults {
            lose_answer_count: 3,
            ..LogFaults::default()
        };
        fleet.set_log_faults(losing).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        victim.node.signal(Signal::Kill).unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let down = LogFaults {
            down: true,
            ..LogFaults::default()
        };
        fleet.set_log_faults(down).await.unwrap();
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.set_log_faults(LogFaults::default()).await.unwrap();
    };
    let (orders, ()) = futures::join!(orders, trouble);
    let victim_address = victim.target.address("target").to_owned();
    let victim_journal = fleet
        .get(&format!("http://{victim_address}/testbed/journal"), &[])
        .await
        .unwrap()
        .json()
        .unwrap();
    let (mut by_call, mut by_key) = runs(&fleet).await;
    for entry in victim_journal.as_array().unwrap() {
        *by_call
            .entry(entry["call_id"].as_str().unwrap().to_owned())
            .or_default() += 1;
        *by_key
            .entry(entry["key"].as_str().unwrap().to_owned())
            .or_default() += 1;
    }
    let doubled: Vec<_> = by_key.iter().filter(|(_, count)| **count > 1).collect();
    assert!(doubled.is_empty(), "ran more than once: {doubled:?}");
    let mut answered_count = 0;
    for (n, outcomes) in orders.iter().enumerate() {
        let mut ran_before = false;
        for (send, outcome) in outcomes.iter().enumerate() {
            ran_before |= by_call.contains_key(&format!("order-{n}-{send}"));
            assert!(
                !(outcome == "not-run" && ran_before),
                "a lie to order {n}: {outcomes:?}"
            );
        }
        answered_count += usize::from(outcomes.iter().any(|outcome| outcome == "answered"));
    }
    assert!(
        answered_count > 60,
        "only {answered_count} of 120 orders were served"
    );
}

#[ntex::test]
async fn unkeyed_bookings_are_never_sent_twice_and_refusals_are_true_under_a_freeze() {
    let fleet = verband("unkeyed", &["werkbuch"], 4).await;
    let book = |n: usize| {
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
    let bookings = join_all((0..200).map(book));
    let freeze = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.hosts[3].node.signal(Signal::Stop).unwrap();
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        fleet.hosts[3].node.signal(Signal::Continue).unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
    };
    let (bookings, ()) = futures::join!(bookings, freeze);
    let (by_call, _) = runs(&fleet).await;
    for (call_id, outcome) in &bookings {
        let run_count = by_call.get(call_id).copied().unwrap_or(0);
        assert!(run_count <= 1, "{call_id} ran {run_count} times");
        assert!(outcome != "not-run" || run_count == 0, "a lie to {call_id}");
        assert!(
            outcome != "answered" || run_count == 1,
            "{call_id} was answered unrun"
        );
    }
}

#[ntex::test]
async fn a_request_that_crashes_targets_is_stopped_and_the_service_goes_on() {
    let fleet = al_ramla("crash", &["stockdesk"], 4).await;
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
    // Two crashes quarantine; a third may be under way before the news is.
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

#[ntex::test]
async fn late_answers_never_reach_another_caller() {
    let fleet = verband("late", &["katalog"], 2).await;
    let call = |n: usize| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(n as u64 * 3)).await;
            let node = fleet.hosts[n % 2].call_address();
            let call_id = format!("part-{n}");
            // Every third call gives up before its answer is due.
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
    let kinds: BTreeSet<&str> = outcomes.iter().map(String::as_str).collect();
    assert!(
        kinds.contains("answered") && kinds.contains("unknown"),
        "{kinds:?}"
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

#[ntex::test]
async fn a_planned_stop_cuts_no_request() {
    let mut fleet = al_ramla("stop", &["stockdesk"], 4).await;
    let stopping = fleet.hosts.pop().unwrap();
    let call = |n: usize| {
        let (fleet, stopping) = (&fleet, &stopping);
        async move {
            tokio::time::sleep(Duration::from_millis(n as u64 * 4)).await;
            // Callers of the node that stops stay with it for a second after the signal.
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

#[ntex::test]
async fn a_leaving_target_gets_no_new_work_after_a_few_seconds() {
    let fleet = verband("leave", &["katalog"], 4).await;
    let leaving = fleet.hosts[1].target.address("target").to_owned();
    let drain = format!("http://{leaving}/testbed/drain");
    fleet.post(&drain, &[], "").await.unwrap();
    tokio::time::sleep(LEAVE_WAIT).await;
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

#[ntex::test]
async fn a_booking_whose_target_died_is_not_sent_to_another() {
    let mut fleet = verband("died", &["werkbuch"], 4).await;
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
