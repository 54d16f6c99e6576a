//! Guards against messages and limits with impossible values, messages that count twice, and a costly
//! decision.

use std::time::{
    Duration,
    Instant, //
};

use figway_customers::CustomerLimit;
use figway_rate_limit::{
    customer_code,
    Admission,
    LimitBounds,
    LimitCoordinator,
    LimitedCustomer,
    UsageAnswer,
    UsageCount,
    UsageMeter,
    UsageReport, //
};

const LIMIT: CustomerLimit = CustomerLimit {
    rate_per_s: 100.0,
    burst_count: 100.0,
};

fn report(sequence: u64, counts: Vec<UsageCount>) -> UsageReport {
    UsageReport {
        epoch: 7,
        sequence,
        period_ms: 250,
        counts,
        ..UsageReport::default()
    }
}

fn coordinator(now: Instant) -> LimitCoordinator {
    let mut coordinator = LimitCoordinator::new(LimitBounds::default());
    coordinator.set_limits([(customer_code("a"), LIMIT)].into_iter(), now);
    coordinator
}

/// Returns the ratio of the customer's requests to admit after 10 s of reports without demand, and one
/// with the given counts.
fn ratio_after(counts: Vec<UsageCount>, repeat_count: u32) -> Option<u32> {
    let mut now = Instant::now();
    let mut coordinator = coordinator(now);
    for sequence in 1..=40 {
        coordinator.merge("node-1", &report(sequence, Vec::new()), now);
        now += Duration::from_millis(250);
    }
    for _ in 0..repeat_count {
        coordinator.merge("node-1", &report(41, counts.clone()), now);
    }
    let answer = coordinator.answer(now);
    assert!(answer.ready);
    answer.limited.first().map(|limited| limited.1)
}

/// Guards against a report that is repeated after a lost answer and counts twice.
#[test]
fn a_repeated_report_counts_once() {
    let counts = vec![UsageCount(customer_code("a"), 60, 60)];
    assert_eq!(ratio_after(counts.clone(), 1), None);
    assert_eq!(ratio_after(counts, 20), None);
}

/// Guards against one corrupt report that refuses other customers, or its own for long.
#[test]
fn reports_with_impossible_counts_change_no_more_than_their_customer_for_a_window() {
    let code = customer_code("a");
    assert_eq!(
        ratio_after(vec![UsageCount(1, u32::MAX, i32::MAX)], 1),
        None
    );
    assert_eq!(
        ratio_after(vec![UsageCount(code, u32::MAX, i32::MIN)], 1),
        Some(0)
    );
    let now = Instant::now();
    let mut coordinator = coordinator(now);
    let counts = vec![UsageCount(code, 0, i32::MAX)];
    coordinator.merge("node-1", &report(1, counts), now);
    for sequence in 2..60 {
        let later = now + Duration::from_millis(250) * sequence;
        coordinator.merge("node-1", &report(u64::from(sequence), Vec::new()), later);
    }
    let later = now + Duration::from_secs(15);
    coordinator.merge("node-1", &report(60, vec![UsageCount(code, 20, 20)]), later);
    assert_eq!(coordinator.answer(later).limited, Vec::new());
}

/// Guards against a limit of NaN that admits every request.
#[test]
fn limits_that_are_no_numbers_refuse_instead_of_admitting_all() {
    let now = Instant::now();
    for value in [f64::NAN, -1.0, f64::NEG_INFINITY] {
        let limit = CustomerLimit {
            rate_per_s: value,
            burst_count: value,
        };
        let mut meter = UsageMeter::new(LimitBounds::default(), 1);
        let mut admitted_count = 0;
        for index in 0..1_000 {
            let at = now + Duration::from_millis(index);
            admitted_count += usize::from(meter.try_admit("a", &limit, at) == Admission::Admitted);
        }
        assert!(
            admitted_count <= 20,
            "{admitted_count} admitted for {value}"
        );
    }
}

/// Guards against a corrupt answer that refuses requests for hours.
#[test]
fn answers_with_impossible_ratios_and_times_are_clamped() {
    let now = Instant::now();
    let mut meter = UsageMeter::new(LimitBounds::default(), 1);
    let sent = meter.report(0, "node-2", now);
    let answer = UsageAnswer {
        ready: true,
        watched: false,
        limited: vec![
            LimitedCustomer(customer_code("a"), u32::MAX, u32::MAX),
            LimitedCustomer(customer_code("b"), 0, u32::MAX),
        ],
    };
    meter.apply(0, "node-2", &sent, &answer, now, now);
    assert_eq!(meter.try_admit("a", &LIMIT, now), Admission::Admitted);
    let Admission::Limited { retry_after, .. } = meter.try_admit("b", &LIMIT, now) else {
        panic!("no request of the customer may be admitted");
    };
    assert!(retry_after <= Duration::from_secs(120), "{retry_after:?}");
}

/// Guards against counts that are lost or change in the short form of reports.
#[test]
fn counts_are_the_same_after_they_were_packed_into_a_report() {
    let counts = [
        UsageCount(u32::MAX, 1, 1),
        UsageCount(0, 1, 1),
        UsageCount(7, 1, 0),
        UsageCount(4_000_000_000, 1, 1),
    ];
    let mut packed = UsageReport::default();
    packed.set_counts(&counts);
    let text = serde_json::to_string(&packed).unwrap();
    let unpacked: UsageReport = serde_json::from_str(&text).unwrap();
    let mut all: Vec<UsageCount> = unpacked.all_counts().collect();
    all.sort_by_key(|count| count.0);
    let mut expected = counts.to_vec();
    expected.sort_by_key(|count| count.0);
    assert_eq!(all, expected);
}

/// Guards against counts of a customer that are missing after its limit was removed and set again.
#[test]
fn counts_of_a_customer_that_lost_its_limit_for_a_while_begin_anew() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut meter = UsageMeter::new(LimitBounds::default(), 1);
    for _ in 0..50 {
        meter.try_admit("a", &LIMIT, now);
    }
    let first = meter.report(0, "node-2", now);
    let answer = UsageAnswer::default();
    meter.apply(0, "node-2", &first, &answer, now, now);
    meter.retain(|_| false);
    assert_eq!(meter.try_admit("a", &LIMIT, now), Admission::Admitted);
    let again = meter.report(0, "node-2", now + second);
    assert_eq!(again.single, vec![customer_code("a")]);
    assert_eq!(again.counts, Vec::new());
    // Reports of a new feed must not be taken for repeated ones.
    let later = meter.report(0, "node-2", now + 30 * second);
    assert!(later.sequence > again.sequence);
}

/// Guards against requests that did not run and count against the limit at the coordinator.
#[test]
fn a_returned_token_is_not_reported_as_used() {
    let now = Instant::now();
    let mut meter = UsageMeter::new(LimitBounds::default(), 1);
    meter.report(0, "node-2", now);
    let answer = UsageAnswer {
        ready: true,
        watched: false,
        limited: Vec::new(),
    };
    meter.apply(0, "node-2", &report(1, Vec::new()), &answer, now, now);
    for _ in 0..5 {
        assert_eq!(meter.try_admit("a", &LIMIT, now), Admission::Admitted);
        meter.refund("a");
    }
    let later = now + Duration::from_millis(250);
    let counts = meter.report(0, "node-2", later).counts;
    assert_eq!(counts, vec![UsageCount(customer_code("a"), 5, 0)]);
}

/// The stated target is 5 us for a request, the check of the key included. The best of several rounds
/// counts, since other processes may take the core.
#[test]
fn a_decision_takes_less_than_2_us() {
    let mut meter = UsageMeter::new(LimitBounds::default(), 1);
    let customers: Vec<String> = (0..85).map(|index| format!("customer{index}")).collect();
    let now = Instant::now();
    let mut best = Duration::MAX;
    for _ in 0..10 {
        let started_at = Instant::now();
        for index in 0..10_000 {
            meter.try_admit(&customers[index % 85], &LIMIT, now);
        }
        best = best.min(started_at.elapsed() / 10_000);
    }
    eprintln!("{best:?} for a decision");
    assert!(best < Duration::from_micros(2), "{best:?}");
}
