//! Operators: races, held moves and retreats, and a log that is down, slow or loses answers.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use common::{
    al_ramla,
    verband,
    WAIT, //
};
use figway_testbed::fleet::Fleet;
use figway_testbed::log_server::LogFaults;
use figway_testbed::relay::{
    LinkState,
    Relay, //
};

#[ntex::test]
async fn of_two_operators_who_race_one_wins_and_the_other_is_told() {
    let fleet = al_ramla("race", &["stockdesk"], 2).await;
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
    let told = String::from_utf8_lossy(&loser.stderr).into_owned();
    assert!(told.contains(winner), "{told}");
}

#[ntex::test]
async fn a_retreat_holds_everywhere_while_the_forward_move_is_held_back() {
    let fleet = al_ramla("held", &["stockdesk"], 4).await;
    // No target announces `track: trial`, so the move can't be applied anywhere.
    let forward = fleet
        .figway(&["switch", "stockdesk", "trial", "--wait", "--wait-s", "1"])
        .await
        .unwrap();
    assert_eq!(forward.status.code(), Some(2));
    let told = String::from_utf8_lossy(&forward.stderr).into_owned();
    assert!(
        told.contains("no target of service stockdesk is known in subset trial"),
        "{told}"
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

#[ntex::test]
async fn a_change_whose_answer_was_lost_is_in_the_log_once() {
    let fleet = verband("lost-answer", &["katalog"], 2).await;
    fleet.set_log_faults(LOSE_ONE).await.unwrap();
    let printed = fleet
        .figway_ok(&["switch", "katalog", "fallback", "--wait"])
        .await
        .unwrap();
    assert!(printed.contains("in force everywhere"), "{printed}");
    assert_eq!(switches_to_fallback(&fleet).await, 1);
}

#[ntex::test]
async fn a_change_whose_connection_broke_after_the_write_is_in_the_log_once() {
    let fleet = verband("broken-answer", &["katalog"], 2).await;
    let relay = Relay::start().await.unwrap();
    relay.set_upstream(fleet.log.address("log"));
    fleet.set_log_faults(LOSE_ONE).await.unwrap();
    let url = format!("http://{}", relay.address);
    let args = ["switch", "katalog", "fallback", "--wait", "--log", &url];
    let switch = fleet.figway_ok(&args);
    let cut = async {
        tokio::time::sleep(Duration::from_millis(800)).await;
        relay.set_link_state(LinkState {
            blocked: true,
            ..LinkState::default()
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        relay.set_link_state(LinkState::default());
    };
    let (printed, ()) = futures::join!(switch, cut);
    assert!(printed.unwrap().contains("in force everywhere"));
    assert_eq!(switches_to_fallback(&fleet).await, 1);
}

const LOSE_ONE: LogFaults = LogFaults {
    down: false,
    slow_ms: 0,
    lose_answer_count: 1,
    retention_ms: 0,
    append_max_per_s: 0,
};

/// Counts the switches to fallback in the log.
async fn switches_to_fallback(fleet: &Fleet) -> usize {
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

#[ntex::test]
async fn while_the_log_is_down_calls_go_on_and_changes_are_refused_with_a_reason() {
    let fleet = al_ramla("outage", &["stockdesk", "orderbook"], 2).await;
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
    let told = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(told.contains("nothing was changed"), "{told}");

    let node = fleet.hosts[0].call_address().to_owned();
    let lookup = fleet
        .get(
            &format!("http://{node}/stock"),
            &[("x-figway-service", "stockdesk")],
        )
        .await
        .unwrap();
    assert_eq!(lookup.outcome, "answered");
    // A call without a key needs no log; one with a key can't be claimed and does not run.
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
    let mut keyed_runs = 0;
    for index in 0..fleet.hosts.len() {
        for entry in fleet.journal(index).await.unwrap() {
            keyed_runs += usize::from(entry["key"] == "k-1");
        }
    }
    assert_eq!(keyed_runs, 1);
}

#[ntex::test]
async fn a_slow_log_delays_a_change_and_loses_none() {
    let fleet = verband("slow-log", &["katalog"], 2).await;
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
