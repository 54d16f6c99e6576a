//! Changes by operators: concurrent switches, held switches and retreats, and changes while the log
//! is down, is slow or loses answers.
//!
//! The tests guard against changes that are lost, applied twice or overwritten without notice, and
//! against calls that fail because the log is not reachable.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use common::{
    start_al_ramla,
    start_verband,
    WAIT, //
};
use figway_testbed::fleet::Fleet;
use figway_testbed::log_server::LogFaults;
use figway_testbed::relay::{
    LinkState,
    Relay, //
};

/// Guards against a switch that silently overwrites another one. This happens when two operators
/// switch a service at the same time and both expect the same version.
#[ntex::test]
async fn of_two_concurrent_switches_one_fails_and_names_the_author_of_the_other() {
    let fleet = start_al_ramla("race", &["stockdesk"], 2).await;
    let status = fleet.status(0).await.unwrap();
    let expect = status["services"]["stockdesk"]["version"].to_string();
    let switch = |profile: &'static str| {
        let expect = expect.clone();
        let fleet = &fleet;
        async move {
            let author = format!("{profile}-operator");
            let args = [
                "switch",
                "stockdesk",
                profile,
                "--expect",
                &expect,
                "--author",
                &author,
            ];
            fleet.figway(&args).await.unwrap()
        }
    };
    let (trial, fallback) = futures::join!(switch("trial"), switch("fallback"));
    let codes = [trial.status.code(), fallback.status.code()];
    assert!(
        codes == [Some(0), Some(3)] || codes == [Some(3), Some(0)],
        "{codes:?}"
    );
    let (winner, loser) = if codes[0] == Some(0) {
        ("trial-operator", &fallback)
    } else {
        ("fallback-operator", &trial)
    };
    let stderr = String::from_utf8_lossy(&loser.stderr).into_owned();
    assert!(stderr.contains(winner), "{stderr}");
}

/// Guards against a failed rollout that cannot be undone. This happens when a switch that no node
/// can apply stays held and blocks the retreat that follows it.
#[ntex::test]
async fn a_retreat_is_in_force_everywhere_while_a_switch_is_held() {
    let fleet = start_al_ramla("held", &["stockdesk"], 4).await;
    // No target announces `track: trial`, so no node can apply the switch.
    let held_switch = fleet
        .figway(&["switch", "stockdesk", "trial", "--wait", "--wait-s", "1"])
        .await
        .unwrap();
    assert_eq!(held_switch.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&held_switch.stderr).into_owned();
    assert!(
        stderr.contains("no target of service stockdesk is known in subset trial"),
        "{stderr}"
    );
    for index in 0..4 {
        let status = fleet.status(index).await.unwrap();
        assert_eq!(status["services"]["stockdesk"]["profile"], "steady");
        assert_eq!(status["held"]["stockdesk"]["profile"], "trial");
    }
    let started_at = Instant::now();
    let printed = fleet.figway_ok(&["retreat", "stockdesk"]).await.unwrap();
    assert!(started_at.elapsed() < WAIT);
    assert!(
        printed.contains("retreat stockdesk to steady: in force everywhere"),
        "{printed}"
    );
    for index in 0..4 {
        let status = fleet.status(index).await.unwrap();
        assert_eq!(status["services"]["stockdesk"]["profile"], "steady");
        assert!(status["held"].as_object().unwrap().is_empty());
    }
}

/// Guards against a change that is appended twice. This happens when the log writes a change, its
/// answer is lost, and the command appends again without looking for its change id in the log.
#[ntex::test]
async fn a_change_is_in_the_log_once_when_the_answer_of_the_log_is_lost() {
    let fleet = start_verband("lost-answer", &["katalog"], 2).await;
    fleet.set_log_faults(LOSE_ONE).await.unwrap();
    let printed = fleet
        .figway_ok(&["switch", "katalog", "fallback", "--wait"])
        .await
        .unwrap();
    assert!(printed.contains("in force everywhere"), "{printed}");
    assert_eq!(count_switches_to_fallback(&fleet).await, 1);
}

/// Guards against a change that is appended twice. This happens when the connection to the log
/// breaks after the log wrote the change, and the command retries the append.
#[ntex::test]
async fn a_change_is_in_the_log_once_when_the_connection_breaks_after_the_append() {
    let fleet = start_verband("broken-answer", &["katalog"], 2).await;
    let relay = Relay::start().await.unwrap();
    relay.set_upstream(fleet.log.address("log"));
    fleet.set_log_faults(LOSE_ONE).await.unwrap();
    let url = format!("http://{}", relay.address);
    let args = ["switch", "katalog", "fallback", "--wait", "--log", &url];
    let switch = fleet.figway_ok(&args);
    let break_link = async {
        tokio::time::sleep(Duration::from_millis(800)).await;
        relay.set_link_state(LinkState {
            blocked: true,
            ..LinkState::default()
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        relay.set_link_state(LinkState::default());
    };
    let (printed, ()) = futures::join!(switch, break_link);
    assert!(printed.unwrap().contains("in force everywhere"));
    assert_eq!(count_switches_to_fallback(&fleet).await, 1);
}

const LOSE_ONE: LogFaults = LogFaults {
    down: false,
    slow_ms: 0,
    lose_answer_count: 1,
    retention_ms: 0,
    append_max_per_s: 0,
};

/// Returns the number of switches to the profile fallback in the log.
async fn count_switches_to_fallback(fleet: &Fleet) -> usize {
    let url = format!(
        "http://{}/streams/figway-changes/records?from=1&wait_ms=0",
        fleet.log.address("log")
    );
    let page = fleet.get(&url, &[]).await.unwrap().json().unwrap();
    page["records"]
        .as_array()
        .unwrap()
        .iter()
        .filter(|record| record["body"].as_str().unwrap().contains("\"fallback\""))
        .filter(|record| record["body"].as_str().unwrap().contains("switch"))
        .count()
}

/// Guards against an outage of the log that stops calls, against a change whose failure leaves its
/// effect unclear, and against a keyed order that runs without a claim or twice after the outage.
#[ntex::test]
async fn while_the_log_is_down_calls_are_served_and_changes_fail_with_a_reason() {
    let fleet = start_al_ramla("outage", &["stockdesk", "orderbook"], 2).await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    fleet.set_log_faults(down).await.unwrap();
    let refused = fleet
        .figway(&["switch", "stockdesk", "fallback"])
        .await
        .unwrap();
    assert_eq!(refused.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(stderr.contains("nothing was changed"), "{stderr}");

    let node = fleet.hosts[0].call_address().to_owned();
    let lookup = fleet
        .get(
            &format!("http://{node}/stock"),
            &[("x-figway-service", "stockdesk")],
        )
        .await
        .unwrap();
    assert_eq!(lookup.outcome, "answered");
    // A call without a key does not need the log. A key cannot be claimed without the log, so the
    // call with a key does not run.
    let url = format!("http://{node}/orders");
    let unkeyed = [("x-figway-service", "orderbook"), ("x-call-id", "unkeyed")];
    assert_eq!(
        fleet.post(&url, &unkeyed, "").await.unwrap().outcome,
        "answered"
    );
    let keyed = [
        ("x-figway-service", "orderbook"),
        ("x-call-id", "keyed"),
        ("idempotency-key", "k-1"),
    ];
    let reply = fleet.post(&url, &keyed, "").await.unwrap();
    assert_eq!(
        (reply.outcome.as_str(), reply.reason.as_str()),
        ("unknown", "claim-unavailable")
    );

    fleet.set_log_faults(LogFaults::default()).await.unwrap();
    assert_eq!(
        fleet.post(&url, &keyed, "").await.unwrap().outcome,
        "answered"
    );
    fleet
        .figway_ok(&["switch", "stockdesk", "fallback", "--wait"])
        .await
        .unwrap();
    let mut keyed_run_count = 0;
    for index in 0..fleet.hosts.len() {
        for entry in fleet.journal(index).await.unwrap() {
            keyed_run_count += usize::from(entry["key"] == "k-1");
        }
    }
    assert_eq!(keyed_run_count, 1);
}

/// Guards against a change that is lost or fails while the log answers each request 700 ms late.
#[ntex::test]
async fn a_slow_log_delays_a_change_but_does_not_lose_it() {
    let fleet = start_verband("slow-log", &["katalog"], 2).await;
    fleet
        .set_log_faults(LogFaults {
            slow_ms: 700,
            ..LogFaults::default()
        })
        .await
        .unwrap();
    let started_at = Instant::now();
    fleet
        .figway_ok(&["switch", "katalog", "fallback", "--wait"])
        .await
        .unwrap();
    assert!(started_at.elapsed() < WAIT + Duration::from_secs(3));
}
