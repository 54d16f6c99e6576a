//! Order of waiting calls: by rank, then calls that can still be answered promptly before late
//! ones. The number of late calls that wait is limited.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    Admission,
    AdmissionLimits,
    AdmitOutcome,
    CallView,
    Ticket, //
};
use figway_types::NotRunReason;

const LIMITS: AdmissionLimits = AdmissionLimits {
    slot_count: 2,
    queue_per_slot_ratio: 4.0,
    short_share_ratio: 0.0,
    overload_control: false,
};

fn call(kind: &str, rank: u32, prompt_ms: u64, now: Instant) -> CallView<'_> {
    CallView {
        kind,
        body_bytes: 0,
        customer: None,
        worth: 1.0,
        long: false,
        rank,
        prompt_by: Some(now + Duration::from_millis(prompt_ms)),
        deadline: now + Duration::from_millis(2_000),
        may_wait: true,
    }
}

fn ticket(outcome: AdmitOutcome) -> Ticket {
    match outcome {
        AdmitOutcome::Running(ticket) | AdmitOutcome::Waiting(ticket) => ticket,
        AdmitOutcome::Refused(reason) => panic!("refused: {reason:?}"),
    }
}

/// Returns an admission whose two slots are taken, with the tickets of the two calls. The service
/// time of their kind is known to be 100 ms.
fn with_full_slots(now: Instant) -> (Admission, [Ticket; 2]) {
    let mut admission = Admission::new(LIMITS);
    let sample = ticket(admission.admit(&call("work", 1, 1_000, now), now).0);
    admission.release(sample, true, now + Duration::from_millis(100));
    let first = ticket(admission.admit(&call("work", 1, 1_000, now), now).0);
    let second = ticket(admission.admit(&call("work", 1, 1_000, now), now).0);
    (admission, [first, second])
}

#[test]
fn a_lower_rank_runs_first_in_any_order_of_arrival() {
    let now = Instant::now();
    let (mut admission, running) = with_full_slots(now);
    let outer = ticket(admission.admit(&call("work", 2, 1_000, now), now).0);
    let nested = ticket(admission.admit(&call("work", 0, 1_000, now), now).0);
    assert_eq!(admission.release(running[0], true, now).running, [nested]);
    assert_eq!(admission.release(running[1], true, now).running, [outer]);
}

#[test]
fn a_call_that_can_be_prompt_runs_before_one_that_is_late() {
    let now = Instant::now();
    let (mut admission, running) = with_full_slots(now);
    let becomes_late = ticket(admission.admit(&call("work", 1, 250, now), now).0);
    let later = now + Duration::from_millis(200);
    let prompt = ticket(admission.admit(&call("work", 1, 800, later), later).0);
    assert_eq!(admission.release(running[0], true, later).running, [prompt]);
    assert_eq!(
        admission.release(running[1], true, later).running,
        [becomes_late]
    );
}

#[test]
fn late_calls_above_their_limit_are_refused_at_once() {
    let now = Instant::now();
    let (mut admission, _) = with_full_slots(now);
    for _ in 0..2 {
        ticket(admission.admit(&call("work", 1, 50, now), now).0);
    }
    let (outcome, _) = admission.admit(&call("work", 1, 50, now), now);
    assert_eq!(outcome, AdmitOutcome::Refused(NotRunReason::Overloaded));
    // A call that can be prompt is still admitted.
    ticket(admission.admit(&call("work", 1, 1_000, now), now).0);
}

#[test]
fn the_expected_wait_counts_the_calls_ahead() {
    let now = Instant::now();
    let (mut admission, running) = with_full_slots(now);
    let wait_behind_running = admission.expected_wait(1, now);
    assert_eq!(wait_behind_running, Duration::from_millis(50));
    ticket(admission.admit(&call("work", 1, 1_000, now), now).0);
    assert_eq!(admission.expected_wait(1, now), Duration::from_millis(100));
    assert_eq!(admission.expected_wait(0, now), Duration::from_millis(50));
    admission.release(running[0], false, now);
    admission.release(running[1], false, now);
    assert_eq!(admission.expected_wait(1, now), Duration::ZERO);
}

#[test]
fn a_call_that_may_not_wait_takes_a_free_slot_or_is_refused() {
    let now = Instant::now();
    let (mut admission, running) = with_full_slots(now);
    let hedge = CallView {
        may_wait: false,
        ..call("work", 0, 1_000, now)
    };
    let (outcome, dequeued) = admission.admit(&hedge, now);
    assert_eq!(outcome, AdmitOutcome::Refused(NotRunReason::Overloaded));
    assert_eq!(dequeued.refused, []);
    admission.release(running[0], true, now);
    let (outcome, _) = admission.admit(&hedge, now);
    assert!(matches!(outcome, AdmitOutcome::Running(_)), "{outcome:?}");
}
