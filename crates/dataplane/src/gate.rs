//! Slots and queue beside the target, and the calls that wait there.

use std::sync::Mutex;
use std::time::Instant;

use figway_admission::{
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
    NotRunReason, //
};
use tokio::sync::oneshot;

/// Weight of a new call in the share that the target fails.
const FAILED_WEIGHT: f64 = 0.08;

type Decision = Result<(), NotRunReason>;

#[derive(Default)]
struct Gate {
    admission: Option<Admission>,
    waiting: FastMap<Ticket, oneshot::Sender<Decision>>,
    closed: bool,
    /// Share of the latest calls that the target failed.
    failed_ratio: f64,
}

/// Admission to the target beside the node, and the calls that wait for it.
#[derive(Default)]
pub(crate) struct TargetGate {
    gate: Mutex<Gate>,
}

impl TargetGate {
    /// Refuses all new work, or takes it again.
    pub(crate) fn set_closed(&self, closed: bool) {
        let mut gate = self.gate.lock().expect("no holder panics");
        gate.closed = closed;
        if let Some(admission) = &mut gate.admission {
            admission.set_draining(closed);
        }
    }

    /// Returns the load beside the target, with the wait of a call of `rank`.
    pub(crate) fn load_report(&self, rank: u32) -> LoadReport {
        let gate = self.gate.lock().expect("no holder panics");
        let Some(admission) = &gate.admission else {
            return LoadReport::default();
        };
        let wait = admission.expected_wait(rank, Instant::now());
        LoadReport {
            busy_ratio: admission.busy_ratio(),
            wait_ms: wait.as_secs_f64() * 1_000.0,
            failed_ratio: gate.failed_ratio,
        }
    }

    /// Notes whether the target failed a call.
    pub(crate) fn record_outcome(&self, failed: bool) {
        let mut gate = self.gate.lock().expect("no holder panics");
        let sample = if failed { 1.0 } else { 0.0 };
        gate.failed_ratio += FAILED_WEIGHT * (sample - gate.failed_ratio);
    }

    /// Forgets failures, for a target that has just started.
    pub(crate) fn reset_failed_ratio(&self) {
        self.gate.lock().expect("no holder panics").failed_ratio = 0.0;
    }

    /// Returns what calls of the kind take at the target on average, in milliseconds.
    pub(crate) fn average_run_ms(&self, kind: &str) -> Option<f64> {
        let gate = self.gate.lock().expect("no holder panics");
        let usual = gate.admission.as_ref()?.mean_time(kind)?;
        Some(usual.as_secs_f64() * 1_000.0)
    }

    /// Returns the calls that run and those that wait.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let gate = self.gate.lock().expect("no holder panics");
        gate.admission.as_ref().map_or((0, 0), |admission| {
            (admission.running_count(), admission.waiting_count())
        })
    }

    /// Waits for a slot until the call's deadline.
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
        if gate.closed {
            return Err(NotRunReason::Draining);
        }
        let admission = gate.admission.get_or_insert_with(|| Admission::new(limits));
        admission.set_limits(limits);
        let (entered, released) = admission.admit(call, Instant::now());
        let entered = match entered {
            AdmitOutcome::Running(ticket) => (self.slot(ticket, true), None),
            AdmitOutcome::Waiting(ticket) => {
                let (sender, decision) = oneshot::channel();
                gate.waiting.insert(ticket, sender);
                (self.slot(ticket, false), Some(decision))
            }
            AdmitOutcome::Refused(reason) => return Err(reason),
        };
        gate.tell(released);
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
    fn tell(&mut self, released: Dequeued) {
        for ticket in released.running {
            self.decide(ticket, Ok(()));
        }
        for (ticket, reason) in released.refused {
            self.decide(ticket, Err(reason));
        }
    }

    fn decide(&mut self, ticket: Ticket, decision: Decision) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            // A receiver that is gone frees its place when its `Slot` drops.
            sender.send(decision).ok();
        }
    }
}

/// A place in the queue or a slot; it is free again when dropped.
pub(crate) struct Slot<'a> {
    gate: &'a TargetGate,
    ticket: Ticket,
    started: bool,
    /// Whether the call was answered, so that its time is a sample of its kind.
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
        let released = admission.release(self.ticket, answered, Instant::now());
        gate.tell(released);
    }
}
