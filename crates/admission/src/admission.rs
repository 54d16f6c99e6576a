//! Slots and the queue of one target.
//!
//! Waiting calls are ordered by rank, then those that can still be prompt before those that are
//! late already, then by worth per slot-second. Long kinds can't take the slots that short kinds
//! keep. Whoever is refused has not run.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::NotRunReason;

use crate::estimate::ServiceTimes;

/// Late calls that wait per slot; more are refused, since they would only be held until they are
/// lost.
const LATE_PER_SLOT_RATIO: f64 = 1.0;

/// Limits of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Calls that run at a time.
    pub slot_count: u32,
    /// Waiting calls per slot.
    pub queue_per_slot_ratio: f64,
    /// Share of slots that long kinds can't take.
    pub short_share_ratio: f64,
}

impl AdmissionLimits {
    fn queue_max_count(&self) -> usize {
        (f64::from(self.slot_count) * self.queue_per_slot_ratio).ceil() as usize
    }

    fn long_max_count(&self) -> u32 {
        let share = f64::from(self.slot_count) * (1.0 - self.short_share_ratio);
        (share.floor() as u32).max(1)
    }
}

/// What admission needs to know of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallView<'a> {
    /// Request kind.
    pub kind: &'a str,
    /// Worth of serving it.
    pub worth: f64,
    /// Whether it is long work.
    pub long: bool,
    /// Rank, 0 is served first.
    pub rank: u32,
    /// When an answer loses part of its worth, if it does before the deadline.
    pub prompt_by: Option<Instant>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether it may wait for a slot; a second attempt beside one that goes on may not.
    pub may_wait: bool,
}

/// Identity of a call between its entry and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What became of a call that entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitOutcome {
    /// It holds a slot.
    Running(Ticket),
    /// It waits; its ticket comes up in [`Dequeued`].
    Waiting(Ticket),
    /// It was refused.
    Refused(NotRunReason),
}

/// Waiting calls whose fate an event decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Now hold a slot.
    pub running: Vec<Ticket>,
    /// Are refused.
    pub refused: Vec<(Ticket, NotRunReason)>,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    kind: String,
    worth: f64,
    long: bool,
    rank: u32,
    prompt_by: Option<Instant>,
    deadline: Instant,
}

#[derive(Clone, Debug)]
struct Running {
    ticket: Ticket,
    kind: String,
    long: bool,
    started_at: Instant,
}

/// Slots and queue of one target.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    running: Vec<Running>,
    waiting: Vec<Waiting>,
    times: ServiceTimes,
    next_ticket: u64,
    closed: bool,
}

impl Admission {
    /// Starts empty.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            running: Vec::new(),
            waiting: Vec::new(),
            times: ServiceTimes::default(),
            next_ticket: 0,
            closed: false,
        }
    }

    /// Takes new limits; calls that run or wait stay.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Refuses all new work, or takes it again. Calls that wait stay.
    pub fn set_draining(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Returns the calls that run and wait, per slot.
    pub fn busy_ratio(&self) -> f64 {
        let held_count = self.running.len() + self.waiting.len();
        held_count as f64 / f64::from(self.limits.slot_count.max(1))
    }

    /// Returns what calls of the kind take on average, if any was answered.
    pub fn mean_time(&self, kind: &str) -> Option<Duration> {
        self.times.least(kind).map(|_| self.times.mean(kind))
    }

    /// Returns the calls that run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the calls that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Lets a call in, to a slot or to the queue; a queue that is full sheds the call of least worth
    /// per slot-second, which may be this one.
    pub fn admit(&mut self, call: &CallView<'_>, now: Instant) -> (AdmitOutcome, Dequeued) {
        let mut released = Dequeued::default();
        if self.closed {
            return (AdmitOutcome::Refused(NotRunReason::Draining), released);
        }
        if call.deadline <= now {
            return (AdmitOutcome::Refused(NotRunReason::Expired), released);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.has_slot(call.long) {
            self.run(ticket, call.kind, call.long, now);
            return (AdmitOutcome::Running(ticket), released);
        }
        if !call.may_wait {
            return (AdmitOutcome::Refused(NotRunReason::Overloaded), released);
        }
        if self.would_be_late(call, now) && self.late_count(now) >= self.late_max_count() {
            return (AdmitOutcome::Refused(NotRunReason::Overloaded), released);
        }
        if self.waiting.len() >= self.limits.queue_max_count() {
            let density = self.times.density(call.kind, call.worth);
            let Some(shed) = self.least_below(call.rank, density) else {
                return (AdmitOutcome::Refused(NotRunReason::Overloaded), released);
            };
            let shed = self.waiting.remove(shed);
            released
                .refused
                .push((shed.ticket, NotRunReason::Overloaded));
        }
        self.waiting.push(Waiting {
            ticket,
            kind: call.kind.to_owned(),
            worth: call.worth,
            long: call.long,
            rank: call.rank,
            prompt_by: call.prompt_by,
            deadline: call.deadline,
        });
        (AdmitOutcome::Waiting(ticket), released)
    }

    /// Ends a call that runs or waits. `answered` says whether its time is a sample of the kind.
    pub fn release(&mut self, ticket: Ticket, answered: bool, now: Instant) -> Dequeued {
        if let Some(index) = self.running.iter().position(|call| call.ticket == ticket) {
            let call = self.running.swap_remove(index);
            if answered {
                let took = now.saturating_duration_since(call.started_at);
                self.times.note(&call.kind, took);
            }
        }
        self.waiting.retain(|call| call.ticket != ticket);
        self.dispatch(now)
    }

    /// Refuses waiting calls that can't be served before their deadline and fills free slots.
    pub fn dispatch(&mut self, now: Instant) -> Dequeued {
        let mut released = Dequeued::default();
        self.refuse_late(now, &mut released);
        self.refuse_excess_late(now, &mut released);
        while let Some(index) = self.next_to_run(now) {
            let call = self.waiting.remove(index);
            self.run(call.ticket, &call.kind, call.long, now);
            released.running.push(call.ticket);
        }
        released
    }

    fn refuse_late(&mut self, now: Instant, released: &mut Dequeued) {
        let times = &self.times;
        self.waiting.retain(|call| {
            let needed = times.least(&call.kind).unwrap_or(Duration::ZERO);
            if call.deadline > now + needed {
                return true;
            }
            released.refused.push((call.ticket, NotRunReason::Expired));
            false
        });
    }

    /// Refuses the late calls beyond their limit, those of least rank and the newest first.
    fn refuse_excess_late(&mut self, now: Instant, released: &mut Dequeued) {
        let late_max_count = self.late_max_count();
        while self.late_count(now) > late_max_count {
            let mut last: Option<(usize, u32)> = None;
            for (index, call) in self.waiting.iter().enumerate() {
                if self.is_late(call, now) && last.is_none_or(|(_, rank)| call.rank >= rank) {
                    last = Some((index, call.rank));
                }
            }
            let Some((index, _)) = last else {
                return;
            };
            let refused = self.waiting.remove(index);
            released
                .refused
                .push((refused.ticket, NotRunReason::Overloaded));
        }
    }

    fn next_to_run(&self, now: Instant) -> Option<usize> {
        let mut best: Option<(usize, (u32, bool), f64)> = None;
        for (index, call) in self.waiting.iter().enumerate() {
            if !self.has_slot(call.long) {
                continue;
            }
            let place = (call.rank, self.is_late(call, now));
            let density = self.times.density(&call.kind, call.worth);
            let better = best.is_none_or(|(_, best_place, best_density)| {
                place < best_place || (place == best_place && density > best_density)
            });
            if better {
                best = Some((index, place, density));
            }
        }
        best.map(|(index, _, _)| index)
    }

    /// Returns whether a waiting call would be late though it ran at once.
    fn is_late(&self, call: &Waiting, now: Instant) -> bool {
        let Some(prompt_by) = call.prompt_by else {
            return false;
        };
        now + self.times.mean(&call.kind) > prompt_by
    }

    /// Returns whether a call that enters now is expected to be late behind those that wait.
    fn would_be_late(&self, call: &CallView<'_>, now: Instant) -> bool {
        let Some(prompt_by) = call.prompt_by else {
            return false;
        };
        now + self.expected_wait(call.rank, now) + self.times.mean(call.kind) > prompt_by
    }

    /// Returns how long a call of `rank` is expected to wait for a slot.
    pub fn expected_wait(&self, rank: u32, now: Instant) -> Duration {
        let slot_count = self.limits.slot_count.max(1);
        if self.running.len() < slot_count as usize {
            return Duration::ZERO;
        }
        let mut ahead = Duration::ZERO;
        for call in &self.waiting {
            if call.rank <= rank && !self.is_late(call, now) {
                ahead += self.times.mean(&call.kind);
            }
        }
        for call in &self.running {
            ahead += self.times.mean(&call.kind) / 2;
        }
        ahead / slot_count
    }

    fn late_count(&self, now: Instant) -> usize {
        let mut late_count = 0;
        for call in &self.waiting {
            late_count += usize::from(self.is_late(call, now));
        }
        late_count
    }

    fn late_max_count(&self) -> usize {
        (f64::from(self.limits.slot_count) * LATE_PER_SLOT_RATIO).ceil() as usize
    }

    /// Returns the waiting call that gives way to one of `rank` and `density`, if any does: of the
    /// last rank the one of least worth per slot-second.
    fn least_below(&self, rank: u32, density: f64) -> Option<usize> {
        let mut least: Option<(usize, u32, f64)> = None;
        for (index, call) in self.waiting.iter().enumerate() {
            let waiting_density = self.times.density(&call.kind, call.worth);
            let gives_way = call.rank > rank || (call.rank == rank && waiting_density < density);
            if !gives_way {
                continue;
            }
            // Of equals the one that came last is shed.
            let worse = least.is_none_or(|(_, least_rank, least_density)| {
                call.rank > least_rank
                    || (call.rank == least_rank && waiting_density <= least_density)
            });
            if worse {
                least = Some((index, call.rank, waiting_density));
            }
        }
        least.map(|(index, _, _)| index)
    }

    fn has_slot(&self, long: bool) -> bool {
        if self.running.len() >= self.limits.slot_count as usize {
            return false;
        }
        if !long {
            return true;
        }
        let long_count = self.running.iter().filter(|call| call.long).count();
        long_count < self.limits.long_max_count() as usize
    }

    fn run(&mut self, ticket: Ticket, kind: &str, long: bool, now: Instant) {
        self.running.push(Running {
            ticket,
            kind: kind.to_owned(),
            long,
            started_at: now,
        });
    }
}
