//! Forwards claims from the data plane to the nodes that batch their partitions, and outcome
//! queries to the owners of attempts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    rendezvous_weight,
    Member,
    MemberState, //
};
use futures::stream::{
    FuturesUnordered,
    StreamExt as _, //
};
use tokio::sync::{
    mpsc,
    oneshot,
    Mutex, //
};

use crate::claims::{
    partition_of,
    ClaimBatchers,
    ClaimJob, //
};
use crate::dial::{
    context_until,
    dial, //
};
use crate::mesh::Mesh;
use crate::rpc::{
    Claim,
    ClaimVerdict,
    KeyOutcome,
    PeerClient, //
};

/// Largest number of waiting claims and outcome queries of the data plane.
const WAITING_MAX_COUNT: usize = 4_096;

/// Pause before a claim is retried at the partition's batcher.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Interval at which the outcome of a running attempt is polled.
const OUTCOME_POLL_EVERY: Duration = Duration::from_millis(25);

enum Job {
    Claim(ClaimJob),
    Outcome {
        holder: Box<Claim>,
        deadline: Instant,
        reply: oneshot::Sender<KeyOutcome>,
    },
}

/// Handle with which the data plane claims keys, from any thread.
#[derive(Clone, Debug)]
pub struct ClaimAgent {
    jobs: mpsc::Sender<Job>,
}

impl ClaimAgent {
    /// Claims a key. Returns `Unavailable` if there is no verdict before `deadline`.
    pub async fn claim(&self, claim: &Claim, deadline: Instant) -> ClaimVerdict {
        let (reply, verdict) = oneshot::channel();
        let job = ClaimJob {
            claim: claim.clone(),
            deadline,
            reply,
        };
        if self.jobs.try_send(Job::Claim(job)).is_err() {
            return ClaimVerdict::Unavailable("too many claims wait".to_owned());
        }
        match tokio::time::timeout_at(deadline.into(), verdict).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => ClaimVerdict::Unavailable("no verdict in time".to_owned()),
        }
    }

    /// Asks the owner of the holding attempt for its outcome. While the attempt is running, waits
    /// for it until `deadline`.
    pub async fn outcome(&self, holder: &Claim, deadline: Instant) -> KeyOutcome {
        let (reply, outcome) = oneshot::channel();
        let job = Job::Outcome {
            holder: Box::new(holder.clone()),
            deadline,
            reply,
        };
        if self.jobs.try_send(job).is_err() {
            return KeyOutcome::Unknown;
        }
        match tokio::time::timeout_at(deadline.into(), outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => KeyOutcome::Unknown,
        }
    }
}

/// Starts the task that forwards claims and outcome queries.
pub(crate) fn start_agent(router: ClaimRouter) -> ClaimAgent {
    let (jobs, receiver) = mpsc::channel(WAITING_MAX_COUNT);
    tokio::task::spawn_local(run_jobs(router, receiver));
    ClaimAgent { jobs }
}

async fn run_jobs(router: ClaimRouter, mut jobs: mpsc::Receiver<Job>) {
    let mut in_flight = FuturesUnordered::new();
    loop {
        tokio::select! {
            job = jobs.recv() => {
                let Some(job) = job else {
                    return;
                };
                in_flight.push(router.run_job(job));
            }
            Some(()) = in_flight.next() => {}
        }
    }
}

/// Routes claims to their batchers and outcome queries to the owners of attempts.
pub(crate) struct ClaimRouter {
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) batchers: Rc<ClaimBatchers>,
    pub(crate) partition_count: u32,
    pub(crate) log_region: String,
    pub(crate) connections: Mutex<BTreeMap<String, PeerClient>>,
}

impl ClaimRouter {
    async fn run_job(&self, job: Job) {
        match job {
            Job::Claim(job) => {
                let verdict = self.claim(&job.claim, job.deadline).await;
                if job.reply.send(verdict).is_err() {
                    log::debug!("the caller stopped waiting for a claim");
                }
            }
            Job::Outcome {
                holder,
                deadline,
                reply,
            } => {
                let outcome = self.outcome(&holder, deadline).await;
                if reply.send(outcome).is_err() {
                    log::debug!("the caller stopped waiting for an outcome");
                }
            }
        }
    }

    /// Claims a key at the batcher of its partition and retries until `deadline`. Retries are
    /// safe, as a repeated claim of the same attempt has no further effect.
    async fn claim(&self, claim: &Claim, deadline: Instant) -> ClaimVerdict {
        let mut why = "no batcher".to_owned();
        while Instant::now() < deadline {
            let Some(batcher) = self.batcher_of(&claim.key) else {
                return self.batchers.claim(claim.clone(), deadline).await;
            };
            let left = deadline.saturating_duration_since(Instant::now());
            match self.claim_at(&batcher, claim, left).await {
                Ok(ClaimVerdict::Unavailable(reason)) => why = reason,
                Ok(verdict) => return verdict,
                Err(error) => {
                    self.drop_connection(&batcher.control_address).await;
                    why = format!("{error:#}");
                }
            }
            tokio::time::sleep(RETRY_AFTER).await;
        }
        ClaimVerdict::Unavailable(why)
    }

    async fn claim_at(
        &self,
        batcher: &Member,
        claim: &Claim,
        left: Duration,
    ) -> anyhow::Result<ClaimVerdict> {
        let client = self.connection(batcher).await?;
        let context = context_until(Instant::now() + left);
        let left_ms = left.as_millis() as u64;
        Ok(client.claim(context, claim.clone(), left_ms).await?)
    }

    async fn outcome(&self, holder: &Claim, deadline: Instant) -> KeyOutcome {
        let own_id = self.mesh.members().own().node_id.clone();
        loop {
            let outcome = if holder.owner == own_id {
                self.mesh.outcome(holder.attempt_id)
            } else {
                match self.query_owner(holder).await {
                    Ok(outcome) => outcome,
                    Err(error) => {
                        self.drop_connection(&holder.owner_address).await;
                        log::debug!(
                            "could not ask owner {} for an outcome: {error:#}",
                            holder.owner
                        );
                        return KeyOutcome::Unknown;
                    }
                }
            };
            if outcome != KeyOutcome::Running || Instant::now() + OUTCOME_POLL_EVERY >= deadline {
                return outcome;
            }
            tokio::time::sleep(OUTCOME_POLL_EVERY).await;
        }
    }

    async fn query_owner(&self, holder: &Claim) -> anyhow::Result<KeyOutcome> {
        let owner = self.mesh.members().get(&holder.owner).cloned();
        let Some(owner) = owner.filter(|owner| owner.control_address == holder.owner_address)
        else {
            return Ok(KeyOutcome::Unknown);
        };
        let client = self.connection(&owner).await?;
        Ok(client
            .outcome(crate::dial::peer_timeout_context(), holder.attempt_id)
            .await?)
    }

    /// Returns the node that batches the claims of the key's partition, or `None` if it is this
    /// node. Live nodes in the log's region are preferred; among them rendezvous hashing decides.
    fn batcher_of(&self, key: &str) -> Option<Member> {
        let partition = partition_of(key, self.partition_count as usize);
        let stream = figway_log_client::claim_stream(partition as u32);
        let members = self.mesh.members();
        let mut best: Option<(bool, u64, &Member)> = None;
        for member in members.members() {
            if member.state != MemberState::Live {
                continue;
            }
            let in_log_region = member.region == self.log_region;
            let weight = rendezvous_weight(&stream, &member.node_id.0);
            if best.is_none_or(|(best_in_log_region, best_weight, _)| {
                (in_log_region, weight) > (best_in_log_region, best_weight)
            }) {
                best = Some((in_log_region, weight, member));
            }
        }
        let (_, _, member) = best?;
        if member.node_id == members.own().node_id {
            return None;
        }
        Some(member.clone())
    }

    async fn connection(&self, peer: &Member) -> anyhow::Result<PeerClient> {
        let mut connections = self.connections.lock().await;
        if let Some(client) = connections.get(&peer.control_address) {
            return Ok(client.clone());
        }
        let cross_region = peer.region != self.mesh.members().own().region;
        let client = dial(&self.mesh, &peer.control_address, cross_region).await?;
        connections.insert(peer.control_address.clone(), client.clone());
        Ok(client)
    }

    async fn drop_connection(&self, address: &str) {
        self.connections.lock().await.remove(address);
    }
}
