//! Rollouts of services with little traffic, in virtual time: 200 requests a second, 10 s, 7 targets.
//!
//! The tests guard against a version that is bad in a way that few runs show, and is completed or gets
//! more requests than it may, and against a good one that is rolled back by chance.

mod common;

use std::time::Duration;

use crate::common::{
    Behaviour,
    Outcome,
    Plan,
    Sim,
    Situation,
    NEW, //
};

/// Seeds of each case.
const SEEDS: std::ops::Range<u64> = 1..21;

const DURATION: Duration = Duration::from_secs(10);

/// Share of the requests from which a version fails that is bad under load only.
const LOADED_SHARE: f64 = 0.2;

/// Plays the seeds of a case and fails with all seeds that do not pass.
fn check_seeds(
    behaviour: fn(&str, Situation) -> Behaviour,
    check: fn(&Outcome, Duration) -> Result<(), String>,
) {
    let mut failures = Vec::new();
    for seed in SEEDS {
        let plan = Plan {
            seed,
            target_count: 7,
            rate_per_s: 200.0,
            duration: DURATION,
            behaviour,
            ..Plan::default()
        };
        if let Err(why) = check(&Sim::new(plan).run(), DURATION) {
            failures.push(format!("seed {seed}: {why}"));
        }
    }
    assert!(
        failures.is_empty(),
        "{} of {} seeds: {failures:#?}",
        failures.len(),
        SEEDS.count()
    );
}

fn failing(is_hit: bool, failed_rate: f64) -> Behaviour {
    Behaviour {
        failed_rate: if is_hit { failed_rate } else { 0.0 },
        ..Behaviour::default()
    }
}

fn slow(is_hit: bool) -> Behaviour {
    Behaviour {
        slow_rate: if is_hit { 0.3 } else { 0.0 },
        slow_factor: 5.0,
        ..Behaviour::default()
    }
}

/// Guards against a good version that is rolled back for the few failures and slow runs of any version.
#[test]
fn a_good_version_of_a_small_service_is_completed() {
    check_seeds(|_, _| Behaviour::default(), Outcome::check_completed);
}

/// Guards against a version of which a tenth of one route fails, some 2 of its first 80 runs.
#[test]
fn a_small_service_rolls_back_a_version_that_fails_on_one_route() {
    check_seeds(
        |version, situation| failing(version == NEW && situation.route == 2, 0.1),
        Outcome::check_rolled_back,
    );
}

/// Guards against slow runs that are lost among those of slow targets, which any version has.
#[test]
fn a_small_service_rolls_back_a_version_with_slow_answers() {
    check_seeds(
        |version, _| slow(version == NEW),
        Outcome::check_rolled_back,
    );
}

/// Guards against a share that grows faster than the few failures under load are noticed.
#[test]
fn a_small_service_rolls_back_a_version_that_fails_under_load() {
    check_seeds(
        |version, situation| failing(version == NEW && situation.share > LOADED_SHARE, 0.3),
        Outcome::check_rolled_back,
    );
}

/// Guards against a share that grows faster than slow answers under load end.
#[test]
fn a_small_service_rolls_back_a_version_that_is_slow_under_load() {
    check_seeds(
        |version, situation| slow(version == NEW && situation.share > LOADED_SHARE),
        Outcome::check_rolled_back,
    );
}
