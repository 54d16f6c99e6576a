//! Compares admission with a naive model, and checks the retry budget.

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
    RetryBudget,
    Ticket, //
};
use figway_test_support::fixed_seed_config;
use figway_types::{
    NotRunReason, //
};
use proptest::prelude::*;

const LIMITS: AdmissionLimits = AdmissionLimits {
    slot_count: 4,
    queue_per_slot_ratio: 1.0,
    short_share_ratio: 0.25,
    overload_control: false,
};
const LONG_MAX_COUNT: usize = 3;
const QUEUE_MAX_COUNT: usize = 4;
const KINDS: [&str; 2] = ["lookup", "order"];

#[derive(Clone, Debug)]
enum Op {
    Admit {
        kind: usize,
        worth: u8,
        long: bool,
        budget_ms: u64,
    },
    ReleaseRunning(usize),
    ReleaseWaiting(usize),
    AdvanceMs(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0..2_usize, 1..5_u8, prop::bool::ANY, 0..400_u64).prop_map(
            |(kind, worth, long, budget_ms)| Op::Admit { kind, worth, long, budget_ms }
        ),
        3 => (0..4_usize).prop_map(Op::ReleaseRunning),
        1 => (0..4_usize).prop_map(Op::ReleaseWaiting),
        2 => (0..100_u64).prop_map(Op::AdvanceMs),
    ]
}

#[derive(Clone, Debug, PartialEq)]
struct Held {
    ticket: Ticket,
    worth: u8,
    long: bool,
    deadline: Instant,
}

/// Naive model of admission. No call is answered, so that all kinds have the same service time and
/// only worth and order decide.
#[derive(Default)]
struct Naive {
    running: Vec<Held>,
    waiting: Vec<Held>,
}

impl Naive {
    fn fits(&self, held: &Held) -> bool {
        let long_count = self.running.iter().filter(|held| held.long).count();
        self.running.len() < 4 && (!held.long || long_count < LONG_MAX_COUNT)
    }

    /// Returns the outcome of the call and the ticket of the waiting call that was shed for it.
    fn admit(&mut self, held: Held, now: Instant) -> (&'static str, Option<Ticket>) {
        if held.deadline <= now {
            return ("expired", None);
        }
        if self.fits(&held) {
            self.running.push(held);
            return ("running", None);
        }
        if self.waiting.len() < QUEUE_MAX_COUNT {
            self.waiting.push(held);
            return ("waiting", None);
        }
        let least = self.waiting.iter().map(|held| held.worth).min().unwrap();
        if least >= held.worth {
            return ("overloaded", None);
        }
        let last = self
            .waiting
            .iter()
            .rposition(|held| held.worth == least)
            .unwrap();
        let shed = self.waiting.remove(last);
        self.waiting.push(held);
        ("waiting", Some(shed.ticket))
    }

    fn release(&mut self, ticket: Ticket, now: Instant) -> Dequeued {
        self.running.retain(|held| held.ticket != ticket);
        self.waiting.retain(|held| held.ticket != ticket);
        let mut dequeued = Dequeued::default();
        for held in self.waiting.clone() {
            if held.deadline <= now {
                self.waiting.retain(|waiting| waiting.ticket != held.ticket);
                dequeued.refused.push((held.ticket, NotRunReason::Expired));
            }
        }
        loop {
            let mut best: Option<Held> = None;
            for held in &self.waiting {
                if self.fits(held) && best.as_ref().is_none_or(|best| held.worth > best.worth) {
                    best = Some(held.clone());
                }
            }
            let Some(best) = best else {
                return dequeued;
            };
            self.waiting.retain(|held| held.ticket != best.ticket);
            dequeued.running.push(best.ticket);
            self.running.push(best);
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(43, 512))]

    #[test]
    fn every_decision_equals_that_of_the_naive_model(ops in prop::collection::vec(op(), 0..120)) {
        let mut now = Instant::now();
        let mut admission = Admission::new(LIMITS);
        let mut naive = Naive::default();
        for op in ops {
            match op {
                Op::Admit { kind, worth, long, budget_ms } => {
                    let deadline = now + Duration::from_millis(budget_ms);
                    let call = CallView { kind: KINDS[kind], body_bytes: 0, customer: None, worth: f64::from(worth), long, rank: 0, prompt_by: None, deadline, may_wait: true };
                    let (outcome, dequeued) = admission.admit(&call, now);
                    let ticket = match outcome {
                        AdmitOutcome::Running(ticket) | AdmitOutcome::Waiting(ticket) => ticket,
                        AdmitOutcome::Refused(_) => Ticket(u64::MAX),
                    };
                    let (expected, shed) = naive.admit(Held { ticket, worth, long, deadline }, now);
                    let same = match outcome {
                        AdmitOutcome::Running(_) => expected == "running",
                        AdmitOutcome::Waiting(_) => expected == "waiting",
                        AdmitOutcome::Refused(reason) => expected == reason.name(),
                    };
                    prop_assert!(same, "{outcome:?}, expected {expected}");
                    let shed: Vec<_> =
                        shed.into_iter().map(|ticket| (ticket, NotRunReason::Overloaded)).collect();
                    prop_assert_eq!(dequeued.refused, shed);
                }
                Op::ReleaseRunning(index) => {
                    if let Some(held) = naive.running.get(index).cloned() {
                        let dequeued = admission.release(held.ticket, false, now);
                        prop_assert_eq!(dequeued, naive.release(held.ticket, now));
                    }
                }
                Op::ReleaseWaiting(index) => {
                    if let Some(held) = naive.waiting.get(index).cloned() {
                        let dequeued = admission.release(held.ticket, false, now);
                        prop_assert_eq!(dequeued, naive.release(held.ticket, now));
                    }
                }
                Op::AdvanceMs(ms) => now += Duration::from_millis(ms),
            }
            prop_assert_eq!(admission.running_count(), naive.running.len());
            prop_assert_eq!(admission.waiting_count(), naive.waiting.len());
        }
    }

    #[test]
    fn retries_stay_within_the_ratio_and_the_burst(
        ratio in 0.0..0.5_f64,
        retries in prop::collection::vec(prop::bool::ANY, 0..500),
    ) {
        let mut budget = RetryBudget::new(ratio, 10.0);
        let (mut call_count, mut retry_count) = (0, 0);
        for is_retry in retries {
            if is_retry {
                retry_count += u32::from(budget.try_withdraw());
            } else {
                call_count += 1;
                budget.deposit();
            }
            let allowed = if ratio > 0.0 { 10.0 + ratio * f64::from(call_count) } else { 0.0 };
            prop_assert!(f64::from(retry_count) <= allowed + 1e-6);
        }
    }
}

#[test]
fn waiting_calls_run_in_order_of_worth_per_slot_second() {
    let mut now = Instant::now();
    let mut admission = Admission::new(AdmissionLimits {
        slot_count: 1,
        queue_per_slot_ratio: 4.0,
        ..LIMITS
    });
    let call = |kind, worth| CallView {
        kind,
        body_bytes: 0,
        customer: None,
        worth,
        long: false,
        rank: 0,
        prompt_by: None,
        deadline: now + Duration::from_secs(60),
        may_wait: true,
    };
    let (lookup, report, order) = (
        call("lookup", 1.0),
        call("report", 5.0),
        call("order", 20.0),
    );
    for (view, took_ms) in [(&lookup, 10), (&report, 500), (&order, 50)] {
        let (AdmitOutcome::Running(ticket), _) = admission.admit(view, now) else {
            panic!("the slot is free");
        };
        now += Duration::from_millis(took_ms);
        admission.release(ticket, true, now);
    }
    let (AdmitOutcome::Running(first), _) = admission.admit(&lookup, now) else {
        panic!("the slot is free");
    };
    let mut waiting = Vec::new();
    for view in [&report, &lookup, &order] {
        let (AdmitOutcome::Waiting(ticket), _) = admission.admit(view, now) else {
            panic!("the slot is taken and the queue is not full");
        };
        waiting.push(ticket);
    }
    // Worth per slot-second: 400 for orders, 100 for lookups, 10 for reports.
    let mut run_order = Vec::new();
    let mut running = first;
    for _ in 0..3 {
        running = admission.release(running, false, now).running[0];
        run_order.push(running);
    }
    assert_eq!(run_order, [waiting[2], waiting[1], waiting[0]]);
}
