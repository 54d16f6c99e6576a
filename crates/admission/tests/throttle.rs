//! The throttle at the callers' nodes: what it lets through while targets refuse, and how it recovers.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::Throttle;
use figway_types::mix;

/// Calls let through for each one that was accepted.
const HEADROOM_RATIO: f64 = 1.5;

/// Refusals after which no call is refused yet.
const IGNORED_COUNT: f64 = 2.0;

/// Random numbers from 0 to 1 with a fixed seed.
struct Random(u64);

impl Random {
    fn ratio(&mut self) -> f64 {
        self.0 = mix(self.0);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Offers `per_s` calls a second to targets that accept `accepted_per_s`, for `seconds`. Returns how
/// many were let through in the last second.
fn offer(
    throttle: &mut Throttle,
    random: &mut Random,
    (per_s, accepted_per_s): (u32, f64),
    seconds: u32,
    now: &mut Instant,
) -> u32 {
    let step = Duration::from_secs(1) / per_s;
    let mut let_through_count = 0;
    let mut tokens: f64 = 0.0;
    for index in 0..per_s * seconds {
        *now += step;
        tokens = (tokens + accepted_per_s / f64::from(per_s)).min(2.0);
        if throttle.try_call(random.ratio(), *now).is_err() {
            continue;
        }
        let_through_count += u32::from(index >= per_s * (seconds - 1));
        let accepted = tokens >= 1.0;
        if accepted {
            tokens -= 1.0;
        }
        throttle.record(accepted, *now);
    }
    let_through_count
}

/// Guards against calls that are refused while all are accepted.
#[test]
fn nothing_is_refused_while_all_calls_are_accepted() {
    let mut now = Instant::now();
    let mut throttle = Throttle::new(HEADROOM_RATIO, IGNORED_COUNT, now);
    let let_through = offer(&mut throttle, &mut Random(1), (50, 100.0), 5, &mut now);
    assert_eq!(let_through, 50);
}

/// Guards against targets that spend their time on refusing: at four times what they accept they hear
/// little more than that, and still enough to be used in full.
#[test]
fn targets_hear_little_more_than_they_accept() {
    let mut now = Instant::now();
    let mut throttle = Throttle::new(HEADROOM_RATIO, IGNORED_COUNT, now);
    let let_through = offer(&mut throttle, &mut Random(2), (200, 50.0), 6, &mut now);
    assert!((50..=85).contains(&let_through), "{let_through}");
}

/// Guards against a throttle that stays closed when the targets have room again.
#[test]
fn calls_pass_again_soon_after_the_targets_have_room() {
    let mut now = Instant::now();
    let mut throttle = Throttle::new(HEADROOM_RATIO, IGNORED_COUNT, now);
    offer(&mut throttle, &mut Random(3), (200, 20.0), 5, &mut now);
    let let_through = offer(&mut throttle, &mut Random(4), (200, 400.0), 4, &mut now);
    assert!(let_through >= 190, "{let_through}");
}

/// Guards against a node that makes few calls and refuses all of them after a single refusal.
#[test]
fn a_single_refusal_does_not_close_the_throttle() {
    let now = Instant::now();
    let mut throttle = Throttle::new(HEADROOM_RATIO, IGNORED_COUNT, now);
    throttle.record(true, now);
    throttle.record(false, now);
    assert!(throttle.refused_ratio(now) < 0.5);
    let later = now + Duration::from_secs(5);
    assert!(throttle.refused_ratio(later) < 0.01);
}

/// Guards against refused callers that come back together, or at once.
#[test]
fn refused_callers_are_told_to_come_back_at_different_times() {
    let mut now = Instant::now();
    let mut throttle = Throttle::new(HEADROOM_RATIO, IGNORED_COUNT, now);
    let mut random = Random(5);
    offer(&mut throttle, &mut random, (200, 20.0), 3, &mut now);
    let mut hints = Vec::new();
    for _ in 0..100 {
        hints.push(throttle.retry_after(random.ratio(), now));
    }
    hints.sort();
    assert!(hints[0] >= Duration::from_millis(100), "{hints:?}");
    assert!(
        hints[90] - hints[10] >= Duration::from_millis(200),
        "{hints:?}"
    );
}

/// Guards against a node that makes few calls and refuses half of them after one or two refusals.
#[test]
fn few_refusals_after_a_quiet_period_refuse_no_call() {
    let now = Instant::now();
    let mut throttle = Throttle::new(HEADROOM_RATIO, IGNORED_COUNT, now);
    throttle.record(false, now);
    throttle.record(false, now);
    assert_eq!(throttle.refused_ratio(now), 0.0);
    throttle.record(false, now + Duration::from_millis(100));
    throttle.record(false, now + Duration::from_millis(200));
    let refused_ratio = throttle.refused_ratio(now + Duration::from_millis(200));
    assert!(refused_ratio > 0.5, "{refused_ratio}");
}
