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

fn even(scenario: &Scenario) -> Scenario {
    Scenario {
        speeds: vec![1.0],
        disturbed: false,
        swing_ratio: 0.0,
        straggler_ratio: 1.0,
        ..scenario.clone()
    }
}

fn both(scenario: &Scenario, utilisation: f64, seed: u64) -> (Played, Played) {
    let before = play(scenario, Picking::LeastLoss, utilisation, seed);
    let now = play(scenario, Picking::LeastWork, utilisation, seed);
    for (name, played) in [("before", &before), ("now   ", &now)] {
        println!(
            "{utilisation} {name} in time {:.4} mean {:.1} p95 {:.1} busiest {:.2} left {:.3}",
            played.in_time_ratio,
            played.latency_mean_ms,
            played.latency_p95_ms,
            played.busiest_ratio,
            played.left_zone_ratio
        );
    }
    (before, now)
}

#[test]
fn figures() {
    for caller_count in [85, 194] {
        for beside in [false, true] {
            let uneven = Scenario {
                caller_count,
                beside,
                ..scenario()
            };
            for scenario in [&uneven, &even(&uneven)] {
                println!(
                    "callers {caller_count} beside {beside} speeds {}",
                    scenario.speeds.len()
                );
                for utilisation in [0.6, 0.75, 0.9] {
                    both(scenario, utilisation, 81);
                }
            }
        }
    }
}
