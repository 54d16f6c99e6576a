//! Estimates by the size of the body and by the customer, where calls of one kind differ in cost.

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
    overload_control: true,
};

/// Run times of a cheap and of an expensive call.
const CHEAP: Duration = Duration::from_millis(20);
const EXPENSIVE: Duration = Duration::from_millis(200);

/// Time left that is enough for a cheap call, and not for an expensive one.
const SHORT: Duration = Duration::from_millis(60);

/// What tells a cheap from an expensive call: the size of the body and the customer.
type Class = (usize, &'static str);

const BY_SIZE: [Class; 2] = [(100, "ann"), (300_000, "ann")];
const BY_CUSTOMER: [Class; 2] = [(100, "ann"), (100, "bob")];

fn call(kind: &str, (body_bytes, customer): Class, deadline: Instant) -> CallView<'_> {
    CallView {
        kind,
        body_bytes,
        customer: Some(customer),
        worth: 1.0,
        long: false,
        rank: 0,
        prompt_by: None,
        deadline,
        may_wait: true,
    }
}

fn admit(admission: &mut Admission, class: Class, left: Duration, now: Instant) -> AdmitOutcome {
    admission.admit(&call("read", class, now + left), now).0
}

fn start(admission: &mut Admission, class: Class, now: Instant) -> Ticket {
    match admit(admission, class, Duration::from_secs(10), now) {
        AdmitOutcome::Running(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

/// Returns an admission that has run cheap and expensive calls in turn.
fn trained(limits: AdmissionLimits, classes: [Class; 2]) -> (Admission, Instant) {
    let mut admission = Admission::new(limits);
    let mut now = Instant::now();
    for index in 0..1_000 {
        let is_expensive = index % 2 == 1;
        let ticket = start(&mut admission, classes[usize::from(is_expensive)], now);
        let took = if is_expensive { EXPENSIVE } else { CHEAP };
        now += took.mul_f64(0.8 + f64::from(index % 9) * 0.05);
        admission.release(ticket, true, now);
    }
    (admission, now)
}

/// Guards against cheap calls that are refused, and expensive ones that run in vain, since other calls
/// of the same kind cost more or less.
#[test]
fn calls_are_refused_by_the_cost_of_their_class() {
    for classes in [BY_SIZE, BY_CUSTOMER] {
        let (mut admission, now) = trained(LIMITS, classes);
        let expired = AdmitOutcome::Refused(NotRunReason::Expired);
        assert_eq!(admit(&mut admission, classes[1], SHORT, now), expired);
        let longer = EXPENSIVE.mul_f64(0.65);
        assert_eq!(admit(&mut admission, classes[1], longer, now), expired);
        let cheap = admit(&mut admission, classes[0], SHORT, now);
        assert!(matches!(cheap, AdmitOutcome::Running(_)), "{cheap:?}");
    }
}

/// Guards against a wait that counts cheap and expensive calls alike.
#[test]
fn the_expected_wait_counts_the_class_of_running_and_waiting_calls() {
    for classes in [BY_SIZE, BY_CUSTOMER] {
        let mut waits = Vec::new();
        for class in classes {
            let (mut admission, now) = trained(LIMITS, classes);
            start(&mut admission, class, now);
            start(&mut admission, class, now);
            waits.push(admission.expected_wait(0, now));
            admit(&mut admission, class, Duration::from_secs(10), now);
            waits.push(admission.expected_wait(0, now));
        }
        assert!(waits[0] < CHEAP * 2, "{waits:?}");
        assert!(waits[1] < CHEAP * 3, "{waits:?}");
        assert!(waits[2] > EXPENSIVE.mul_f64(0.6), "{waits:?}");
        assert!(waits[3] > EXPENSIVE, "{waits:?}");
    }
}

/// Guards against a change for route tables without overload control.
#[test]
fn without_overload_control_calls_of_a_kind_count_as_equal() {
    let limits = AdmissionLimits {
        overload_control: false,
        ..LIMITS
    };
    let (mut admission, now) = trained(limits, BY_CUSTOMER);
    let expensive = admit(&mut admission, BY_CUSTOMER[1], SHORT, now);
    assert!(
        matches!(expensive, AdmitOutcome::Running(_)),
        "{expensive:?}"
    );
}

/// Guards against memory that grows with the routes that come and go.
#[test]
fn kinds_that_are_not_used_any_more_make_room_for_others() {
    let mut admission = Admission::new(LIMITS);
    let mut now = Instant::now();
    for index in 0..2_000 {
        for kind in ["kept".to_owned(), format!("route-{index}")] {
            let view = call(&kind, BY_SIZE[0], now + Duration::from_secs(10));
            let AdmitOutcome::Running(ticket) = admission.admit(&view, now).0 else {
                panic!("{kind} does not run");
            };
            now += CHEAP;
            admission.release(ticket, true, now);
        }
    }
    assert_eq!(admission.mean_time("route-0"), None);
    assert_eq!(admission.mean_time("kept"), Some(CHEAP));
    assert_eq!(admission.mean_time("route-1999"), Some(CHEAP));
}
