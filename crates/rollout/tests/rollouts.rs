//! Rollouts of good and bad versions over many nodes, in virtual time.
//!
//! The tests guard against a bad version that gets more requests than it may, a good one that is not
//! completed in time, and an end that differs from one node to the next.

mod common;

use std::time::Duration;

use figway_rollout::StatusState;

use crate::common::{
    Behaviour,
    Fault,
    Outcome,
    Plan,
    Sim,
    Situation,
    NEW,
    OLD, //
};

/// Seeds of each case.
const SEEDS: std::ops::Range<u64> = 1..9;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn assert_rolled_back(name: &str, seed: u64, outcome: &Outcome, duration: Duration) {
    if let Err(why) = outcome.check_rolled_back(duration) {
        panic!("{name} seed {seed}: {why}");
    }
}

fn assert_completed(name: &str, seed: u64, outcome: &Outcome, duration: Duration) {
    if let Err(why) = outcome.check_completed(duration) {
        panic!("{name} seed {seed}: {why}");
    }
}

fn assert_bad(name: &str, behaviour: fn(&str, Situation) -> Behaviour, faults: &[Fault]) {
    for seed in SEEDS {
        let plan = Plan {
            seed,
            behaviour,
            faults: faults.to_vec(),
            ..Plan::default()
        };
        let duration = plan.duration;
        assert_rolled_back(name, seed, &Sim::new(plan).run(), duration);
    }
}

fn assert_good(name: &str, rate_per_s: f64, faults: &[Fault]) {
    for seed in SEEDS {
        let plan = Plan {
            seed,
            rate_per_s,
            faults: faults.to_vec(),
            ..Plan::default()
        };
        let duration = plan.duration;
        assert_completed(name, seed, &Sim::new(plan).run(), duration);
    }
}

fn failing(rate: f64) -> Behaviour {
    Behaviour {
        failed_rate: rate,
        ..Behaviour::default()
    }
}

fn bad_at_once(version: &str, _: Situation) -> Behaviour {
    failing(if version == NEW { 0.2 } else { 0.0 })
}

/// Guards against a version that fails from the start and is not stopped at its small share.
#[test]
fn a_version_that_fails_at_once_is_rolled_back() {
    assert_bad("at once", bad_at_once, &[]);
}

/// Guards against clean evidence of the first half that outweighs failures of the second.
#[test]
fn a_version_that_fails_after_half_of_the_time_is_rolled_back() {
    let behaviour = |version: &str, situation: Situation| {
        let late = version == NEW && situation.since_order > seconds(6.0);
        failing(if late { 0.25 } else { 0.0 })
    };
    assert_bad("later", behaviour, &[]);
}

/// Guards against the clean evidence of a long rollout, which would make up for hundreds of failures.
#[test]
fn a_version_that_fails_late_in_a_long_rollout_is_rolled_back() {
    for seed in SEEDS {
        let plan = Plan {
            seed,
            rate_per_s: 500.0,
            duration: seconds(120.0),
            behaviour: |version, situation| {
                let late = version == NEW && situation.since_order > seconds(66.0);
                failing(if late { 0.1 } else { 0.0 })
            },
            ..Plan::default()
        };
        let outcome = Sim::new(plan).run();
        assert_rolled_back("long", seed, &outcome, seconds(120.0));
        let bad_count = outcome.bad_at.len();
        assert!(bad_count < 50, "seed {seed}: {bad_count} bad answers");
    }
}

/// Guards against a share that rises faster than failures under load are noticed.
#[test]
fn a_version_that_fails_under_load_is_rolled_back() {
    let behaviour = |version: &str, situation: Situation| {
        let loaded = version == NEW && situation.share > 0.2;
        failing(if loaded { 0.3 } else { 0.0 })
    };
    assert_bad("under load", behaviour, &[]);
}

/// Guards against failures of one route that are lost among the answers of the others.
#[test]
fn a_version_that_fails_on_one_route_is_rolled_back() {
    let behaviour = |version: &str, situation: Situation| {
        let hit = version == NEW && situation.route == 2;
        failing(if hit { 0.3 } else { 0.0 })
    };
    assert_bad("one route", behaviour, &[]);
}

/// Guards against a version that answers rightly, but four times slower.
#[test]
fn a_version_that_is_four_times_slower_is_rolled_back() {
    let behaviour = |version: &str, _: Situation| Behaviour {
        slow_rate: if version == NEW { 1.0 } else { 0.0 },
        slow_factor: 4.0,
        ..Behaviour::default()
    };
    assert_bad("slow", behaviour, &[]);
}

/// Guards against a good version that is held back for want of evidence.
#[test]
fn a_good_version_with_thin_evidence_is_completed_in_time() {
    assert_good("thin", 5.0, &[]);
}

/// Guards against a good version that is rolled back for the failures, cold starts and slow targets
/// that any version has.
#[test]
fn a_good_version_with_noise_is_completed_in_time() {
    assert_good("noise", 2_000.0, &[]);
    assert_good("some noise", 200.0, &[]);
}

/// Guards against a rollout that nobody decides once the node that did is killed, at several times.
#[test]
fn a_rollout_is_decided_though_the_decider_is_killed() {
    for at_s in [0.3, 5.0, 8.6, 10.0] {
        assert_good("killed", 500.0, &[Fault::KillDecider(seconds(at_s))]);
    }
    for at_s in [0.3, 0.8, 1.5] {
        assert_bad("killed", bad_at_once, &[Fault::KillDecider(seconds(at_s))]);
    }
}

/// Guards against a rollout that is decided late or never after the log was cut off.
#[test]
fn a_rollout_is_decided_though_the_log_is_cut_for_five_seconds() {
    for from_s in [0.2, 3.0, 4.5] {
        let cut = Fault::CutLog(seconds(from_s), seconds(from_s + 5.0));
        assert_good("cut", 500.0, &[cut]);
        assert_bad("cut", bad_at_once, &[cut]);
    }
}

/// Guards against two ends of one rollout after an answer of the log was lost.
#[test]
fn a_rollout_has_one_end_though_answers_of_the_log_are_lost() {
    for kill_s in [9.9, 10.1, 10.2] {
        let faults = [Fault::LoseAnswers, Fault::KillDecider(seconds(kill_s))];
        assert_good("lost", 500.0, &faults);
    }
    assert_bad("lost", bad_at_once, &[Fault::LoseAnswers]);
}

/// Guards against a first order that ends though a second one replaced it, and a version without
/// targets that is completed.
#[test]
fn a_later_order_replaces_an_earlier_one() {
    for seed in SEEDS {
        let plan = Plan {
            seed,
            rate_per_s: 500.0,
            faults: vec![Fault::SecondOrder(seconds(4.0), OLD)],
            ..Plan::default()
        };
        let outcome = Sim::new(plan).run();
        let ends: Vec<_> = outcome
            .ends
            .iter()
            .map(|(v, s, _)| (v.as_str(), *s))
            .collect();
        assert_eq!(ends, [(OLD, StatusState::Completed)], "seed {seed}");
        let late = outcome.sent.iter().filter(|sent| sent.at > seconds(5.0));
        assert!(late.clone().count() > 1_000);
        assert!(late.clone().all(|sent| sent.version == OLD), "seed {seed}");
    }
}

/// Guards against a node that starts in the middle of a rollout and gives the new version its full
/// part of the targets.
#[test]
fn a_node_that_starts_in_the_middle_keeps_to_the_share() {
    let start = Fault::StartNode(seconds(5.0));
    assert_good("start", 500.0, &[start]);
    assert_bad("start", bad_at_once, &[start]);
}

/// Guards against a good version that is rolled back for failures that hit both versions, such as those
/// of a service that both call.
#[test]
fn a_good_version_is_completed_though_both_versions_fail_for_a_while() {
    for seed in SEEDS {
        let plan = Plan {
            seed,
            behaviour: |_, situation| {
                let hit = (5..7).contains(&situation.since_order.as_secs());
                failing(if hit { 0.05 } else { 0.0 })
            },
            ..Plan::default()
        };
        let duration = plan.duration;
        assert_completed("both fail", seed, &Sim::new(plan).run(), duration);
    }
}

/// Guards against a slow version that is taken for one slow target, as it runs at one only.
#[test]
fn a_slow_version_of_a_single_target_is_rolled_back() {
    for seed in SEEDS {
        let plan = Plan {
            seed,
            target_count: 1,
            rate_per_s: 200.0,
            behaviour: |version, _| Behaviour {
                slow_rate: if version == NEW { 1.0 } else { 0.0 },
                slow_factor: 4.0,
                ..Behaviour::default()
            },
            ..Plan::default()
        };
        let duration = plan.duration;
        assert_rolled_back("single", seed, &Sim::new(plan).run(), duration);
    }
}
