//! Admission beside the target: slots and queue, then the call itself.

use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Instant;

use figway_admission::{
    Admission,
    AdmissionLimits,
    CallView,
    Entered,
    Released,
    Ticket, //
};
use figway_types::{
    FastMap,
    NotRunReason,
    Target, //
};
use tokio::sync::oneshot;

use crate::call::{
    Admitted,
    Fate, //
};
use crate::headers;
use crate::plane::{
    DataPlane,
    Worker, //
};
use crate::transport::{
    Outbound,
    SendFailure, //
};

type Decision = Result<(), NotRunReason>;

#[derive(Default)]
struct Gate {
    admission: Option<Admission>,
    waiting: FastMap<Ticket, oneshot::Sender<Decision>>,
    closed: bool,
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
            admission.set_closed(closed);
        }
    }

    /// Returns the calls that run and wait, per slot.
    pub(crate) fn busy_ratio(&self) -> f64 {
        let gate = self.gate.lock().expect("no holder panics");
        gate.admission.as_ref().map_or(0.0, Admission::busy_ratio)
    }

    /// Returns the calls that run and those that wait.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let gate = self.gate.lock().expect("no holder panics");
        gate.admission.as_ref().map_or((0, 0), |admission| {
            (admission.running_count(), admission.waiting_count())
        })
    }

    /// Waits for a slot until the call's deadline.
    async fn enter(
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
        let (entered, released) = admission.enter(call, Instant::now());
        let entered = match entered {
            Entered::Running(ticket) => (self.slot(ticket, true), None),
            Entered::Waiting(ticket) => {
                let (sender, decision) = oneshot::channel();
                gate.waiting.insert(ticket, sender);
                (self.slot(ticket, false), Some(decision))
            }
            Entered::Refused(reason) => return Err(reason),
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
    fn tell(&mut self, released: Released) {
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
struct Slot<'a> {
    gate: &'a TargetGate,
    ticket: Ticket,
    started: bool,
    answered: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut gate = self.gate.gate.lock().expect("no holder panics");
        gate.waiting.remove(&self.ticket);
        let answered = self.answered && self.started;
        let Some(admission) = &mut gate.admission else {
            return;
        };
        let released = admission.leave(self.ticket, answered, Instant::now());
        gate.tell(released);
    }
}

/// Fate of an admitted call, with the crash that ended it.
pub(crate) struct AdmittedFate {
    pub(crate) fate: Fate,
    pub(crate) crash_id: Option<u64>,
}

impl From<Fate> for AdmittedFate {
    fn from(fate: Fate) -> Self {
        Self {
            fate,
            crash_id: None,
        }
    }
}

/// Admits a call to the target beside this node and runs it there.
pub(crate) async fn admit(worker: &Worker, call: &Admitted<'_>) -> AdmittedFate {
    let plane = &worker.plane;
    let target = plane.mesh.members().own().target.clone();
    let Some(target) = target else {
        return Fate::NotRun(NotRunReason::NoTarget).into();
    };
    if target.draining || plane.is_draining() {
        return Fate::NotRun(NotRunReason::Draining).into();
    }
    let view = CallView {
        kind: call.kind,
        worth: call.worth,
        long: call.long,
        deadline: call.deadline,
    };
    let limits = limits_of(plane, &target);
    let mut slot = match plane.gate.enter(&view, limits).await {
        Ok(slot) => slot,
        Err(reason) => {
            log::info!(
                "call refused request={:016x} kind={} why={}",
                call.request_id,
                call.kind,
                reason.name()
            );
            return Fate::NotRun(reason).into();
        }
    };
    // The process may have been paused while the call waited.
    if call.deadline <= Instant::now() {
        return Fate::NotRun(NotRunReason::Expired).into();
    }
    let ended = run_at_target(worker, call, &target).await;
    slot.answered = matches!(ended.fate, Fate::Answered(_));
    ended
}

async fn run_at_target(worker: &Worker, call: &Admitted<'_>, target: &Target) -> AdmittedFate {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let mut headers = call.headers.to_vec();
    headers.push((headers::BUDGET_MS.to_owned(), left.as_millis().to_string()));
    headers.push((
        headers::REQUEST_ID.to_owned(),
        format!("{:016x}", call.request_id),
    ));
    let outbound = Outbound {
        address: &target.address,
        method: call.method,
        path: call.path,
        headers: &headers,
        body: call.body,
        deadline: call.deadline,
    };
    match worker.targets.send(&outbound).await {
        Ok(answer) => Fate::Answered(answer).into(),
        Err(SendFailure::Late) => Fate::Unknown("deadline").into(),
        Err(SendFailure::TooLarge) => Fate::Unknown("answer-too-large").into(),
        Err(SendFailure::Refused(why)) => {
            worker.plane.target_watch.lose(&worker.plane.mesh, &why);
            Fate::NotRun(NotRunReason::Unreachable).into()
        }
        Err(SendFailure::Broken(why)) => {
            let crash_id = note_crash(&worker.plane, call, &why);
            AdmittedFate {
                fate: Fate::Unknown("broken"),
                crash_id: Some(crash_id),
            }
        }
    }
}

fn note_crash(plane: &Arc<DataPlane>, call: &Admitted<'_>, why: &str) -> u64 {
    let crash_id = plane.mesh.random();
    log::warn!(
        "target broke off request={:016x} kind={} crash={crash_id:016x} why={why}",
        call.request_id,
        call.kind,
    );
    plane
        .mesh
        .quarantine()
        .note_crash(call.fingerprint, crash_id, Instant::now());
    crash_id
}

fn limits_of(plane: &DataPlane, target: &Target) -> AdmissionLimits {
    let view = plane.mesh.view();
    let defaults = figway_profile::Limits::default();
    let limits = view
        .services
        .get(&target.service)
        .map_or(&defaults, |in_force| &in_force.profile.limits);
    AdmissionLimits {
        slot_count: target.slot_count,
        queue_per_slot_ratio: limits.queue_per_slot_ratio,
        short_share_ratio: limits.short_share_ratio,
    }
}
