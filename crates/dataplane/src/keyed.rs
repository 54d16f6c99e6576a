//! Calls with an idempotency key. The key is claimed on the log before the call is sent to a
//! target, so that all submissions of one key run at most once.

use std::time::Instant;

use figway_control::{
    Claim,
    ClaimVerdict,
    KeyOutcome,
    StoredAnswer, //
};
use figway_http::{
    Answer,
    Headers, //
};
use figway_types::NotRunReason;

use crate::attempts::run_attempts;
use crate::call::{
    Call,
    Outcome, //
};
use crate::worker::Worker;

/// Maximum number of claims by one submission. After a claim is lost to an attempt that did not
/// run, the submission claims the key again.
const CLAIM_MAX_COUNT: usize = 3;

/// Claims the key and runs the call if the claim is won. Otherwise returns the answer of the
/// attempt that holds the key, or `Unknown`. Returns `NotRun` only if the claim was won.
pub(crate) async fn run_keyed(worker: &Worker, call: &Call<'_>, key: &str) -> Outcome {
    let plane = &worker.plane;
    let mut after_attempt_id = None;
    for _ in 0..CLAIM_MAX_COUNT {
        let claim = new_claim(worker, call, key, after_attempt_id);
        // Registered before the claim, so that a submission that loses to it finds the attempt.
        let mut attempt = plane.outcomes.begin(claim.attempt_id);
        match plane.agent.claim(&claim, call.deadline).await {
            ClaimVerdict::Won => {
                attempt.mark_started();
                let outcome = run_claimed(worker, call).await;
                attempt.finish(&outcome);
                return outcome;
            }
            ClaimVerdict::Lost(holder) => {
                drop(attempt);
                log::info!(
                    "key already claimed request={} service={} holder={} attempt={:016x}",
                    call.request_id,
                    call.rule.service,
                    holder.owner,
                    holder.attempt_id,
                );
                match plane.agent.outcome(&holder, call.deadline).await {
                    KeyOutcome::Answered(kept) => return Outcome::Answered(replay_answer(kept)),
                    KeyOutcome::NotRun => after_attempt_id = Some(holder.attempt_id),
                    KeyOutcome::Running | KeyOutcome::Unknown => {
                        return Outcome::Unknown("key-claimed");
                    }
                }
            }
            ClaimVerdict::Unavailable(why) => {
                log::warn!(
                    "could not claim key request={} service={} why={why}",
                    call.request_id,
                    call.rule.service
                );
                plane.metrics.count("claim_unavailable");
                return Outcome::Unknown("claim-unavailable");
            }
        }
    }
    Outcome::Unknown("key-claimed")
}

async fn run_claimed(worker: &Worker, call: &Call<'_>) -> Outcome {
    // The process may have been paused since the claim was sent.
    if call.deadline <= Instant::now() {
        return Outcome::NotRun(NotRunReason::Expired);
    }
    run_attempts(worker, call).await
}

fn new_claim(worker: &Worker, call: &Call<'_>, key: &str, after_attempt_id: Option<u64>) -> Claim {
    let mesh = &worker.plane.mesh;
    let attempt_id = mesh.random();
    let members = mesh.members();
    let own = members.own();
    Claim {
        key: format!("{}/{key}", call.rule.service),
        attempt_id,
        owner: own.node_id.clone(),
        owner_address: own.control_address.clone(),
        after_attempt_id,
    }
}

fn replay_answer(kept: StoredAnswer) -> Answer {
    let mut headers = Headers::default();
    if !kept.content_type.is_empty() {
        headers.push("content-type", kept.content_type);
    }
    Answer {
        status: kept.status,
        headers,
        body: kept.body.into(),
    }
}
