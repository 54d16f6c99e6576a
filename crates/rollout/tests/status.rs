//! Ends in the log: to which of several orders they belong.

use std::time::{
    Duration,
    Instant, //
};

use figway_rollout::{
    plan_status,
    Phase,
    RolloutBook,
    RolloutOrder,
    RolloutStatus,
    StatusRecord,
    StatusState,
    StatusStep, //
};
use figway_types::Offset;

fn order() -> RolloutOrder {
    RolloutOrder {
        service: "shop".to_owned(),
        target_version: "v2".to_owned(),
        duration_ms: 12_000,
    }
}

fn record(state: StatusState, offset: u64) -> StatusRecord {
    StatusRecord {
        status: RolloutStatus {
            service: "shop".to_owned(),
            target_version: "v2".to_owned(),
            state,
        },
        offset: Offset(offset),
    }
}

fn step(book: &RolloutBook, newest: &StatusRecord, now: Instant) -> StatusStep {
    plan_status(book.get("shop").unwrap(), Some(newest), true, now)
}

/// Returns a book whose first order is running and was replaced by one of the same version.
fn replaced_by_same(now: Instant) -> RolloutBook {
    let mut book = RolloutBook::default();
    assert!(book.record_order(&order(), Offset(5), true, Some("v1"), now));
    book.record_running("shop", Offset(5), Offset(1));
    assert!(book.record_order(&order(), Offset(6), true, Some("v1"), now));
    book
}

/// Guards against a second order that takes over the end of the first, which the log took late.
#[test]
fn an_end_that_was_under_way_is_not_adopted_for_the_next_order() {
    let now = Instant::now();
    let later = now + Duration::from_secs(4);
    for state in [StatusState::Completed, StatusState::RolledBack] {
        let mut book = replaced_by_same(now);
        let append = StatusStep::Append(StatusState::Running);
        assert_eq!(step(&book, &record(state, 2), later), append);
        book.record_running("shop", Offset(6), Offset(3));
        let phase = match state {
            StatusState::Completed => Phase::Completed,
            _ => Phase::RolledBack,
        };
        let end = record(state, 4);
        assert_eq!(step(&book, &end, later), StatusStep::Adopt(phase));
    }
}

/// Guards against the record that the first order is running, which is taken for that of the second.
#[test]
fn a_start_is_not_taken_for_that_of_the_next_order() {
    let now = Instant::now();
    let book = replaced_by_same(now);
    let append = StatusStep::Append(StatusState::Running);
    let later = now + Duration::from_secs(4);
    assert_eq!(step(&book, &record(StatusState::Running, 1), later), append);
    let own = record(StatusState::Running, 2);
    assert_eq!(step(&book, &own, later), StatusStep::Recorded);
}

/// Guards against the end of a finished rollout that a later order of the same version takes over once
/// some time has passed, and against an end of its own that it does not see.
#[test]
fn only_a_later_end_than_that_of_the_finished_order_is_adopted() {
    let now = Instant::now();
    let later = now + Duration::from_secs(4);
    let mut book = RolloutBook::default();
    assert!(book.record_order(&order(), Offset(5), true, Some("v1"), now));
    let end = record(StatusState::RolledBack, 2);
    book.record_end("shop", Offset(5), Phase::RolledBack, end.offset, now);
    assert!(book.record_order(&order(), Offset(6), true, Some("v1"), now));
    let mut peer = RolloutBook::default();
    for state in book.states_after(0, 8, now).states {
        peer.merge(&state, now);
    }
    for book in [&book, &peer] {
        let append = StatusStep::Append(StatusState::Running);
        assert_eq!(step(book, &end, later), append);
        let own = record(StatusState::RolledBack, 4);
        assert_eq!(
            step(book, &own, later),
            StatusStep::Adopt(Phase::RolledBack)
        );
    }
}

/// Guards against a version that gets a canary's share though the log says that it was completed, so
/// that its calls go to old targets that stop.
#[test]
fn a_version_that_was_completed_after_all_keeps_its_calls() {
    let now = Instant::now();
    let mut book = replaced_by_same(now);
    book.record_completed_before(&record(StatusState::Completed, 2), now);
    assert_eq!(book.get("shop").unwrap().phase(), Phase::Full);
    assert_eq!(book.get("shop").unwrap().base(), Some("v2"));
}
