//! Compares placement by likely cost and remaining work with placement by the mean run time of each
//! kind at each target.

mod placing;

use crate::placing::{
    play,
    Kind,
    Picking,
    Played,
    Scenario, //
};

fn scenario() -> Scenario {
    Scenario {
        zone_count: 8,
        caller_count: 85,
        target_count: 75,
        slot_count: 6,
        kinds: vec![
            Kind {
                name: "read",
                ran_ms: 135.0,
                prompt_ms: 550.0,
                deadline_ms: 1_100.0,
                body_bytes: 2_000,
                share: 0.7,
            },
            Kind {
                name: "list",
                ran_ms: 60.0,
                prompt_ms: 500.0,
                deadline_ms: 1_000.0,
                body_bytes: 2_000,
                share: 0.2,
            },
            Kind {
                name: "upload",
                ran_ms: 165.0,
                prompt_ms: 1_000.0,
                deadline_ms: 3_000.0,
                body_bytes: 60_000,
                share: 0.1,
            },
        ],
        speeds: vec![0.59, 0.7, 0.85, 1.0, 1.2, 1.43],
        straggler_ratio: 7.0,
        disturbed: true,
        swing_ratio: 0.55,
        beside: false,
        exact_means: false,
        queue_per_slot_ratio: 3.0,
        warm_up_ms: 17_000.0,
        end_ms: 51_000.0,
    }
}

/// Targets of one speed without disturbances or stragglers, under a steady load.
fn even(scenario: &Scenario) -> Scenario {
    Scenario {
        speeds: vec![1.0],
        disturbed: false,
        swing_ratio: 0.0,
        straggler_ratio: 1.0,
        ..scenario.clone()
    }
}

/// Callers with a target beside most of them, and more callers than targets with none beside them.
fn layouts() -> [Scenario; 2] {
    [
        Scenario {
            beside: true,
            ..scenario()
        },
        Scenario {
            caller_count: 194,
            ..scenario()
        },
    ]
}

fn play_both(scenario: &Scenario, utilisation: f64, seed: u64) -> (Played, Played) {
    let before = play(scenario, Picking::LeastLoss, utilisation, seed);
    let now = play(scenario, Picking::LeastWork, utilisation, seed);
    for (name, played) in [("least loss", &before), ("least work", &now)] {
        println!(
            "{} callers {utilisation} {name}: {played}",
            scenario.caller_count
        );
    }
    (before, now)
}

/// Guards against placement that overlooks slow targets, or sends most calls to fast ones.
#[test]
fn uneven_targets_serve_more_in_time_and_faster() {
    for scenario in layouts() {
        for utilisation in [0.6, 0.75] {
            let (before, now) = play_both(&scenario, utilisation, 81);
            assert!(now.in_time_ratio > before.in_time_ratio + 0.002);
            assert!(now.latency_mean_ms < 0.99 * before.latency_mean_ms);
            assert!(now.latency_p95_ms < 1.02 * before.latency_p95_ms);
            assert!(now.busiest_ratio <= 1.3, "{now:?}");
        }
    }
}

/// Guards against a loss at the load whose wave exceeds the capacity. The latencies of what is served
/// are not compared, as another part of the calls is refused.
#[test]
fn uneven_targets_serve_as_much_in_time_under_too_much_load() {
    for scenario in layouts() {
        let (before, now) = play_both(&scenario, 0.9, 81);
        assert!(now.in_time_ratio > before.in_time_ratio - 0.002);
        assert!(now.latency_mean_ms < 1.01 * before.latency_mean_ms);
    }
}

/// Guards against estimates that cost something where there is nothing to learn.
#[test]
fn even_targets_lose_nothing() {
    for scenario in layouts() {
        for utilisation in [0.6, 0.9] {
            let (before, now) = play_both(&even(&scenario), utilisation, 82);
            assert!(now.in_time_ratio > before.in_time_ratio - 0.001);
            assert!(now.latency_mean_ms < 1.005 * before.latency_mean_ms);
            assert!(now.latency_p95_ms < 1.01 * before.latency_p95_ms);
            assert!(now.busiest_ratio <= 1.3, "{now:?}");
        }
    }
}
