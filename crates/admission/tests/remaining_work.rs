//! Expected waits at a target with stragglers.

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

const LIMITS: AdmissionLimits = AdmissionLimits {
    slot_count: 2,
    queue_per_slot_ratio: 4.0,
    short_share_ratio: 0.0,
    overload_control: false,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn admit(admission: &mut Admission, now: Instant) -> Ticket {
    let call = CallView {
        kind: "read",
        body_bytes: 0,
        customer: None,
        worth: 1.0,
        long: false,
        rank: 0,
        prompt_by: None,
        deadline: now + ms(10_000),
        may_wait: true,
    };
    match admission.admit(&call, now).0 {
        AdmitOutcome::Running(ticket) | AdmitOutcome::Waiting(ticket) => ticket,
        AdmitOutcome::Refused(reason) => panic!("{reason:?}"),
    }
}

/// Returns an admission that has served calls of about 100 ms, 3 in 100 of them of 700 ms.
fn trained(start: Instant) -> (Admission, Instant) {
    let mut admission = Admission::new(LIMITS);
    let mut now = start;
    for index in 0..1_000_u64 {
        let ticket = admit(&mut admission, now);
        now += ms(if index % 33 == 5 {
            700
        } else {
            70 + (index * 7) % 30
        });
        admission.release(ticket, true, now);
    }
    (admission, now)
}

/// Guards against waits that count a straggler as almost done, and a call that just started as half
/// done.
#[test]
fn the_expected_wait_counts_the_remaining_time_of_running_calls() {
    let (mut admission, now) = trained(Instant::now());
    admit(&mut admission, now);
    admit(&mut admission, now);
    let half = admission.expected_wait(0, now);
    admission.set_limits(AdmissionLimits {
        overload_control: true,
        ..LIMITS
    });
    let started = admission.expected_wait(0, now);
    let almost_done = admission.expected_wait(0, now + ms(75));
    let stragglers = admission.expected_wait(0, now + ms(250));
    assert!(started > half.mul_f64(1.5), "{started:?} {half:?}");
    assert!(almost_done < started, "{almost_done:?} {started:?}");
    assert!(stragglers > started.mul_f64(2.0), "{stragglers:?}");
}

/// Guards against a target that seems idle while slow calls hold its slots, or while calls wait.
#[test]
fn the_expected_wait_counts_running_and_waiting_calls() {
    let (mut admission, now) = trained(Instant::now());
    admission.set_limits(AdmissionLimits {
        slot_count: 1,
        overload_control: true,
        ..LIMITS
    });
    assert_eq!(admission.expected_wait(0, now), Duration::ZERO);
    admit(&mut admission, now);
    let one = admission.expected_wait(0, now);
    assert!(one > ms(70) && one < ms(160), "{one:?}");
    for _ in 0..3 {
        admit(&mut admission, now);
    }
    let four = admission.expected_wait(0, now);
    assert!(four > one.mul_f64(3.5), "{four:?}");
}

/// Guards against calls that wait in a queue until they are late, and are refused only then: their callers
/// have no time left to go elsewhere.
#[test]
fn calls_that_will_be_late_are_refused_when_they_arrive() {
    let (mut admission, started_at) = trained(Instant::now());
    admission.set_limits(AdmissionLimits {
        queue_per_slot_ratio: 20.0,
        overload_control: true,
        ..LIMITS
    });
    let (mut running, mut accepted_count) = (Vec::new(), 0);
    for _ in 0..40 {
        let call = CallView {
            kind: "read",
            body_bytes: 0,
            customer: None,
            worth: 1.0,
            long: false,
            rank: 0,
            prompt_by: Some(started_at + ms(300)),
            deadline: started_at + ms(900),
            may_wait: true,
        };
        match admission.admit(&call, started_at).0 {
            AdmitOutcome::Running(ticket) => running.push(ticket),
            AdmitOutcome::Waiting(_) => accepted_count += 1,
            AdmitOutcome::Refused(_) => {}
        }
    }
    // Two rounds of 100 ms may follow the first one.
    assert!((2..=5).contains(&accepted_count), "{accepted_count}");
    let mut late_count = 0;
    for round in 1..8 {
        let mut started = Vec::new();
        for ticket in std::mem::take(&mut running) {
            let dequeued = admission.release(ticket, true, started_at + ms(100) * round);
            started.extend(dequeued.running);
            late_count += dequeued.refused.len();
        }
        running = started;
    }
    assert!(late_count <= 1, "{late_count} were refused after a wait");
}
