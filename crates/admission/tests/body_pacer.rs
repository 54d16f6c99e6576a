//! Large bodies that arrive over a link of small bandwidth.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    checked_pace,
    ArrivalBounds,
    BodyPacer,
    TooSlow, //
};

const LINK_MBPS: u32 = 10;

const BODY_BYTES: usize = 60_000;

/// Returns the same bound for bodies that wait and those that don't.
fn by(latest: Instant) -> ArrivalBounds {
    ArrivalBounds {
        at_once: latest,
        waiting: latest,
    }
}

/// Guards against bodies that fill the link, so that small calls wait behind them: offered twice what
/// the link carries, they take at most their share of it.
#[test]
fn bodies_take_at_most_their_share_of_the_link() {
    let started_at = Instant::now();
    let mut pacer = BodyPacer::new(LINK_MBPS, started_at);
    let mut accepted_bytes = 0;
    for index in 0..400 {
        let now = started_at + Duration::from_millis(25) * index;
        let latest = now + Duration::from_millis(500);
        if let Some(start_at) = pacer.reserve(BODY_BYTES, by(latest), now) {
            assert!(start_at >= now && start_at < latest);
            accepted_bytes += BODY_BYTES;
        }
    }
    let link_bytes = f64::from(LINK_MBPS) * 1e6 / 8.0 * 10.5;
    let ratio = accepted_bytes as f64 / link_bytes;
    assert!((0.5..=0.65).contains(&ratio), "{ratio}");
}

/// Guards against a body that is accepted although it can't arrive in time, and uses the link for nothing.
#[test]
fn a_body_that_would_arrive_too_late_is_refused_at_once() {
    let now = Instant::now();
    let mut pacer = BodyPacer::new(LINK_MBPS, now);
    assert!(pacer
        .reserve(BODY_BYTES, by(now + Duration::from_millis(50)), now)
        .is_none());
    assert_eq!(pacer.wait(now), Duration::ZERO);
    assert_eq!(
        pacer.reserve(BODY_BYTES, by(now + Duration::from_millis(200)), now),
        Some(now)
    );
}

/// Guards against a host whose settings name no bandwidth and that would take no bodies.
#[test]
fn an_unknown_link_takes_every_body() {
    let now = Instant::now();
    let mut pacer = BodyPacer::new(0, now);
    assert_eq!(pacer.reserve(usize::MAX, by(now), now), Some(now));
}

/// Guards against a large body that an idle host refuses although its answer can come before the
/// deadline.
#[test]
fn a_body_that_need_not_wait_has_until_its_own_bound() {
    let now = Instant::now();
    let mut pacer = BodyPacer::new(LINK_MBPS, now);
    let bounds = ArrivalBounds {
        at_once: now + Duration::from_millis(1_000),
        waiting: now + Duration::from_millis(300),
    };
    assert_eq!(pacer.reserve(360_000, bounds, now), Some(now));
    assert_eq!(pacer.reserve(BODY_BYTES, bounds, now), None);
}

/// Guards against a link that stays reserved for bodies whose callers have left.
#[test]
fn a_body_that_is_not_sent_gives_its_time_back() {
    let now = Instant::now();
    let mut pacer = BodyPacer::new(LINK_MBPS, now);
    let latest = by(now + Duration::from_millis(500));
    pacer.reserve(BODY_BYTES, latest, now);
    pacer.give_back(BODY_BYTES, now);
    assert_eq!(pacer.reserve(BODY_BYTES, latest, now), Some(now));
}

/// Guards against a body that is sent so slowly that it can't arrive before the deadline, and against a
/// stated pace that is none.
#[test]
fn a_stated_pace_is_kept_only_if_the_body_arrives_in_time() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let check = |stated| checked_pace(stated, BODY_BYTES, deadline, now);
    let enough = BODY_BYTES as f64;
    assert_eq!(check(Some(enough)), Ok(Some(enough)));
    assert_eq!(check(Some(enough * 0.9)), Err(TooSlow));
    assert_eq!(check(Some(1.0)), Err(TooSlow));
    for none in [0.0, -5.0, 1e-300, f64::NAN, f64::INFINITY] {
        assert_eq!(check(Some(none)), Ok(None), "{none}");
    }
    assert_eq!(check(None), Ok(None));
    assert_eq!(
        checked_pace(Some(enough), BODY_BYTES, now, deadline),
        Err(TooSlow)
    );
}
