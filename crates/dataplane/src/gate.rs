//! Slots of the local target and the queue of calls that wait for one.

use std::sync::Mutex;
use std::time::Instant;

use figway_admission::{
    queue_rank,
    Admission,
    AdmissionLimits,
    AdmitOutcome,
    CallView,
    Dequeued,
    Ticket, //
};
use figway_routing::LoadReport;
use figway_types::{
    FastMap,
    NotRunReason,
    RateLimit, //
};
use tokio::sync::{
    oneshot,
    Notify, //
};

/// Weight of the latest call in the moving average of the failed ratio.
const FAILED_RATIO_WEIGHT: f64 = 0.08;

type Decision = Result<(), NotRunReason>;

#[derive(Default)]
struct Gate {
    admission: Option<Admission>,
    /// Rate limit that the target states.
    rate_limit: Option<RateLimit>,
    waiting: FastMap<Ticket, oneshot::Sender<Decision>>,
    draining: bool,
    /// Moving average of the share of calls that the target failed.
    failed_ratio: f64,
}

/// Admission to the local target, shared by the calls that wait for a slot.
#[derive(Default)]
pub(crate) struct TargetGate {
    gate: Mutex<Gate>,
    /// Wakes the task that starts waiting calls at the pace of the rate limit.
    turns_changed: Notify,
}

impl TargetGate {
    /// Sets whether the node is draining and refuses new calls.
    pub(crate) fn set_draining(&self, draining: bool) {
        let mut gate = self.gate.lock().expect("no holder panics");
        gate.draining = draining;
        if let Some(admission) = &mut gate.admission {
            admission.set_draining(draining);
        }
    }

    /// Sets the rate limit that the target states, or removes it.
    pub(crate) fn set_rate_limit(&self, limit: Option<RateLimit>) {
        let now = Instant::now();
        let mut gate = self.gate.lock().expect("no holder panics");
        gate.rate_limit = limit;
        if let Some(admission) = &mut gate.admission {
            admission.set_rate_limit(limit, now);
            let dequeued = admission.dispatch(now);
            gate.notify(dequeued);
        }
        drop(gate);
        self.turns_changed.notify_one();
    }

    /// Returns the rate limit that the target states, if any.
    pub(crate) fn rate_limit(&self) -> Option<RateLimit> {
        self.gate.lock().expect("no holder panics").rate_limit
    }

    /// Starts waiting calls when the rate limit lets them. Runs until the process ends.
    pub(crate) async fn dispatch_turns(&self) {
        loop {
            let changed = self.turns_changed.notified();
            match self.next_turn_at() {
                None => changed.await,
                Some(turn_at) => {
                    // Both outcomes lead to the next dispatch.
                    tokio::time::timeout_at(turn_at.into(), changed).await.ok();
                }
            }
            let mut gate = self.gate.lock().expect("no holder panics");
            let Some(admission) = &mut gate.admission else {
                continue;
            };
            let dequeued = admission.dispatch(Instant::now());
            gate.notify(dequeued);
        }
    }

    fn next_turn_at(&self) -> Option<Instant> {
        let gate = self.gate.lock().expect("no holder panics");
        gate.admission.as_ref()?.next_turn_at(Instant::now())
    }

    /// Returns the load of the local target, with the expected wait of a call of `rank`.
    pub(crate) fn load_report(&self, rank: u32) -> LoadReport {
        let gate = self.gate.lock().expect("no holder panics");
        let Some(admission) = &gate.admission else {
            return LoadReport::default();
        };
        let now = Instant::now();
        // Behind all calls of the rank, since this node doesn't know whether the next caller's customer is
        // above its share.
        let wait = admission.expected_wait(queue_rank(rank, true), now);
        LoadReport {
            busy_ratio: admission.busy_ratio(now),
            wait_ms: wait.as_secs_f64() * 1_000.0,
            failed_ratio: gate.failed_ratio,
        }
    }

    /// Records whether the target failed a call.
    pub(crate) fn record_outcome(&self, failed: bool) {
        let mut gate = self.gate.lock().expect("no holder panics");
        let sample = if failed { 1.0 } else { 0.0 };
        gate.failed_ratio += FAILED_RATIO_WEIGHT * (sample - gate.failed_ratio);
    }

    /// Resets the failed ratio, for a target that has just started.
    pub(crate) fn reset_failed_ratio(&self) {
        self.gate.lock().expect("no holder panics").failed_ratio = 0.0;
    }

    /// Returns the mean run time of calls of the kind at the target, in milliseconds.
    pub(crate) fn mean_ran_ms(&self, kind: &str) -> Option<f64> {
        let gate = self.gate.lock().expect("no holder panics");
        let mean = gate.admission.as_ref()?.mean_time(kind)?;
        Some(mean.as_secs_f64() * 1_000.0)
    }

    /// Returns the number of running calls and of waiting calls.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let gate = self.gate.lock().expect("no holder panics");
        gate.admission.as_ref().map_or((0, 0), |admission| {
            (admission.running_count(), admission.waiting_count())
        })
    }

    /// Waits for a slot, at most until the call's deadline.
    ///
    /// # Errors
    ///
    /// Why the call is not admitted.
    pub(crate) async fn enter(
        &self,
        call: &CallView<'_>,
        limits: AdmissionLimits,
    ) -> Result<Slot<'_>, NotRunReason> {
        let (mut slot, decision) = match self.try_enter(call, limits)? {
            (slot, None) => return Ok(slot),
            (slot, Some(decision)) => (slot, decision),
        };
        let decided = tokio::time::timeout_at(call.deadline.into(), decision).await;
        match decided {
            Ok(Ok(Ok(()))) => {
                slot.started = true;
                Ok(slot)
            }
            Ok(Ok(Err(reason))) => Err(reason),
            Ok(Err(_)) => Err(NotRunReason::Overloaded),
            Err(_) => Err(NotRunReason::Expired),
        }
    }

    fn try_enter(
        &self,
        call: &CallView<'_>,
        limits: AdmissionLimits,
    ) -> Result<(Slot<'_>, Option<oneshot::Receiver<Decision>>), NotRunReason> {
        let mut gate = self.gate.lock().expect("no holder panics");
        if gate.draining {
            return Err(NotRunReason::Draining);
        }
        let now = Instant::now();
        let rate_limit = gate.rate_limit;
        let admission = gate.admission.get_or_insert_with(|| {
            let mut admission = Admission::new(limits);
            admission.set_rate_limit(rate_limit, now);
            admission
        });
        admission.set_limits(limits);
        let (entered, dequeued) = admission.admit(call, now);
        let entered = match entered {
            AdmitOutcome::Running(ticket) => (self.slot(ticket, true), None),
            AdmitOutcome::Waiting(ticket) => {
                let (sender, decision) = oneshot::channel();
                gate.waiting.insert(ticket, sender);
                if rate_limit.is_some() {
                    self.turns_changed.notify_one();
                }
                (self.slot(ticket, false), Some(decision))
            }
            AdmitOutcome::Refused(reason) => {
                gate.notify(dequeued);
                return Err(reason);
            }
        };
        gate.notify(dequeued);
        Ok(entered)
    }

    fn slot(&self, ticket: Ticket, started: bool) -> Slot<'_> {
        Slot {
            gate: self,
            ticket,
            started,
            answered: false,
        }
    }
}

impl Gate {
    fn notify(&mut self, dequeued: Dequeued) {
        for ticket in dequeued.running {
            self.send_decision(ticket, Ok(()));
        }
        for (ticket, reason) in dequeued.refused {
            self.send_decision(ticket, Err(reason));
        }
    }

    fn send_decision(&mut self, ticket: Ticket, decision: Decision) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            // If the receiver is gone, its `Slot` leaves the queue on drop.
            sender.send(decision).ok();
        }
    }
}

/// A queue entry or a slot of the target, released on drop.
pub(crate) struct Slot<'a> {
    gate: &'a TargetGate,
    ticket: Ticket,
    started: bool,
    /// Whether the target answered the call, so that its run time counts as a sample for its kind.
    pub(crate) answered: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut gate = self.gate.gate.lock().expect("no holder panics");
        gate.waiting.remove(&self.ticket);
        let answered = self.answered && self.started;
        let Some(admission) = &mut gate.admission else {
            return;
        };
        let dequeued = admission.release(self.ticket, answered, Instant::now());
        gate.notify(dequeued);
    }
}
