//! The events of a played load, in the order of their time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    AdmitOutcome,
    Dequeued,
    Ticket, //
};
use figway_cost::RequestClass;
use figway_routing::{
    CallContext,
    CallTimings,
    Candidate,
    Distance,
    LeastLoss,
    LeastWork,
    LoadReport,
    LoadTracker,
    TargetPicker,
    TransitPrices, //
};
use figway_types::{
    mix,
    NodeId, //
};

use super::target::{
    busiest_ratio,
    Target, //
};
use super::{
    Call,
    Picking,
    Played,
    Random,
    Scenario, //
};

/// Most attempts for a request while targets refuse it.
const ATTEMPT_MAX_COUNT: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client calls.
    Offer,
    Reach(Call),
    End(Call, Ticket),
    /// An answer, or a refusal, with the mean run time of the kind.
    Answer(Call, LoadReport, Option<f64>, bool),
}

struct Play<'a> {
    scenario: &'a Scenario,
    base: Instant,
    random: Random,
    names: Vec<NodeId>,
    targets: Vec<Target>,
    callers: Vec<(Box<dyn TargetPicker>, LoadTracker)>,
    events: BinaryHeap<(Reverse<u64>, usize)>,
    pending: Vec<Event>,
    waits_ms: Vec<f64>,
    late_wait_count: usize,
    latencies_ms: Vec<f64>,
    in_time_count: usize,
    offered_count: usize,
    sent_count: usize,
    left_zone_count: usize,
}

/// Plays the load at `utilisation` of all slots.
pub(crate) fn play(scenario: &Scenario, picking: Picking, utilisation: f64, seed: u64) -> Played {
    let mut play = Play::new(scenario, picking, seed);
    let mean_ran_ms: f64 = scenario
        .kinds
        .iter()
        .map(|kind| kind.share * kind.ran_ms)
        .sum();
    let total_speed: f64 = play.targets.iter().map(|target| target.speed).sum();
    let disturbance_ratio = if scenario.disturbed { 1.225 } else { 1.0 };
    let slots = total_speed * scenario.slot_count as f64 / disturbance_ratio;
    let calls_per_ms = utilisation * slots / mean_ran_ms;
    play.push(0.0, Event::Offer);
    while let Some((Reverse(us), index)) = play.events.pop() {
        let now_ms = us as f64 / 1_000.0;
        match play.pending[index] {
            Event::Offer if now_ms > scenario.end_ms => break,
            Event::Offer => {
                let wave = (now_ms / 17_000.0 * std::f64::consts::TAU).sin();
                let rate = calls_per_ms * (1.0 + scenario.swing_ratio * wave);
                let next_ms = now_ms - (1.0 - play.random.ratio()).ln() / rate;
                play.push(next_ms, Event::Offer);
                play.offer(now_ms);
            }
            Event::Reach(call) => play.reach(call, now_ms),
            Event::End(call, ticket) => play.end(call, ticket, now_ms),
            Event::Answer(call, report, mean_ran_ms, answered) => {
                play.answer(call, report, mean_ran_ms, answered, now_ms);
            }
        }
    }
    play.finish()
}

impl<'a> Play<'a> {
    fn new(scenario: &'a Scenario, picking: Picking, seed: u64) -> Self {
        let mut random = Random(seed);
        let mut targets = Vec::new();
        for index in 0..scenario.target_count {
            let speed = scenario.speeds[random.below(scenario.speeds.len())];
            targets.push(Target::new(scenario, picking, index, speed));
        }
        let mut callers: Vec<(Box<dyn TargetPicker>, LoadTracker)> = Vec::new();
        for index in 0..scenario.caller_count {
            let seed = mix(seed ^ index as u64);
            let prices = TransitPrices::default();
            let picker: Box<dyn TargetPicker> = match picking {
                Picking::LeastLoss => Box::new(LeastLoss::new(prices, seed)),
                Picking::LeastWork => Box::new(LeastWork::new(prices, seed)),
            };
            callers.push((picker, LoadTracker::default()));
        }
        Self {
            scenario,
            base: Instant::now(),
            random,
            names: (0..scenario.target_count)
                .map(|index| NodeId(format!("t{index}")))
                .collect(),
            targets,
            callers,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            waits_ms: Vec::new(),
            late_wait_count: 0,
            latencies_ms: Vec::new(),
            in_time_count: 0,
            offered_count: 0,
            sent_count: 0,
            left_zone_count: 0,
        }
    }

    fn at(&self, ms: f64) -> Instant {
        self.base + Duration::from_secs_f64(ms / 1_000.0)
    }

    fn push(&mut self, ms: f64, event: Event) {
        self.pending.push(event);
        let index = self.pending.len() - 1;
        self.events.push((Reverse((ms * 1_000.0) as u64), index));
    }

    fn is_counted(&self, offered_ms: f64) -> bool {
        offered_ms > self.scenario.warm_up_ms
    }

    fn offer(&mut self, now_ms: f64) {
        let kind = self.draw_kind();
        self.offered_count += usize::from(self.is_counted(now_ms));
        let call = Call {
            caller: self.random.below(self.scenario.caller_count),
            kind,
            offered_ms: now_ms,
            attempt_count: 0,
            refused_by: usize::MAX,
            target: 0,
            sent_ms: 0.0,
            reached_ms: 0.0,
            started_ms: 0.0,
        };
        self.send(call, now_ms);
    }

    fn draw_kind(&mut self) -> usize {
        let kinds = &self.scenario.kinds;
        if kinds.len() == 1 {
            return 0;
        }
        let mut drawn = self.random.ratio();
        let mut index = 0;
        while index + 1 < kinds.len() && drawn >= kinds[index].share {
            drawn -= kinds[index].share;
            index += 1;
        }
        index
    }

    fn send(&mut self, call: Call, now_ms: f64) {
        let now = self.at(now_ms);
        let scenario = self.scenario;
        let kind = &scenario.kinds[call.kind];
        let zone = call.caller % scenario.zone_count;
        let mut candidates = Vec::new();
        for (index, node_id) in self.names.iter().enumerate() {
            let distance = match index % scenario.zone_count {
                _ if scenario.beside && index == call.caller => Distance::Host,
                other if other == zone => Distance::Zone,
                other if other % 2 == zone % 2 => Distance::Region,
                _ => Distance::Far,
            };
            let candidate = Candidate {
                node_id,
                slot_count: scenario.slot_count as u32,
                rate_limit: None,
                distance,
                round_trip_us: distance.assumed_round_trip_us(),
                suspect: false,
            };
            candidates.push((index, candidate));
        }
        candidates.sort_by_key(|(_, candidate)| candidate.distance);
        let (indexes, candidates): (Vec<usize>, Vec<Candidate<'_>>) =
            candidates.into_iter().unzip();
        let elapsed_ms = now_ms - call.offered_ms;
        let context = CallContext {
            kind: kind.name,
            prompt_left: from_ms(kind.prompt_ms - elapsed_ms),
            deadline_left: from_ms(kind.deadline_ms - elapsed_ms),
        };
        let class = RequestClass {
            kind: kind.name,
            body_bytes: kind.body_bytes,
            customer: None,
        };
        let (picker, loads) = &mut self.callers[call.caller];
        if scenario.beside && call.caller < self.names.len() {
            let report = self.targets[call.caller].report(now);
            loads.record_report(&self.names[call.caller], report, now);
        }
        let excluded: Vec<&NodeId> = self.names.get(call.refused_by).into_iter().collect();
        let picked = picker.pick_for_class(&context, &class, &candidates, &excluded, loads, now);
        let picked = picked.expect("there are targets that were not tried");
        let target = indexes[picked.index];
        loads.begin(&self.names[target], now);
        let distance = candidates[picked.index].distance;
        let one_way_ms = candidates[picked.index].round_trip_us / 2_000.0;
        if self.is_counted(call.offered_ms) {
            self.sent_count += 1;
            self.left_zone_count += usize::from(distance > Distance::Zone);
        }
        let call = Call {
            target,
            attempt_count: call.attempt_count + 1,
            sent_ms: now_ms,
            reached_ms: now_ms + one_way_ms,
            ..call
        };
        self.push(call.reached_ms, Event::Reach(call));
    }

    fn reach(&mut self, call: Call, now_ms: f64) {
        let now = self.at(now_ms);
        let kind = self.scenario.kinds[call.kind];
        let prompt_by = self.at(call.offered_ms + kind.prompt_ms);
        let deadline = self.at(call.offered_ms + kind.deadline_ms);
        let target = &mut self.targets[call.target];
        let (outcome, dequeued) = target.admit(kind.name, prompt_by, deadline, now);
        match outcome {
            AdmitOutcome::Running(ticket) => self.start(call, ticket, now_ms),
            AdmitOutcome::Waiting(ticket) => {
                target.waiting.insert(ticket, call);
            }
            AdmitOutcome::Refused(_) => self.send_answer(call, false, now_ms),
        }
        self.take_dequeued(call.target, dequeued, now_ms);
    }

    fn take_dequeued(&mut self, target: usize, dequeued: Dequeued, now_ms: f64) {
        for ticket in dequeued.running {
            if let Some(call) = self.targets[target].waiting.remove(&ticket) {
                self.start(call, ticket, now_ms);
            }
        }
        for (ticket, _) in dequeued.refused {
            if let Some(call) = self.targets[target].waiting.remove(&ticket) {
                self.send_answer(call, false, now_ms);
            }
        }
    }

    fn start(&mut self, call: Call, ticket: Ticket, now_ms: f64) {
        if self.is_counted(call.sent_ms) {
            let wait_ms = now_ms - call.reached_ms;
            let kind = &self.scenario.kinds[call.kind];
            self.waits_ms.push(wait_ms);
            self.late_wait_count += usize::from(wait_ms > kind.prompt_ms - kind.ran_ms);
        }
        let kind = &self.scenario.kinds[call.kind];
        let counted = self.is_counted(now_ms);
        let target = &mut self.targets[call.target];
        target.run_count += usize::from(counted);
        let ran_ms = target.draw_ran_ms(self.scenario, kind.ran_ms, now_ms, &mut self.random);
        let started = Call {
            started_ms: now_ms,
            ..call
        };
        self.push(now_ms + ran_ms, Event::End(started, ticket));
    }

    fn end(&mut self, call: Call, ticket: Ticket, now_ms: f64) {
        let now = self.at(now_ms);
        let dequeued = self.targets[call.target]
            .admission
            .release(ticket, true, now);
        self.take_dequeued(call.target, dequeued, now_ms);
        self.send_answer(call, true, now_ms);
    }

    fn send_answer(&mut self, call: Call, answered: bool, now_ms: f64) {
        let target = &self.targets[call.target];
        let report = target.report(self.at(now_ms));
        let kind = &self.scenario.kinds[call.kind];
        let learned = target.admission.mean_time(kind.name);
        let mean_ran_ms = if self.scenario.exact_means {
            Some(kind.ran_ms / target.speed)
        } else {
            learned.map(|mean| mean.as_secs_f64() * 1_000.0)
        };
        let back_ms = now_ms + (call.reached_ms - call.sent_ms);
        self.push(back_ms, Event::Answer(call, report, mean_ran_ms, answered));
    }

    fn answer(
        &mut self,
        call: Call,
        report: LoadReport,
        mean_ran_ms: Option<f64>,
        answered: bool,
        now_ms: f64,
    ) {
        let now = self.at(now_ms);
        let kind = &self.scenario.kinds[call.kind];
        let counted = self.is_counted(call.offered_ms);
        let loads = &mut self.callers[call.caller].1;
        let name = &self.names[call.target];
        loads.end(name, now);
        loads.record_report(name, report, now);
        if !answered {
            loads.record_overload(name, kind.name, now);
            if call.attempt_count < ATTEMPT_MAX_COUNT {
                let refused = Call {
                    refused_by: call.target,
                    ..call
                };
                self.send(refused, now_ms);
            }
            return;
        }
        let one_way_ms = call.reached_ms - call.sent_ms;
        let timings = CallTimings {
            took_ms: now_ms - call.sent_ms,
            waited_ms: call.started_ms - call.reached_ms,
            ran_ms: now_ms - one_way_ms - call.started_ms,
            mean_ran_ms,
            round_trip_ms: 2.0 * one_way_ms,
        };
        loads.record_timings(name, kind.name, timings, kind.body_bytes, now);
        let class = RequestClass {
            kind: kind.name,
            body_bytes: kind.body_bytes,
            customer: None,
        };
        loads.record_run(name, &class, &timings, now);
        if counted {
            let latency_ms = now_ms - call.offered_ms;
            self.latencies_ms.push(latency_ms);
            self.in_time_count += usize::from(latency_ms <= kind.prompt_ms);
        }
    }

    fn finish(mut self) -> Played {
        self.waits_ms.sort_by(f64::total_cmp);
        self.latencies_ms.sort_by(f64::total_cmp);
        let answered_count = self.latencies_ms.len();
        Played {
            busiest_ratio: busiest_ratio(&self.targets, self.scenario.zone_count),
            late_ratio: self.late_wait_count as f64 / self.waits_ms.len() as f64,
            wait_p99_ms: self.waits_ms[self.waits_ms.len() * 99 / 100],
            left_zone_ratio: self.left_zone_count as f64 / self.sent_count as f64,
            in_time_ratio: self.in_time_count as f64 / self.offered_count as f64,
            latency_mean_ms: self.latencies_ms.iter().sum::<f64>() / answered_count as f64,
            latency_p95_ms: self.latencies_ms[answered_count * 95 / 100],
        }
    }
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
