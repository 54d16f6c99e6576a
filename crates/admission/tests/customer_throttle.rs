//! The throttle of calls of customers at one node: which calls it refuses, and how much it keeps.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    CustomerThrottle,
    ShareHolder,
    Shares, //
};

fn holder(name: &str) -> ShareHolder<'_> {
    ShareHolder { name, weight: 10.0 }
}

/// Records 16 calls a second for 3 s, of which every 16th is of the customer "small" and 2 in 5 are accepted.
fn overload(throttle: &mut CustomerThrottle, mut now: Instant) -> Instant {
    for index in 0..48_u32 {
        now += Duration::from_millis(62);
        let name = if index % 16 == 0 { "small" } else { "surging" };
        throttle.record(Some(holder(name)), index % 5 < 2, now);
    }
    now
}

/// Guards against a small customer that is refused for two or three calls that arrive close together, at a
/// node with few calls a second, while another customer causes the overload.
#[test]
fn calls_of_a_small_customer_may_arrive_close_together() {
    let now = Instant::now();
    let mut throttle = CustomerThrottle::new(1.5, 2.0, now);
    let now = overload(&mut throttle, now);
    for _ in 0..3 {
        assert!(throttle.try_call(Some(holder("small")), 0.0, now).is_ok());
        throttle.record(Some(holder("small")), true, now);
    }
    assert!(throttle.try_call(Some(holder("new")), 0.0, now).is_ok());
    assert!(throttle
        .try_call(Some(holder("surging")), 0.1, now)
        .is_err());
}

/// Guards against calls without a customer that are refused in another share than by a plain `Throttle`.
#[test]
fn calls_without_a_customer_are_refused_alike() {
    let now = Instant::now();
    let mut throttle = CustomerThrottle::new(1.5, 2.0, now);
    for _ in 0..20 {
        throttle.record(None, false, now);
    }
    assert!(throttle.try_call(None, 0.9, now).is_err());
    assert!(throttle.try_call(None, 0.99, now).is_ok());
}

/// Guards against memory that grows with the number of customers, and against counts that overflow or keep
/// old calls after a long time.
#[test]
fn counts_are_bounded_and_forget() {
    let mut now = Instant::now();
    let mut shares = Shares::new(now);
    for index in 0..10_000 {
        now += Duration::from_millis(250);
        shares.record(holder(&format!("customer-{index}")), true, now);
        shares.record(holder("steady"), index % 2 == 0, now);
        assert!(shares.customer_count() <= 128);
    }
    assert!(shares.is_above(holder("steady"), now));
    let ratio = shares.refused_ratio(holder("steady"), 0.25, now);
    assert!((0.3..=0.7).contains(&ratio), "{ratio}");
    now += Duration::from_secs(3_600);
    assert_eq!(shares.refused_ratio(holder("steady"), 0.25, now), 0.0);
    assert!(!shares.is_above(holder("steady"), now));
}
