//! Admission under the rate limit that a target states, with random arrivals and changing limits.

use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    Admission,
    AdmissionLimits,
    AdmitOutcome,
    CallView,
    Dequeued,
    Ticket, //
};
use figway_test_support::fixed_seed_config;
use figway_types::{
    NotRunReason,
    RateLimit, //
};
use proptest::prelude::*;

const LIMITS: AdmissionLimits = AdmissionLimits {
    slot_count: 50,
    queue_per_slot_ratio: 2.0,
    short_share_ratio: 0.0,
    overload_control: false,
};

/// Span of time over which a target sums its calls.
const WINDOW: Duration = Duration::from_secs(4);

/// Calls above the limit that may start in a window: the largest burst, at 0.1 s of the limit.
fn allowed_count(limit_per_s: f64) -> f64 {
    limit_per_s * WINDOW.as_secs_f64() + (limit_per_s * 0.1).max(1.0) + 1.0
}

fn limit(per_s: f64) -> Option<RateLimit> {
    Some(RateLimit::new(per_s).unwrap())
}

fn call(rank: u32, budget_ms: u64, now: Instant) -> CallView<'static> {
    CallView {
        kind: "lookup",
        body_bytes: 0,
        customer: None,
        worth: 1.0,
        long: false,
        rank,
        prompt_by: None,
        deadline: now + Duration::from_millis(budget_ms),
        may_wait: true,
    }
}

/// Admission on a clock that the test advances.
struct Paced {
    admission: Admission,
    now: Instant,
    started_at: Vec<Instant>,
    waiting: Vec<(Ticket, Instant)>,
}

impl Paced {
    fn new(now: Instant) -> Self {
        Self {
            admission: Admission::new(LIMITS),
            now,
            started_at: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn admit(&mut self, rank: u32, budget_ms: u64) -> AdmitOutcome {
        let call = call(rank, budget_ms, self.now);
        let (outcome, dequeued) = self.admission.admit(&call, self.now);
        match outcome {
            AdmitOutcome::Running(ticket) => self.run(ticket),
            AdmitOutcome::Waiting(ticket) => self.waiting.push((ticket, call.deadline)),
            AdmitOutcome::Refused(_) => {}
        }
        self.record(dequeued);
        outcome
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(turn_at) = self.admission.next_turn_at(self.now) {
            if turn_at > until {
                break;
            }
            // A timer fires slightly late.
            self.now = turn_at + Duration::from_micros(1);
            let dequeued = self.admission.dispatch(self.now);
            self.record(dequeued);
        }
        self.now = self.now.max(until);
    }

    fn record(&mut self, dequeued: Dequeued) {
        for ticket in dequeued.running {
            let index = self.index_of(ticket);
            let (_, deadline) = self.waiting.remove(index);
            assert!(self.now < deadline, "started after its deadline");
            self.run(ticket);
        }
        for (ticket, _) in dequeued.refused {
            let index = self.index_of(ticket);
            self.waiting.remove(index);
        }
    }

    fn index_of(&self, ticket: Ticket) -> usize {
        let found = self.waiting.iter().position(|(known, _)| *known == ticket);
        found.expect("only waiting calls leave the queue")
    }

    /// Starts a call that ends at once.
    fn run(&mut self, ticket: Ticket) {
        self.started_at.push(self.now);
        let dequeued = self.admission.release(ticket, false, self.now);
        self.record(dequeued);
    }

    fn busiest_window_count(&self, since: Instant) -> usize {
        let mut busiest = 0;
        for (index, end) in self.started_at.iter().enumerate() {
            let first = self
                .started_at
                .partition_point(|start| *start < since || *start + WINDOW < *end);
            busiest = busiest.max((index + 1).saturating_sub(first));
        }
        busiest
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(47, 128))]

    #[test]
    fn no_window_holds_more_starts_than_the_limit(
        limits in prop::collection::vec(prop_oneof![Just(0.0), 0.3..8.0, 8.0..300.0_f64], 1..4),
        arrivals in prop::collection::vec((0..40_u64, 0..3_u32, 1..1_500_u64), 200..600),
    ) {
        let mut paced = Paced::new(Instant::now());
        let phase_len = arrivals.len() / limits.len();
        for (phase, per_s) in limits.iter().enumerate() {
            paced.admission.set_rate_limit(limit(*per_s), paced.now);
            let since = paced.now;
            for (gap_ms, rank, budget_ms) in &arrivals[phase * phase_len..(phase + 1) * phase_len] {
                paced.advance(Duration::from_millis(*gap_ms));
                paced.admit(*rank, *budget_ms);
            }
            let busiest = paced.busiest_window_count(since);
            // The bucket keeps at most one call's token when the limit falls.
            let allowed = allowed_count(per_s.max(0.25));
            prop_assert!(busiest as f64 <= allowed, "{} started, allowed {}", busiest, allowed);
        }
    }
}

#[test]
fn a_call_whose_turn_comes_after_its_deadline_is_refused_on_arrival() {
    let mut paced = Paced::new(Instant::now());
    paced.admission.set_rate_limit(limit(10.0), paced.now);
    for _ in 0..4 {
        assert!(matches!(paced.admit(1, 450), AdmitOutcome::Waiting(_)));
    }
    let refused = AdmitOutcome::Refused(NotRunReason::RateLimited);
    assert_eq!(paced.admit(1, 450), refused);
    assert!(matches!(paced.admit(1, 600), AdmitOutcome::Waiting(_)));
    // A call of a lower rank takes an earlier turn, so the last one that fitted is refused.
    let waiting_count = paced.waiting.len();
    assert!(matches!(paced.admit(0, 450), AdmitOutcome::Waiting(_)));
    paced.advance(Duration::from_millis(101));
    assert_eq!(paced.started_at.len(), 1);
    assert_eq!(paced.waiting.len(), waiting_count - 1);
}

#[test]
fn a_call_that_may_not_wait_is_refused_while_the_limit_lets_none_start() {
    let now = Instant::now();
    let mut admission = Admission::new(LIMITS);
    admission.set_rate_limit(limit(10.0), now);
    let hedge = CallView {
        may_wait: false,
        ..call(0, 1_000, now)
    };
    let (outcome, _) = admission.admit(&hedge, now);
    assert_eq!(outcome, AdmitOutcome::Refused(NotRunReason::RateLimited));
    assert_eq!(admission.busy_ratio(now), 1.0);
    let later = now + Duration::from_millis(101);
    let (outcome, _) = admission.admit(&hedge, later);
    assert!(matches!(outcome, AdmitOutcome::Running(_)), "{outcome:?}");
}

#[test]
fn the_expected_wait_counts_the_turns_of_the_calls_ahead() {
    let mut paced = Paced::new(Instant::now());
    paced.admission.set_rate_limit(limit(10.0), paced.now);
    for _ in 0..3 {
        paced.admit(1, 1_000);
    }
    let wait = paced.admission.expected_wait(1, paced.now);
    assert_eq!(wait.as_millis(), 400);
    assert_eq!(paced.admission.expected_wait(0, paced.now).as_millis(), 100);
    paced.admission.set_rate_limit(None, paced.now);
    assert_eq!(paced.admission.expected_wait(1, paced.now), Duration::ZERO);
}

#[test]
fn a_huge_limit_lets_every_call_start() {
    let mut paced = Paced::new(Instant::now());
    paced.admission.set_rate_limit(limit(f64::MAX), paced.now);
    paced.advance(Duration::from_millis(1));
    for _ in 0..100 {
        assert!(matches!(paced.admit(1, 100), AdmitOutcome::Running(_)));
    }
}

#[test]
fn a_limit_is_a_finite_number_that_is_not_negative() {
    for text in ["", "abc", "-1", "inf", "-inf", "nan", "1e999", "1,5"] {
        assert!(text.parse::<RateLimit>().is_err(), "{text}");
    }
    for (text, per_s) in [("0", 0.0), ("-0", 0.0), (" 2.5 ", 2.5), ("1e3", 1_000.0)] {
        assert_eq!(text.parse::<RateLimit>().unwrap().per_s(), per_s, "{text}");
    }
}
