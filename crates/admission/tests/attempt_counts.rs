//! What the attempts of a call say about the room at the targets, when the call ends or its deadline passes.

use figway_admission::{
    AttemptCounts,
    Treatment, //
};

fn counts(ended: &[Treatment], in_flight_count: usize) -> AttemptCounts {
    let mut counts = AttemptCounts::default();
    for treatment in ended {
        counts.begin();
        counts.end(*treatment);
    }
    for _ in 0..in_flight_count {
        counts.begin();
    }
    counts
}

/// Guards against a throttle that never hears of calls whose deadline passes while an attempt is in flight
/// or while they wait for a target after refusals.
#[test]
fn a_call_whose_deadline_passes_is_counted_by_how_targets_treated_it() {
    assert_eq!(counts(&[Treatment::Refused], 1).accepted(), Some(true));
    assert_eq!(counts(&[Treatment::Refused], 0).accepted(), Some(false));
    assert_eq!(counts(&[], 1).accepted(), Some(true));
}

/// Guards against a throttle that closes for calls that no target refused, or opens for calls that no
/// target ran.
#[test]
fn a_call_that_says_nothing_about_room_is_not_counted() {
    assert_eq!(counts(&[], 0).accepted(), None);
    let failed = [Treatment::Failed, Treatment::Failed];
    assert_eq!(counts(&failed, 0).accepted(), None);
    let then_refused = [Treatment::Failed, Treatment::Refused];
    assert_eq!(counts(&then_refused, 0).accepted(), Some(false));
    let then_accepted = [Treatment::Refused, Treatment::Accepted];
    assert_eq!(counts(&then_accepted, 0).accepted(), Some(true));
}
