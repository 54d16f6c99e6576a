//! Choice of the target for an attempt, from the candidates of the call's service and subset.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_rollout::VersionMask;
use figway_routing::{
    CallContext,
    Candidate,
    Distance,
    TargetPicker, //
};
use figway_types::NodeId;

use crate::call::{
    Call,
    Rule, //
};
use crate::candidates::{
    CandidateKey,
    TargetEntry, //
};
use crate::plane::DataPlane;
use crate::proxy::{
    HOLD_BUDGET_RATIO,
    HOLD_MAX, //
};
use crate::steps::Step;
use crate::worker::Worker;

/// A target that was picked for an attempt.
pub(crate) struct PickedTarget {
    pub(crate) entry: TargetEntry,
    /// Price of the call's bytes, as a fraction of its worth.
    pub(crate) price: f64,
    /// Expected latency of the answer, if there is an estimate.
    pub(crate) expected_latency: Option<Duration>,
}

/// Picks a target. While no target is known, a call with a prompt time is held for at most
/// [`HOLD_MAX`] and at most [`HOLD_BUDGET_RATIO`] of its budget.
pub(crate) async fn pick_or_wait(
    worker: &Worker,
    call: &Call<'_>,
    tried: &[NodeId],
) -> Option<PickedTarget> {
    let mesh = &worker.plane.mesh;
    let mut changes = mesh.watch_view();
    let budget = call.deadline - call.arrived_at;
    let hold_until = call.arrived_at + HOLD_MAX.min(budget.mul_f64(HOLD_BUDGET_RATIO));
    loop {
        let picked_target = pick(worker, call, tried);
        if picked_target.is_some() || !tried.is_empty() || call.prompt_by.is_none() {
            return picked_target;
        }
        let changed = tokio::time::timeout_at(hold_until.into(), changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return None;
        }
    }
}

/// Picks a target that was not tried yet. Returns `None` if there is none.
pub(crate) fn pick(worker: &Worker, call: &Call<'_>, tried: &[NodeId]) -> Option<PickedTarget> {
    let plane = &worker.plane;
    let rule = &call.rule;
    let own_member = &worker.own_member;
    let entries = entries(worker, rule, tried.is_empty());
    let candidates = build_candidates(plane, &entries);
    let excluded: Vec<&NodeId> = tried.iter().collect();
    let mut loads = plane.loads();
    let now = Instant::now();
    // This node's gate knows the load of the target on this host exactly, whoever sent the calls.
    loads.record_report(&own_member.node_id, plane.gate.load_report(rule.rank), now);
    let mut picker = match call.prompt_by {
        Some(_) => route_picker(worker, rule).borrow_mut(),
        None => worker.picker.borrow_mut(),
    };
    let need = CallContext {
        kind: rule.name,
        prompt_left: call
            .prompt_by
            .unwrap_or(call.deadline)
            .saturating_duration_since(now),
        deadline_left: call.deadline.saturating_duration_since(now),
    };
    let class = call.class();
    let picked = picker.pick_for_class(&need, &class, &candidates, &excluded, &loads, now);
    let Some(picked) = picked else {
        call.steps.borrow_mut().push(Step::NoTarget {
            known_count: candidates.len(),
        });
        return None;
    };
    let entry = entries[picked.index].clone();
    call.steps.borrow_mut().push(Step::Picked {
        target: entry.member.node_id.clone(),
        reason: picked.reason,
        cost: picked.cost,
        at_ms: call.arrived_at.elapsed().as_millis(),
    });
    Some(PickedTarget {
        entry,
        price: picked.price,
        expected_latency: picked.expected,
    })
}

/// Returns the picker for calls of the route table.
pub(crate) fn route_picker<'a>(
    worker: &'a Worker,
    rule: &Rule<'_>,
) -> &'a RefCell<Box<dyn TargetPicker>> {
    if rule.overload_control {
        return &worker.work_picker;
    }
    &worker.route_picker
}

/// Returns the shortest time until any target is expected to start the call, if one is
/// known.
pub(crate) fn shortest_wait(worker: &Worker, rule: &Rule<'_>) -> Option<Duration> {
    let plane = &worker.plane;
    let entries = entries(worker, rule, true);
    let candidates = build_candidates(plane, &entries);
    let loads = plane.loads();
    let now = Instant::now();
    let mut shortest_ms: Option<f64> = None;
    for candidate in &candidates {
        let ran_ms = loads.ran_ms(candidate.node_id, rule.name).unwrap_or(0.0);
        let concurrency = candidate.concurrency(ran_ms);
        let wait_ms = loads.wait_ms(candidate.node_id, rule.name, concurrency, ran_ms, now);
        shortest_ms = Some(shortest_ms.map_or(wait_ms, |shortest| shortest.min(wait_ms)));
    }
    Duration::try_from_secs_f64(shortest_ms? / 1_000.0).ok()
}

/// Returns the targets of the rule's service and subset, of the versions that rollouts leave to the
/// call. `is_first` says whether this is its first attempt.
pub(crate) fn entries(worker: &Worker, rule: &Rule<'_>, is_first: bool) -> Rc<[TargetEntry]> {
    let mesh = &worker.plane.mesh;
    let view = mesh.view();
    let mut cache = worker.candidates.borrow_mut();
    let mut versions = VersionMask::ALL;
    if mesh.has_rollouts() {
        let draw = mesh.random_ratio();
        let book = mesh.rollouts();
        versions = cache.versions(&view, rule.service).choose(
            book.get(rule.service),
            book.limits(),
            rule.name,
            draw,
            is_first,
            Instant::now(),
        );
    }
    let key = CandidateKey {
        service: rule.service,
        subset_name: rule.subset,
        profile: rule.profile,
        profile_name: rule.profile_name,
        versions,
    };
    cache.entries(&view, &worker.own_member, key)
}

/// Returns the targets in the form that pickers use, with the rate limits that this node knows.
pub(crate) fn build_candidates<'a>(
    plane: &DataPlane,
    entries: &'a [TargetEntry],
) -> Vec<Candidate<'a>> {
    let known_states = plane.peer_targets.lock();
    let mut candidates = Vec::with_capacity(entries.len());
    for entry in entries {
        let mut candidate = entry.candidate();
        if entry.distance == Distance::Host {
            candidate.rate_limit = plane.gate.rate_limit();
        }
        if let Some(state) = known_states.state_of(&entry.member) {
            candidate.rate_limit = state.rate_limit;
        }
        candidates.push(candidate);
    }
    candidates
}
