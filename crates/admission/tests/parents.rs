//! Which calls of a target may be the parent of a request that names none.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    OpenCall,
    ParentSearch,
    PossibleParents, //
};
use figway_test_support::fixed_seed_config;
use proptest::prelude::*;

fn open_call(deadline: Instant, rank: u32, is_repeat: bool) -> OpenCall {
    OpenCall {
        deadline,
        rank,
        is_repeat,
        is_given_up: false,
    }
}

/// Guards against a request of a client that passes as nested though the target runs nothing.
#[test]
fn an_idle_target_has_no_parent() {
    for deadline in [None, Some(Instant::now())] {
        let found = ParentSearch::among(std::iter::empty(), deadline);
        assert_eq!(found, ParentSearch::Idle);
    }
}

/// Guards against nested requests that are refused since they take a while to their node, and against
/// requests that pass as nested though they outlive all calls.
#[test]
fn a_request_may_be_nested_in_calls_that_expire_no_sooner() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let calls = [open_call(at(500), 3, false), open_call(at(900), 5, true)];
    for (deadline, expected) in [
        (Some(at(200)), Some((900, 5, 0.5))),
        // The first call expires together with the request, and so does the second one further down.
        (Some(at(510)), Some((900, 5, 0.0))),
        (Some(at(540)), Some((900, 5, 0.5))),
        (Some(at(700)), Some((900, 5, 1.0))),
        (Some(at(912)), Some((900, 5, 1.0))),
        (Some(at(1_500)), None),
        (None, Some((900, 5, 0.5))),
    ] {
        let expected = match expected {
            None => ParentSearch::Outlived,
            Some((deadline_ms, rank, repeat_ratio)) => ParentSearch::Possible(PossibleParents {
                deadline: at(deadline_ms),
                rank,
                repeat_ratio,
            }),
        };
        assert_eq!(
            ParentSearch::among(calls.into_iter(), deadline),
            expected,
            "{deadline:?}"
        );
    }
}

/// Guards against a retry that is not counted as one since others of its target were given up, and against
/// one that is, though its target has long dropped it.
#[test]
fn calls_that_were_given_up_count_as_repeats_only_without_others() {
    let deadline = Instant::now() + Duration::from_millis(500);
    let given_up = |is_repeat| OpenCall {
        is_given_up: true,
        ..open_call(deadline, 0, is_repeat)
    };
    let live = |is_repeat| open_call(deadline, 0, is_repeat);
    for (calls, expected) in [
        (vec![given_up(false), given_up(false), live(true)], 1.0),
        (vec![live(false), given_up(true)], 0.0),
        (vec![given_up(true), given_up(false)], 0.5),
    ] {
        let ParentSearch::Possible(found) = ParentSearch::among(calls.into_iter(), None) else {
            panic!("a call may be the parent");
        };
        assert_eq!(found.repeat_ratio, expected);
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(53, 256))]

    /// Guards against a nested request that is refused, expires before its parent, or is served before calls
    /// that are more urgent than its parent, whatever else the target runs.
    #[test]
    fn what_is_found_covers_the_real_parent(
        calls in proptest::collection::vec((0_u64..3_000, 0_u32..9, any::<bool>()), 1..20),
        parent in any::<proptest::sample::Index>(),
        earlier_ms in 0_u64..3_000,
    ) {
        let now = Instant::now();
        let calls: Vec<OpenCall> = calls
            .into_iter()
            .map(|(ms, rank, is_repeat)| open_call(now + Duration::from_millis(ms), rank, is_repeat))
            .collect();
        let parent = calls[parent.index(calls.len())];
        let deadline = parent.deadline.checked_sub(Duration::from_millis(earlier_ms));
        let found = ParentSearch::among(calls.into_iter(), deadline);
        let ParentSearch::Possible(possible) = found else {
            return Err(TestCaseError::fail(format!("{found:?}")));
        };
        prop_assert!(possible.deadline >= parent.deadline);
        prop_assert!(possible.rank >= parent.rank);
        prop_assert!((0.0..=1.0).contains(&possible.repeat_ratio));
    }
}
