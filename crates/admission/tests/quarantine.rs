//! Quarantine of requests that crash targets.
//!
//! The tests guard against reports that never travel, and against requests that are refused for
//! crashes of which they were only witnesses.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    run_id,
    Quarantine, //
};
use figway_test_support::fixed_seed_config;
use figway_types::{
    Fingerprint,
    RequestView, //
};
use proptest::prelude::*;

/// Number of fingerprints in generated reports.
const FINGERPRINT_COUNT: u64 = 4;

/// Copies all reports of `from` after a sequence number, in batches, and returns their number.
fn copy_reports(from: &Quarantine, to: &mut Quarantine, batch_max_count: usize) -> usize {
    let now = Instant::now();
    let mut sequence = 0;
    let mut count = 0;
    while sequence < from.last_sequence() {
        let batch = from.reports_after(sequence, batch_max_count, now);
        assert!(
            batch.last_sequence > sequence,
            "no progress after {sequence}"
        );
        sequence = batch.last_sequence;
        count += batch.crashes.len() + batch.survivals.len();
        for report in batch.crashes.iter().rev() {
            to.merge_crash(report, now);
            to.merge_crash(report, now);
        }
        for report in &batch.survivals {
            to.merge_survival(report, now);
        }
    }
    count
}

proptest! {
    #![proptest_config(fixed_seed_config(49, 256))]

    #[test]
    fn quarantines_agree_for_any_order_of_reports(
        reports in prop::collection::vec(
            (0..FINGERPRINT_COUNT, 0..20_u64, prop::bool::weighted(0.7)),
            0..60,
        ),
        batch_max_count in 1..8_usize,
    ) {
        let now = Instant::now();
        let mut first = Quarantine::default();
        for (fingerprint, run, crashed) in reports {
            let fingerprint = Fingerprint(fingerprint);
            if crashed {
                first.record_crash(fingerprint, run, now);
            } else {
                first.record_answer(fingerprint, run, now);
            }
        }
        let mut second = Quarantine::default();
        copy_reports(&first, &mut second, batch_max_count);
        for fingerprint in 0..FINGERPRINT_COUNT {
            let fingerprint = Fingerprint(fingerprint);
            prop_assert_eq!(
                first.is_quarantined(fingerprint, now),
                second.is_quarantined(fingerprint, now)
            );
        }
    }

    #[test]
    fn every_report_is_in_some_batch_however_many_there_are(
        crash_count in 1..400_u64,
        batch_max_count in 1..64_usize,
    ) {
        let now = Instant::now();
        let mut quarantine = Quarantine::default();
        for crash in 0..crash_count {
            quarantine.record_crash(Fingerprint(crash), crash, now);
        }
        let mut copy = Quarantine::default();
        let sent_count = copy_reports(&quarantine, &mut copy, batch_max_count);
        prop_assert_eq!(sent_count as u64, crash_count);
        prop_assert_eq!(copy.last_sequence(), crash_count);
    }
}

#[test]
fn two_crashes_quarantine_a_fingerprint_until_they_expire() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let fingerprint = Fingerprint(7);
    quarantine.record_crash(fingerprint, 1, now);
    quarantine.record_crash(fingerprint, 1, now);
    assert!(!quarantine.is_quarantined(fingerprint, now));
    quarantine.record_crash(fingerprint, 2, now);
    assert!(quarantine.is_quarantined(fingerprint, now));
    assert!(!quarantine.is_quarantined(Fingerprint(8), now));
    assert!(!quarantine.is_quarantined(fingerprint, now + Duration::from_secs(301)));
}

#[test]
fn equal_requests_at_work_at_one_crash_count_as_one_crash() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let fingerprint = Fingerprint(7);
    for _ in 0..5 {
        let crash_id = run_id(fingerprint, "i-1", 1_000);
        quarantine.record_crash(fingerprint, crash_id, now);
    }
    assert!(!quarantine.is_quarantined(fingerprint, now));
    quarantine.record_crash(fingerprint, run_id(fingerprint, "i-1", 2_000), now);
    assert!(quarantine.is_quarantined(fingerprint, now));
}

/// Records answers of one run.
fn record_answers(quarantine: &mut Quarantine, fingerprint: Fingerprint, run: u64, count: usize) {
    for _ in 0..count {
        quarantine.record_answer(fingerprint, run, Instant::now());
    }
}

#[test]
fn a_request_that_is_answered_far_more_often_than_it_crashes_targets_is_not_quarantined() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let fingerprint = Fingerprint(7);
    // Half of the answers come before the first crash.
    record_answers(&mut quarantine, fingerprint, 10, 8);
    for crash in [1, 2] {
        quarantine.record_crash(fingerprint, crash, now);
    }
    assert!(
        quarantine.is_quarantined(fingerprint, now),
        "4 answers told"
    );
    record_answers(&mut quarantine, fingerprint, 10, 8);
    for crash in [3, 4, 5] {
        assert!(!quarantine.is_quarantined(fingerprint, now));
        quarantine.record_crash(fingerprint, crash, now);
    }
    assert!(quarantine.is_quarantined(fingerprint, now), "16 answers");
}

#[test]
fn answers_by_some_targets_do_not_outvote_the_crashes_of_others() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let fingerprint = Fingerprint(7);
    for run in 0..3 {
        quarantine.record_crash(fingerprint, run, now);
        record_answers(&mut quarantine, fingerprint, 100 + run, 3);
        let crash_count = run + 1;
        assert_eq!(
            quarantine.is_quarantined(fingerprint, now),
            crash_count >= 2,
            "after {crash_count} crashes"
        );
    }
}

#[test]
fn a_node_tells_what_it_has_answered_when_it_learns_of_a_crash_from_a_peer() {
    let now = Instant::now();
    let fingerprint = Fingerprint(7);
    let mut beside_crash = Quarantine::default();
    for crash in [1, 2] {
        beside_crash.record_crash(fingerprint, crash, now);
    }
    let mut elsewhere = Quarantine::default();
    record_answers(&mut elsewhere, fingerprint, 10, 20);
    copy_reports(&beside_crash, &mut elsewhere, 8);
    assert!(!elsewhere.is_quarantined(fingerprint, now));
    assert_eq!(elsewhere.own_sequence(), 2, "after the first crash");
    copy_reports(&elsewhere, &mut beside_crash, 8);
    assert!(!beside_crash.is_quarantined(fingerprint, now));
}

#[test]
fn a_request_at_work_at_two_crashes_is_passed_on_again_after_a_while_but_not_after_a_third() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let fingerprint = Fingerprint(7);
    for crash in [1, 2] {
        quarantine.record_crash(fingerprint, crash, now);
    }
    assert!(quarantine.is_quarantined(fingerprint, now + Duration::from_secs(59)));
    let later = now + Duration::from_secs(61);
    assert!(!quarantine.is_quarantined(fingerprint, later));
    quarantine.record_crash(fingerprint, 3, later);
    for after_s in [1, 61, 200] {
        let then = later + Duration::from_secs(after_s);
        assert!(quarantine.is_quarantined(fingerprint, then), "{after_s} s");
    }
}

#[test]
fn reports_beyond_the_limit_evict_the_oldest_and_are_counted() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for crash in 0..5_000_u64 {
        quarantine.record_crash(Fingerprint(crash), crash, now);
    }
    assert_eq!(quarantine.evicted_count(), 5_000 - 4_096);
    quarantine.record_crash(Fingerprint(4_999), 1, now);
    assert!(quarantine.is_quarantined(Fingerprint(4_999), now));
}

#[test]
fn a_request_keeps_its_fingerprint_whichever_service_its_route_leads_to() {
    let request = RequestView {
        caller: "orders",
        addressee: "site.example",
        method: "GET",
        path: "/reads/1",
        body: b"",
    };
    let elsewhere = RequestView {
        addressee: "other.example",
        ..request
    };
    // The view has no field for the service, so that a split or moved route can't change it.
    assert_eq!(request.fingerprint(), request.fingerprint());
    assert_ne!(request.fingerprint(), elsewhere.fingerprint());
}

#[test]
fn equal_requests_of_another_caller_or_with_another_body_are_other_requests() {
    let request = RequestView {
        caller: "orders",
        addressee: "site.example",
        method: "POST",
        path: "/reads/1",
        body: b"one",
    };
    let of_other_caller = RequestView {
        caller: "reads",
        ..request
    };
    let with_other_body = RequestView {
        body: b"two",
        ..request
    };
    assert_ne!(request.fingerprint(), of_other_caller.fingerprint());
    assert_ne!(request.fingerprint(), with_other_body.fingerprint());
}

#[test]
fn a_crash_that_is_taken_back_no_longer_counts_on_any_node() {
    let now = Instant::now();
    let mut first = Quarantine::default();
    let fingerprint = Fingerprint(7);
    first.record_crash(fingerprint, 1, now);
    first.record_crash(fingerprint, 2, now);
    assert!(first.is_quarantined(fingerprint, now));
    first.withdraw_crash(fingerprint, 2, now);
    let mut second = Quarantine::default();
    // The withdrawal may arrive before the crash.
    for crash in [2, 1] {
        let batch = first.reports_after(0, 3, now);
        for report in &batch.withdrawals {
            second.merge_withdrawal(report, now);
        }
        second.record_crash(fingerprint, crash, now);
    }
    assert!(!first.is_quarantined(fingerprint, now));
    assert!(!second.is_quarantined(fingerprint, now));
    second.record_crash(fingerprint, 3, now);
    assert!(second.is_quarantined(fingerprint, now));
}
