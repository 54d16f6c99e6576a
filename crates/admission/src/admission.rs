//! Slots and the queue of one target.
//!
//! Waiting calls are ordered by rank, then by whether they can still be answered promptly (late
//! ones come last), then by worth per slot-second. Long kinds can't take the slots that are
//! reserved for short kinds. If the target states a rate limit, calls start no faster than that, and
//! a call whose turn would come after its deadline is refused. A refused call has not run.

mod calls;
mod limits;
mod order;
mod turns;
mod work;

use std::time::{
    Duration,
    Instant, //
};

use figway_types::NotRunReason;

pub use self::calls::{
    CallView,
    Ticket, //
};
use self::calls::{
    HeldClass,
    Running,
    Waiting, //
};
pub use self::limits::AdmissionLimits;
use self::order::Order;
use self::work::needed_time;
use crate::estimate::{
    Costed,
    ServiceTimes, //
};
use crate::pacer::Pacer;

/// Outcome of [`Admission::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitOutcome {
    /// The call holds a slot.
    Running(Ticket),
    /// The call waits; a later [`Dequeued`] contains its ticket.
    Waiting(Ticket),
    /// The call was refused.
    Refused(NotRunReason),
}

/// Calls that left the queue because they started or were refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Calls that now hold a slot.
    pub running: Vec<Ticket>,
    /// Calls that were refused, with the reason.
    pub refused: Vec<(Ticket, NotRunReason)>,
}

/// Slots and queue of one target.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    running: Vec<Running>,
    waiting: Vec<Waiting>,
    times: ServiceTimes,
    /// Paces calls while the target states a rate limit.
    pacer: Option<Pacer>,
    next_ticket: u64,
    draining: bool,
}

impl Admission {
    /// Creates an admission in which no call runs or waits.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            running: Vec::new(),
            waiting: Vec::new(),
            times: ServiceTimes::default(),
            pacer: None,
            next_ticket: 0,
            draining: false,
        }
    }

    /// Replaces the limits. Calls that already run or wait are not removed.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Sets whether new calls are refused as [`NotRunReason::Draining`]. Calls that already
    /// run or wait are not removed.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns the number of calls that run or wait, per slot. It is at least 1 while the rate limit
    /// lets no call start.
    pub fn busy_ratio(&self, now: Instant) -> f64 {
        let call_count = self.running.len() + self.waiting.len();
        let slot_ratio = call_count as f64 / f64::from(self.limits.slot_count.max(1));
        if self.has_token(now) {
            return slot_ratio;
        }
        slot_ratio.max(1.0)
    }

    /// Returns the mean service time of the kind, if any call of it was answered.
    pub fn mean_time(&self, kind: &str) -> Option<Duration> {
        if self.limits.overload_control {
            return self.times.steady_mean(Costed::of_kind(kind));
        }
        self.times.kind_mean(kind)
    }

    /// Returns the number of calls that run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of calls that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Admits a call to a slot or to the queue, or refuses it. A full queue sheds the call of the
    /// last rank and, within it, of the least worth per slot-second; that may be the new call.
    pub fn admit(&mut self, call: &CallView<'_>, now: Instant) -> (AdmitOutcome, Dequeued) {
        let mut dequeued = Dequeued::default();
        if self.draining {
            return (AdmitOutcome::Refused(NotRunReason::Draining), dequeued);
        }
        let costed = self.costed(call);
        let needed = if self.limits.overload_control {
            needed_time(&self.times, &self.limits, costed)
        } else {
            Duration::ZERO
        };
        if call.deadline <= now + needed {
            return (AdmitOutcome::Refused(NotRunReason::Expired), dequeued);
        }
        if self.pacer.is_some() {
            // A new call must not take the token of one that waits.
            dequeued = self.dispatch(now);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.has_slot(call.long) && self.has_token(now) {
            self.run(ticket, HeldClass::new(call, costed), call.long, now);
            return (AdmitOutcome::Running(ticket), dequeued);
        }
        if !call.may_wait {
            return (AdmitOutcome::Refused(self.busy_reason(now)), dequeued);
        }
        if self.turn_is_too_late(call, costed, now) {
            return (AdmitOutcome::Refused(NotRunReason::RateLimited), dequeued);
        }
        let expected_late = self.would_be_late(call, costed, now);
        if expected_late && self.expected_late_count(call.rank, now) >= self.late_max_count() {
            return (AdmitOutcome::Refused(NotRunReason::Overloaded), dequeued);
        }
        if self.waiting.len() >= self.limits.queue_max_count() {
            let density = self.times.density(costed, call.worth);
            let Some(shed) = self.call_to_shed(call.rank, density) else {
                return (AdmitOutcome::Refused(NotRunReason::Overloaded), dequeued);
            };
            let shed = self.waiting.remove(shed);
            dequeued
                .refused
                .push((shed.ticket, NotRunReason::Overloaded));
        }
        self.waiting.push(Waiting {
            ticket,
            class: HeldClass::new(call, costed),
            worth: call.worth,
            long: call.long,
            rank: call.rank,
            prompt_by: call.prompt_by,
            expected_late,
            deadline: call.deadline,
        });
        (AdmitOutcome::Waiting(ticket), dequeued)
    }

    /// Removes a call that runs or waits and dispatches waiting calls. If the call was
    /// `answered`, its run time is recorded as a sample of its request kind.
    pub fn release(&mut self, ticket: Ticket, answered: bool, now: Instant) -> Dequeued {
        if let Some(index) = self.running.iter().position(|call| call.ticket == ticket) {
            let call = self.running.swap_remove(index);
            if answered {
                let took = now.saturating_duration_since(call.started_at);
                self.times.record(call.class.costed(), took);
                if self.limits.overload_control {
                    self.times.record_class(&call.class.class(), took);
                }
            }
        }
        self.waiting.retain(|call| call.ticket != ticket);
        self.dispatch(now)
    }

    /// Refuses waiting calls that can't be served before their deadline, and late ones above their
    /// limit. Then starts waiting calls in the free slots.
    pub fn dispatch(&mut self, now: Instant) -> Dequeued {
        let mut dequeued = Dequeued::default();
        self.refuse_expired(now, &mut dequeued);
        self.refuse_excess_late(now, &mut dequeued);
        self.refuse_without_turn(now, &mut dequeued);
        while let Some(index) = self.next_to_run(now) {
            let call = self.waiting.remove(index);
            self.run(call.ticket, call.class, call.long, now);
            dequeued.running.push(call.ticket);
        }
        dequeued
    }

    fn refuse_expired(&mut self, now: Instant, dequeued: &mut Dequeued) {
        let times = &self.times;
        let limits = self.limits;
        self.waiting.retain(|call| {
            let needed = needed_time(times, &limits, call.class.costed());
            if call.deadline > now + needed {
                return true;
            }
            dequeued.refused.push((call.ticket, NotRunReason::Expired));
            false
        });
    }

    /// Refuses the late calls above the limit: those of the last rank first, and the newest first
    /// within a rank.
    fn refuse_excess_late(&mut self, now: Instant, dequeued: &mut Dequeued) {
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
            dequeued
                .refused
                .push((refused.ticket, NotRunReason::Overloaded));
        }
    }

    fn next_to_run(&self, now: Instant) -> Option<usize> {
        if !self.has_token(now) {
            return None;
        }
        let mut first: Option<(usize, Order)> = None;
        for (index, call) in self.waiting.iter().enumerate() {
            if !self.has_slot(call.long) {
                continue;
            }
            let order = self.order_of(call, now);
            if first.is_none_or(|(_, first_order)| order.is_before(first_order)) {
                first = Some((index, order));
            }
        }
        first.map(|(index, _)| index)
    }

    fn order_of(&self, call: &Waiting, now: Instant) -> Order {
        Order {
            rank: call.rank,
            // Under a rate limit a call that would be late is refused instead of put behind others.
            late: self.pacer.is_none() && self.is_late(call, now),
            density: self.times.density(call.class.costed(), call.worth),
        }
    }

    /// Returns whether a waiting call would be late even if it ran at once.
    fn is_late(&self, call: &Waiting, now: Instant) -> bool {
        let Some(prompt_by) = call.prompt_by else {
            return false;
        };
        now + self.prompt_time(call.class.costed()) > prompt_by
    }

    /// Returns whether a new call is expected to be late behind those that wait.
    fn would_be_late(&self, call: &CallView<'_>, costed: Costed<'_>, now: Instant) -> bool {
        let Some(prompt_by) = call.prompt_by else {
            return false;
        };
        now + self.expected_wait(call.rank, now) + self.prompt_time(costed) > prompt_by
    }

    /// Returns the expected wait of a new call of `rank` for a slot and for its turn under the rate
    /// limit.
    pub fn expected_wait(&self, rank: u32, now: Instant) -> Duration {
        self.expected_slot_wait(rank, now)
            .max(self.expected_turn_wait(rank, now))
    }

    fn expected_slot_wait(&self, rank: u32, now: Instant) -> Duration {
        let slot_count = self.limits.slot_count.max(1);
        if self.running.len() < slot_count as usize {
            return Duration::ZERO;
        }
        let mut ahead = Duration::ZERO;
        for call in &self.waiting {
            if call.rank <= rank && !self.is_late(call, now) {
                ahead += self.times.mean(call.class.costed());
            }
        }
        for call in &self.running {
            ahead += self.expected_remaining(call, now);
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

    /// Returns the number of waiting calls that count as late for a new one of `rank`. Under overload
    /// control, those expected to be late when they arrived count too, and calls of later ranks don't:
    /// without this the queue fills with calls that are refused together once they are late.
    fn expected_late_count(&self, rank: u32, now: Instant) -> usize {
        if !self.limits.overload_control {
            return self.late_count(now);
        }
        let mut late_count = 0;
        for call in &self.waiting {
            let is_late = call.expected_late || self.is_late(call, now);
            late_count += usize::from(is_late && call.rank <= rank);
        }
        late_count
    }

    fn late_max_count(&self) -> usize {
        (self.concurrency() * self.limits.late_per_slot_ratio()).ceil() as usize
    }

    /// Returns the index of the waiting call to shed for a new call of `rank` and `density`, if any
    /// is of a later rank or of less worth per slot-second: the one of the least worth per
    /// slot-second within the last rank.
    fn call_to_shed(&self, rank: u32, density: f64) -> Option<usize> {
        let mut worst: Option<(usize, u32, f64)> = None;
        for (index, call) in self.waiting.iter().enumerate() {
            let waiting_density = self.times.density(call.class.costed(), call.worth);
            let can_be_shed = call.rank > rank || (call.rank == rank && waiting_density < density);
            if !can_be_shed {
                continue;
            }
            // Of equal calls, the newest is shed.
            let worse = worst.is_none_or(|(_, worst_rank, worst_density)| {
                call.rank > worst_rank
                    || (call.rank == worst_rank && waiting_density <= worst_density)
            });
            if worse {
                worst = Some((index, call.rank, waiting_density));
            }
        }
        worst.map(|(index, _, _)| index)
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

    fn run(&mut self, ticket: Ticket, class: HeldClass, long: bool, now: Instant) {
        if let Some(pacer) = &mut self.pacer {
            pacer.take_token(now);
        }
        self.running.push(Running {
            ticket,
            class,
            long,
            started_at: now,
        });
    }
}
