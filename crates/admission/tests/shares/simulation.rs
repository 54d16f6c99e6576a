//! Simulation of callers' nodes with a throttle each, which exchange no state, and targets with a queue each.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    may_wait_above_share,
    queue_rank,
    Admission,
    AdmissionLimits,
    AdmitOutcome,
    CallView,
    CustomerThrottle,
    Dequeued,
    ShareHolder,
    Shares,
    Ticket, //
};
use figway_types::{
    mix,
    FastMap, //
};

const NODE_COUNT: usize = 85;
const TARGET_COUNT: usize = 20;
const SLOT_COUNT: u32 = 6;
const RUN_MS: f64 = 110.0;
const PROMPT: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1_200);
const TRY_COUNT: u8 = 2;

/// Time within which a refusal reaches its caller.
const REFUSED_MAX: Duration = Duration::from_millis(20);

/// Time at which customers that surge begin to, and from which on calls are counted.
const SURGE_AT_S: f64 = 6.0;
const DURATION_S: f64 = 12.0;
const RANK: u32 = 1;

/// Customer of the simulation.
#[derive(Clone, Copy)]
pub(crate) struct Customer {
    pub(crate) name: &'static str,
    pub(crate) weight: f64,
    /// Calls a second before the surge.
    pub(crate) usual_per_s: f64,
    pub(crate) per_s: f64,
    /// Index of the first node at which its callers are, and the number of these nodes.
    pub(crate) nodes: (usize, usize),
}

/// Returns a customer whose callers use all nodes.
pub(crate) fn everywhere(name: &'static str, weight: f64, per_s: f64) -> Customer {
    Customer {
        name,
        weight,
        usual_per_s: per_s,
        per_s,
        nodes: (0, NODE_COUNT),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { customer: usize },
    End { call: usize },
}

#[derive(Clone, Copy)]
struct Call {
    arrived_at: Instant,
    customer: usize,
    node: usize,
    target: usize,
    ticket: Ticket,
}

struct Target {
    admission: Admission,
    shares: Shares,
}

pub(crate) struct Simulation {
    customers: Vec<Customer>,
    /// Whether calls are refused by customer.
    shared: bool,
    random: u64,
    now: Instant,
    started_at: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    event_count: u64,
    nodes: Vec<CustomerThrottle>,
    targets: Vec<Target>,
    calls: Vec<Call>,
    open: FastMap<(usize, Ticket), usize>,
    /// Calls of each customer since the surge began, and those answered promptly.
    pub(crate) asked_counts: Vec<f64>,
    pub(crate) prompt_counts: Vec<f64>,
    /// Calls that were refused, and those of them that were refused late.
    pub(crate) refused_count: f64,
    pub(crate) late_refused_count: f64,
}

impl Simulation {
    pub(crate) fn new(customers: &[Customer], shared: bool, seed: u64) -> Self {
        let now = Instant::now();
        let target = || Target {
            admission: Admission::new(AdmissionLimits {
                slot_count: SLOT_COUNT,
                queue_per_slot_ratio: 4.0,
                short_share_ratio: 0.0,
                overload_control: true,
            }),
            shares: Shares::new(now),
        };
        Self {
            customers: customers.to_vec(),
            shared,
            random: seed,
            now,
            started_at: now,
            events: BinaryHeap::new(),
            event_count: 0,
            nodes: vec![CustomerThrottle::new(1.5, 2.0, now); NODE_COUNT],
            targets: (0..TARGET_COUNT).map(|_| target()).collect(),
            calls: Vec::new(),
            open: FastMap::default(),
            asked_counts: vec![0.0; customers.len()],
            prompt_counts: vec![0.0; customers.len()],
            refused_count: 0.0,
            late_refused_count: 0.0,
        }
    }

    /// Runs the simulation to its end, at which its counts are read.
    pub(crate) fn run(mut self) -> Self {
        for customer in 0..self.customers.len() {
            self.schedule_arrival(customer);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if (at - self.started_at).as_secs_f64() > DURATION_S {
                break;
            }
            match event {
                Event::Arrival { customer } => {
                    self.schedule_arrival(customer);
                    self.arrive(customer);
                }
                Event::End { call } => self.end(call),
            }
        }
        self
    }

    fn ratio(&mut self) -> f64 {
        self.random = mix(self.random);
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.ratio() * count as f64) as usize % count
    }

    fn schedule(&mut self, after_s: f64, event: Event) {
        self.event_count += 1;
        let at = self.now + Duration::from_secs_f64(after_s);
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let rates = &self.customers[customer];
        let per_s = [rates.usual_per_s, rates.per_s][usize::from(self.is_measured())];
        let gap_s = -(1.0 - self.ratio()).ln() / per_s;
        self.schedule(gap_s, Event::Arrival { customer });
    }

    fn is_measured(&self) -> bool {
        (self.now - self.started_at).as_secs_f64() > SURGE_AT_S
    }

    fn holder(&self, customer: usize) -> Option<ShareHolder<'static>> {
        let customer = &self.customers[customer];
        self.shared.then_some(ShareHolder {
            name: customer.name,
            weight: customer.weight,
        })
    }

    fn arrive(&mut self, customer: usize) {
        let (first, count) = self.customers[customer].nodes;
        let node = first + self.below(count);
        self.asked_counts[customer] += f64::from(u8::from(self.is_measured()));
        let holder = self.holder(customer);
        let ratio = self.ratio();
        if self.nodes[node].try_call(holder, ratio, self.now).is_err() {
            self.refused_count += 1.0;
            return;
        }
        for _ in 0..TRY_COUNT {
            let target = self.below(TARGET_COUNT);
            if self.enter(customer, node, target) {
                return;
            }
        }
        self.refused_count += 1.0;
        self.nodes[node].record(holder, false, self.now);
    }

    fn enter(&mut self, customer: usize, node: usize, index: usize) -> bool {
        let (now, holder) = (self.now, self.holder(customer));
        let target = &mut self.targets[index];
        let is_above = holder.is_some_and(|holder| target.shares.is_above(holder, now));
        let waiting_count = target.admission.waiting_count();
        let view = CallView {
            kind: "read",
            body_bytes: 0,
            customer: None,
            worth: 1.0,
            long: false,
            rank: queue_rank(RANK, is_above),
            prompt_by: Some(now + PROMPT),
            deadline: now + DEADLINE,
            may_wait: !is_above || may_wait_above_share(waiting_count, SLOT_COUNT),
        };
        let (entered, dequeued) = target.admission.admit(&view, now);
        let ticket = match entered {
            AdmitOutcome::Running(ticket) | AdmitOutcome::Waiting(ticket) => ticket,
            AdmitOutcome::Refused(_) => {
                self.record_entry(index, customer, false);
                self.apply(index, dequeued);
                return false;
            }
        };
        self.calls.push(Call {
            arrived_at: now,
            customer,
            node,
            target: index,
            ticket,
        });
        self.open.insert((index, ticket), self.calls.len() - 1);
        if entered == AdmitOutcome::Running(ticket) {
            self.start(self.calls.len() - 1);
        }
        self.apply(index, dequeued);
        true
    }

    fn record_entry(&mut self, target: usize, customer: usize, entered: bool) {
        if let Some(holder) = self.holder(customer) {
            self.targets[target]
                .shares
                .record(holder, entered, self.now);
        }
    }

    /// Starts a call, of which 3 in 100 run seven times as long.
    fn start(&mut self, call: usize) {
        let (target, customer) = (self.calls[call].target, self.calls[call].customer);
        self.record_entry(target, customer, true);
        let spread = 0.55 + 0.7 * self.ratio();
        let factor = if self.ratio() < 0.03 { 7.0 } else { 1.0 };
        self.schedule(RUN_MS * spread * factor / 1_000.0, Event::End { call });
    }

    fn apply(&mut self, target: usize, dequeued: Dequeued) {
        for (ticket, _) in dequeued.refused {
            let Some(call) = self.open.remove(&(target, ticket)) else {
                continue;
            };
            let Call {
                arrived_at,
                customer,
                node,
                ..
            } = self.calls[call];
            let is_late = self.now > arrived_at + REFUSED_MAX;
            self.refused_count += 1.0;
            self.late_refused_count += f64::from(u8::from(is_late));
            self.record_entry(target, customer, false);
            let holder = self.holder(customer);
            self.nodes[node].record(holder, false, self.now);
        }
        for ticket in dequeued.running {
            self.start(self.open[&(target, ticket)]);
        }
    }

    fn end(&mut self, call: usize) {
        let call = self.calls[call];
        self.open.remove(&(call.target, call.ticket));
        let holder = self.holder(call.customer);
        self.nodes[call.node].record(holder, true, self.now);
        if self.is_measured() && self.now <= call.arrived_at + PROMPT {
            self.prompt_counts[call.customer] += 1.0;
        }
        let admission = &mut self.targets[call.target].admission;
        let dequeued = admission.release(call.ticket, true, self.now);
        self.apply(call.target, dequeued);
    }
}
