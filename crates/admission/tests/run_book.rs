//! Calls at work in a run of a target.
//!
//! The tests guard against a crash that counts for none of the requests that may have caused it, and
//! against accusing requests that the target has survived.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    CallEnding,
    RunBook, //
};
use figway_types::Fingerprint;

/// Returns the fingerprints of the suspects.
fn suspects(book: &RunBook) -> Vec<u64> {
    let mut fingerprints = Vec::new();
    for suspect in book.suspects() {
        fingerprints.push(suspect.fingerprint.0);
    }
    fingerprints
}

#[test]
fn requests_at_work_and_given_up_are_suspects_but_answered_ones_are_not() {
    let now = Instant::now();
    let mut book = RunBook::new(now);
    for (fingerprint, ending) in [
        (1, CallEnding::Answered),
        (2, CallEnding::NotSent),
        (3, CallEnding::GivenUp),
    ] {
        book.begin(Fingerprint(fingerprint), "id");
        book.end(Fingerprint(fingerprint), ending, now);
    }
    book.begin(Fingerprint(4), "id");
    assert_eq!(suspects(&book), [3, 4]);
}

#[test]
fn an_answer_to_one_of_two_equal_requests_leaves_the_other_at_work() {
    let now = Instant::now();
    let mut book = RunBook::new(now);
    let fingerprint = Fingerprint(1);
    book.begin(fingerprint, "a");
    book.begin(fingerprint, "b");
    book.end(fingerprint, CallEnding::Answered, now);
    assert_eq!(suspects(&book), [1]);
    book.end(fingerprint, CallEnding::Answered, now);
    assert!(suspects(&book).is_empty());
}

#[test]
fn a_request_given_up_long_before_the_target_was_last_seen_alive_is_no_suspect() {
    let now = Instant::now();
    let mut book = RunBook::new(now);
    book.begin(Fingerprint(1), "id");
    book.end(Fingerprint(1), CallEnding::GivenUp, now);
    book.record_alive(now + Duration::from_millis(2_900));
    assert_eq!(suspects(&book), [1]);
    book.record_alive(now + Duration::from_millis(3_100));
    assert!(suspects(&book).is_empty());
}

#[test]
fn a_request_given_up_stays_a_suspect_until_the_end_is_learned_however_late() {
    let now = Instant::now();
    let mut book = RunBook::new(now);
    book.begin(Fingerprint(1), "id");
    book.end(Fingerprint(1), CallEnding::GivenUp, now);
    assert!(book.has_doubtful_calls(now + Duration::from_secs(1)));
    // Nobody has seen the run alive since.
    assert!(!book.has_doubtful_calls(now + Duration::from_secs(10)));
    assert_eq!(suspects(&book), [1]);
}

#[test]
fn given_up_requests_beyond_the_limit_drop_the_oldest_and_are_counted() {
    let now = Instant::now();
    let mut book = RunBook::new(now);
    for number in 0..2_000 {
        book.begin(Fingerprint(number), "id");
        book.end(Fingerprint(number), CallEnding::GivenUp, now);
    }
    assert_eq!(book.dropped_count(), 2_000 - 1_024);
    let kept = suspects(&book);
    assert_eq!((kept.len(), kept[0]), (1_024, 2_000 - 1_024));
}
