//! Admission beside the target: slots and queue, then the call itself.

use std::sync::{
    Arc,
    Mutex, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    Admission,
    AdmissionLimits,
    CallView,
    Entered,
    Released,
    Ticket, //
};
use figway_http::{
    Outbound,
    SendFailure, //
};
use figway_routing::LoadReport;
use figway_types::{
    FastMap,
    NotRunReason,
    Target, //
};
use tokio::sync::oneshot;

use crate::call::{
    Admitted,
    Fate,
    LATE, //
};
use crate::interface::Onward;
use crate::plane::{
    DataPlane,
    Worker, //
};

/// Least time that a target is given for a call; less is not worth a try.
const TARGET_TIME_MIN: Duration = Duration::from_millis(2);

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

    /// Returns the load beside the target, with the wait of a call of `rank`.
    pub(crate) fn report(&self, rank: u32) -> LoadReport {
        let gate = self.gate.lock().expect("no holder panics");
        let Some(admission) = &gate.admission else {
            return LoadReport::default();
        };
        let wait = admission.expected_wait(rank, Instant::now());
        LoadReport {
            busy_ratio: admission.busy_ratio(),
            wait_ms: wait.as_secs_f64() * 1_000.0,
        }
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

/// Fate of an admitted call.
pub(crate) struct AdmittedFate {
    pub(crate) fate: Fate,
    /// Crash of the target that ended the call.
    pub(crate) crash_id: Option<u64>,
    /// Whether a byte of the call may have reached a target.
    pub(crate) sent: bool,
    /// Time in the queue beside the target.
    pub(crate) waited: Duration,
    /// Time at the target.
    pub(crate) ran: Duration,
}

impl AdmittedFate {
    /// The call never left this mesh.
    pub(crate) fn not_sent(reason: NotRunReason) -> Self {
        Self {
            fate: Fate::NotRun(reason),
            crash_id: None,
            sent: false,
            waited: Duration::ZERO,
            ran: Duration::ZERO,
        }
    }

    /// The call reached a target, or may have.
    pub(crate) fn sent(fate: Fate) -> Self {
        Self {
            fate,
            crash_id: None,
            sent: true,
            waited: Duration::ZERO,
            ran: Duration::ZERO,
        }
    }
}

/// Admits a call to the target beside this node and runs it there.
pub(crate) async fn admit(worker: &Worker, call: &Admitted<'_>) -> AdmittedFate {
    let plane = &worker.plane;
    let target = match own_target(plane, call) {
        Ok(target) => target,
        Err(reason) => return AdmittedFate::not_sent(reason),
    };
    if target.draining || plane.is_draining() {
        return AdmittedFate::not_sent(NotRunReason::Draining);
    }
    let view = CallView {
        kind: call.kind,
        worth: call.worth,
        long: call.long,
        rank: call.rank,
        prompt_by: call.prompt_by,
        deadline: call.deadline,
    };
    let limits = limits_of(plane, &target);
    let entered_at = Instant::now();
    let mut slot = match plane.gate.enter(&view, limits).await {
        Ok(slot) => slot,
        Err(reason) => {
            let (running_count, waiting_count) = plane.gate.counts();
            if plane.lines.keeps(call.request_id, true) {
                log::info!(
                    "call refused request={} kind={} why={} running={running_count} \
                 waiting={waiting_count} slots={} waited_ms={} left_ms={}",
                    call.request_id,
                    call.kind,
                    reason.name(),
                    target.slot_count,
                    entered_at.elapsed().as_millis(),
                    left_of(call).as_millis(),
                );
            }
            plane
                .metrics
                .note_admitted("not-run", reason.name(), entered_at.elapsed());
            return AdmittedFate::not_sent(reason);
        }
    };
    // While the call waited the process may have been paused, or the target replaced.
    if left_of(call) < TARGET_TIME_MIN {
        return AdmittedFate::not_sent(NotRunReason::Expired);
    }
    let target = match own_target(plane, call) {
        Ok(target) => target,
        Err(reason) => return AdmittedFate::not_sent(reason),
    };
    if plane.target_watch.has_left(Instant::now()) {
        return AdmittedFate::not_sent(NotRunReason::Draining);
    }
    let started_at = Instant::now();
    let ended = run_at_target(worker, call, &target).await;
    slot.answered = matches!(ended.fate, Fate::Answered(_));
    plane.metrics.note_admitted(
        ended.fate.name(),
        ended.fate.reason(),
        started_at.saturating_duration_since(entered_at),
    );
    if plane.lines.keeps(call.request_id, false) {
        log::info!(
            "call run request={} kind={} instance={} outcome={} why={} waited_ms={} ran_ms={}",
            call.request_id,
            call.kind,
            target.instance,
            ended.fate.name(),
            ended.fate.reason(),
            started_at.saturating_duration_since(entered_at).as_millis(),
            started_at.elapsed().as_millis(),
        );
    }
    AdmittedFate {
        waited: started_at.saturating_duration_since(entered_at),
        ran: started_at.elapsed(),
        ..ended
    }
}

fn left_of(call: &Admitted<'_>) -> Duration {
    call.deadline.saturating_duration_since(Instant::now())
}

fn own_target(plane: &DataPlane, call: &Admitted<'_>) -> Result<Target, NotRunReason> {
    let members = plane.mesh.members();
    match &members.own().target {
        Some(target) if target.service == call.service => Ok(target.clone()),
        _ => Err(NotRunReason::NoTarget),
    }
}

async fn run_at_target(worker: &Worker, call: &Admitted<'_>, target: &Target) -> AdmittedFate {
    let plane = &worker.plane;
    let mut headers = call.headers.clone();
    let onward = Onward {
        request_id: call.request_id,
        left: left_of(call),
        origin: call.origin,
        instance: &target.instance,
    };
    plane.interface.tell_target(&mut headers, &onward);
    let outbound = Outbound {
        address: &target.address,
        method: call.method,
        path: call.path,
        headers: &headers,
        body: call.body,
        deadline: call.deadline,
        echo: plane.interface.echo(),
        idempotent: call.idempotent,
    };
    let _running = plane.begin_run(call.request_id);
    match worker.targets.send(&outbound).await {
        Ok(answer) => match plane.interface.not_run(&answer) {
            Some(reason) => {
                log::info!(
                    "target refused request={} kind={} instance={} status={} why={}",
                    call.request_id,
                    call.kind,
                    target.instance,
                    answer.status,
                    reason.name(),
                );
                if reason == NotRunReason::Misdirected {
                    plane.target_watch.lose(&plane.mesh, "another one answers");
                }
                AdmittedFate::sent(Fate::NotRun(reason))
            }
            None if !plane.interface.is_sound(&answer) => {
                log::warn!(
                    "answer discarded request={} kind={} instance={} status={}",
                    call.request_id,
                    call.kind,
                    target.instance,
                    answer.status,
                );
                AdmittedFate::sent(Fate::Unknown("unsound-answer"))
            }
            None => AdmittedFate::sent(Fate::Answered(answer)),
        },
        Err(SendFailure::Late) => AdmittedFate::sent(Fate::Unknown(LATE)),
        Err(SendFailure::TooLarge) => AdmittedFate::sent(Fate::Unknown("answer-too-large")),
        Err(SendFailure::Refused(why)) => {
            plane.target_watch.lose(&plane.mesh, &why);
            AdmittedFate::not_sent(NotRunReason::Unreachable)
        }
        Err(SendFailure::Broken(why)) => {
            let crashed = !worker.targets.can_connect(&target.address).await;
            log::warn!(
                "target broke off request={} kind={} instance={} crashed={crashed} why={why}",
                call.request_id,
                call.kind,
                target.instance,
            );
            AdmittedFate {
                crash_id: crashed.then(|| note_crash(plane, call)),
                ..AdmittedFate::sent(Fate::Unknown("broken"))
            }
        }
    }
}

fn note_crash(plane: &Arc<DataPlane>, call: &Admitted<'_>) -> u64 {
    let crash_id = plane.mesh.random();
    plane.target_watch.lose(&plane.mesh, "it crashed");
    plane
        .mesh
        .quarantine()
        .note_crash(call.fingerprint, crash_id, Instant::now());
    plane.mesh.note_member_changes();
    crash_id
}

fn limits_of(plane: &DataPlane, target: &Target) -> AdmissionLimits {
    let view = plane.mesh.view();
    let limits = &plane.profile_of(&view, &target.service).0.limits;
    AdmissionLimits {
        slot_count: target.slot_count,
        queue_per_slot_ratio: limits.queue_per_slot_ratio,
        short_share_ratio: limits.short_share_ratio,
    }
}
