//! Calls in time at more load than there is room for: a service whose calls make nested calls to a
//! smaller one, with the throttles of the callers' nodes and admission beside each target.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
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
    Throttle,
    Ticket, //
};
use figway_types::{
    mix,
    FastMap, //
};

const OUTER_TARGET_COUNT: usize = 12;
const INNER_TARGET_COUNT: usize = 2;
const SLOT_COUNT: u32 = 6;
const CALLER_COUNT: usize = 15;
const OUTER_MS: f64 = 110.0;
const INNER_MS: f64 = 30.0;
const NESTED_PROBABILITY: f64 = 0.7;
const PROMPT: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1_200);
const INNER_DEADLINE: Duration = Duration::from_millis(400);
const TRY_COUNT: u8 = 2;
const DURATION_S: f64 = 20.0;

/// Outer calls a second whose nested calls fill all slots of the inner targets, which are fewer than
/// those that the outer targets could serve.
const CAPACITY_PER_S: f64 =
    INNER_TARGET_COUNT as f64 * SLOT_COUNT as f64 * 1_000.0 / (2.0 * NESTED_PROBABILITY * INNER_MS);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    InnerEnds { call: usize },
    OuterEnds { call: usize },
}

struct Call {
    arrived_at: Instant,
    caller: usize,
    outer: usize,
    ticket: Ticket,
    inner: Option<(usize, Ticket)>,
    nested_left: u8,
}

struct Simulation {
    controlled: bool,
    random: u64,
    now: Instant,
    started_at: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    event_count: u64,
    outer: Vec<Admission>,
    inner: Vec<Admission>,
    callers: Vec<Throttle>,
    nested: Vec<Throttle>,
    runs: Vec<Throttle>,
    calls: Vec<Call>,
    outer_calls: FastMap<(usize, u64), usize>,
    inner_calls: FastMap<(usize, u64), usize>,
    prompt_count: u32,
}

impl Simulation {
    fn new(controlled: bool, seed: u64) -> Self {
        let now = Instant::now();
        let admission = || {
            Admission::new(AdmissionLimits {
                slot_count: SLOT_COUNT,
                queue_per_slot_ratio: 4.0,
                short_share_ratio: 0.0,
                overload_control: controlled,
            })
        };
        let throttles = |count: usize, ratio: f64| vec![Throttle::new(ratio, 2.0, now); count];
        Self {
            controlled,
            random: seed,
            now,
            started_at: now,
            events: BinaryHeap::new(),
            event_count: 0,
            outer: (0..OUTER_TARGET_COUNT).map(|_| admission()).collect(),
            inner: (0..INNER_TARGET_COUNT).map(|_| admission()).collect(),
            callers: throttles(CALLER_COUNT, 1.5),
            nested: throttles(OUTER_TARGET_COUNT, 1.5),
            runs: throttles(OUTER_TARGET_COUNT, 1.25),
            calls: Vec::new(),
            outer_calls: FastMap::default(),
            inner_calls: FastMap::default(),
            prompt_count: 0,
        }
    }

    /// Returns the calls a second that were answered promptly, at `per_s` calls a second.
    fn run(mut self, per_s: f64) -> f64 {
        self.schedule(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if (at - self.started_at).as_secs_f64() > DURATION_S {
                break;
            }
            match event {
                Event::Arrival => {
                    let gap_s = -(1.0 - self.ratio()).ln() / per_s;
                    self.schedule(Duration::from_secs_f64(gap_s), Event::Arrival);
                    self.arrive();
                }
                Event::InnerEnds { call } => self.end_inner(call),
                Event::OuterEnds { call } => self.end_outer(call, true),
            }
        }
        f64::from(self.prompt_count) / DURATION_S
    }

    fn ratio(&mut self) -> f64 {
        self.random = mix(self.random);
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.ratio() * count as f64) as usize % count
    }

    /// Returns a run time around `mean_ms`, of which 3 in 100 are seven times as long.
    fn run_time(&mut self, mean_ms: f64) -> Duration {
        let spread = 0.55 + 0.7 * self.ratio();
        let straggles = self.ratio() < 0.03;
        let factor = if straggles { 7.0 } else { 1.0 };
        Duration::from_secs_f64(mean_ms * spread * factor / 1_000.0)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        let entry = (self.now + after, self.event_count, event);
        self.events.push(Reverse(entry));
    }

    fn lets_through(&mut self, pick: impl Fn(&mut Self) -> &mut Throttle) -> bool {
        let ratio = self.ratio();
        let now = self.now;
        let controlled = self.controlled;
        !controlled || pick(self).try_call(ratio, now).is_ok()
    }

    fn arrive(&mut self) {
        let caller = self.below(CALLER_COUNT);
        if !self.lets_through(|simulation| &mut simulation.callers[caller]) {
            return;
        }
        let arrived_at = self.now;
        for _ in 0..TRY_COUNT {
            let outer = self.below(OUTER_TARGET_COUNT);
            if !self.lets_through(|simulation| &mut simulation.runs[outer]) {
                continue;
            }
            let call = CallView {
                kind: "outer",
                body_bytes: 0,
                customer: None,
                worth: 1.0,
                long: false,
                rank: 1,
                prompt_by: Some(arrived_at + PROMPT),
                deadline: arrived_at + DEADLINE,
                may_wait: true,
            };
            let (entered, dequeued) = self.outer[outer].admit(&call, self.now);
            let (AdmitOutcome::Running(ticket) | AdmitOutcome::Waiting(ticket)) = entered else {
                self.start_outer(outer, dequeued);
                continue;
            };
            let nested_left = u8::from(self.ratio() < NESTED_PROBABILITY)
                + u8::from(self.ratio() < NESTED_PROBABILITY);
            self.calls.push(Call {
                arrived_at,
                caller,
                outer,
                ticket,
                inner: None,
                nested_left,
            });
            self.outer_calls
                .insert((outer, ticket.0), self.calls.len() - 1);
            self.start_outer(outer, dequeued);
            if entered == AdmitOutcome::Running(ticket) {
                self.advance(self.calls.len() - 1);
            }
            return;
        }
        self.callers[caller].record(false, arrived_at);
    }

    fn start_outer(&mut self, outer: usize, dequeued: Dequeued) {
        for (ticket, _) in dequeued.refused {
            if let Some(call) = self.outer_calls.remove(&(outer, ticket.0)) {
                let caller = self.calls[call].caller;
                self.callers[caller].record(false, self.now);
            }
        }
        for ticket in dequeued.running {
            self.advance(self.outer_calls[&(outer, ticket.0)]);
        }
    }

    /// Makes the next nested call, or does the work of the call itself.
    fn advance(&mut self, call: usize) {
        if self.calls[call].nested_left == 0 {
            let run_time = self.run_time(OUTER_MS);
            return self.schedule(run_time, Event::OuterEnds { call });
        }
        self.calls[call].nested_left -= 1;
        let outer = self.calls[call].outer;
        if self.lets_through(|simulation| &mut simulation.nested[outer]) {
            for _ in 0..TRY_COUNT {
                if self.enter_inner(call) {
                    return;
                }
            }
            self.nested[outer].record(false, self.now);
        }
        self.end_outer(call, false);
    }

    fn enter_inner(&mut self, call: usize) -> bool {
        let inner = self.below(INNER_TARGET_COUNT);
        let deadline = self.now + INNER_DEADLINE;
        let view = CallView {
            kind: "inner",
            body_bytes: 0,
            customer: None,
            worth: 1.0,
            long: false,
            rank: 0,
            prompt_by: Some(deadline),
            deadline,
            may_wait: true,
        };
        let (entered, dequeued) = self.inner[inner].admit(&view, self.now);
        let (AdmitOutcome::Running(ticket) | AdmitOutcome::Waiting(ticket)) = entered else {
            self.start_inner(inner, dequeued);
            return false;
        };
        self.calls[call].inner = Some((inner, ticket));
        self.inner_calls.insert((inner, ticket.0), call);
        self.start_inner(inner, dequeued);
        if entered == AdmitOutcome::Running(ticket) {
            let run_time = self.run_time(INNER_MS);
            self.schedule(run_time, Event::InnerEnds { call });
        }
        true
    }

    fn start_inner(&mut self, inner: usize, dequeued: Dequeued) {
        for (ticket, _) in dequeued.refused {
            if let Some(call) = self.inner_calls.remove(&(inner, ticket.0)) {
                let outer = self.calls[call].outer;
                self.nested[outer].record(false, self.now);
                self.end_outer(call, false);
            }
        }
        for ticket in dequeued.running {
            let call = self.inner_calls[&(inner, ticket.0)];
            let run_time = self.run_time(INNER_MS);
            self.schedule(run_time, Event::InnerEnds { call });
        }
    }

    fn end_inner(&mut self, call: usize) {
        let Some((inner, ticket)) = self.calls[call].inner.take() else {
            return;
        };
        self.inner_calls.remove(&(inner, ticket.0));
        let outer = self.calls[call].outer;
        self.nested[outer].record(true, self.now);
        let dequeued = self.inner[inner].release(ticket, true, self.now);
        self.start_inner(inner, dequeued);
        self.advance(call);
    }

    /// Ends a call at its outer target, which fails it if a nested call was refused.
    fn end_outer(&mut self, call: usize, served: bool) {
        let (outer, ticket) = (self.calls[call].outer, self.calls[call].ticket);
        if self.outer_calls.remove(&(outer, ticket.0)).is_none() {
            return;
        }
        let caller = self.calls[call].caller;
        self.callers[caller].record(true, self.now);
        self.runs[outer].record(served, self.now);
        let is_prompt = self.now <= self.calls[call].arrived_at + PROMPT;
        self.prompt_count += u32::from(served && is_prompt);
        let dequeued = self.outer[outer].release(ticket, served, self.now);
        self.start_outer(outer, dequeued);
    }
}

/// Returns the calls a second that are answered promptly at each load, as a multiple of the capacity.
fn goodputs(controlled: bool, loads: &[f64]) -> Vec<f64> {
    let mut goodputs = Vec::new();
    for load in loads {
        let mut sum = 0.0;
        for seed in 1..=3 {
            sum += Simulation::new(controlled, seed).run(CAPACITY_PER_S * load);
        }
        goodputs.push(sum / 3.0);
    }
    goodputs
}

/// Guards against an overload that feeds itself: work that is begun and thrown away, since its nested
/// calls are refused or its answer comes too late.
#[test]
fn goodput_stays_flat_up_to_twice_the_capacity() {
    let goodputs = goodputs(true, &[0.6, 0.8, 1.0, 1.3, 1.6, 2.0]);
    let best = goodputs.iter().copied().fold(0.0, f64::max);
    let at_twice = *goodputs.last().expect("six loads");
    assert!(at_twice >= 0.9 * best, "{goodputs:?}");
    assert!(best >= 0.7 * CAPACITY_PER_S, "{goodputs:?}");
}

/// Guards against overload control that refuses calls while there is room for all.
#[test]
fn overload_control_costs_nothing_while_there_is_room() {
    let controlled = goodputs(true, &[0.4, 0.6]);
    let plain = goodputs(false, &[0.4, 0.6]);
    for (controlled, plain) in controlled.iter().zip(&plain) {
        assert!(*controlled >= 0.98 * plain, "{controlled} {plain}");
    }
}
