//! Calls that bear a key: claimed on the log before a target sees them, so that resends of the key
//! run at most once.

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
    Fate, //
};
use crate::worker::Worker;

/// Attempts that ended without running and are followed by this submission, at most.
const FOLLOW_MAX_COUNT: usize = 3;

/// Runs the call if its key is won; else returns the outcome of the attempt that holds the key, or
/// `unknown`. `not run` is told only of a key that was won.
pub(crate) async fn run_keyed(worker: &Worker, call: &Call<'_>, key: &str) -> Fate {
    let plane = &worker.plane;
    let mut after_attempt_id = None;
    for _ in 0..FOLLOW_MAX_COUNT {
        let claim = new_claim(worker, call, key, after_attempt_id);
        // Known as running before the claim, for whoever loses to it.
        let mut attempt = plane.outcomes.begin(claim.attempt_id);
        match plane.agent.claim(&claim, call.deadline).await {
            ClaimVerdict::Won => {
                attempt.start();
                let fate = run_won(worker, call).await;
                attempt.end(&fate);
                return fate;
            }
            ClaimVerdict::Lost(holder) => {
                drop(attempt);
                log::info!(
                    "key held request={} service={} holder={} attempt={:016x}",
                    call.request_id,
                    call.rule.service,
                    holder.owner,
                    holder.attempt_id,
                );
                match plane.agent.outcome(&holder, call.deadline).await {
                    KeyOutcome::Answered(kept) => return Fate::Answered(replay(kept)),
                    KeyOutcome::NotRun => after_attempt_id = Some(holder.attempt_id),
                    KeyOutcome::Running | KeyOutcome::Unknown => {
                        return Fate::Unknown("key-claimed");
                    }
                }
            }
            ClaimVerdict::Unavailable(why) => {
                log::warn!(
                    "key not claimed request={} service={} why={why}",
                    call.request_id,
                    call.rule.service
                );
                plane.metrics.count("claim_unavailable");
                return Fate::Unknown("claim-unavailable");
            }
        }
    }
    Fate::Unknown("key-claimed")
}

async fn run_won(worker: &Worker, call: &Call<'_>) -> Fate {
    // The process may have been paused since the claim was sent.
    if call.deadline <= Instant::now() {
        return Fate::NotRun(NotRunReason::Expired);
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

fn replay(kept: StoredAnswer) -> Answer {
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
