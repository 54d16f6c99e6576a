//! Way of a claim from the data plane to the node that batches its partition, and of a question to
//! the owner of an attempt.

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

/// Claims and questions of the data plane that wait at most.
const WAITING_MAX_COUNT: usize = 4_096;

/// Pause before a claim is tried again at the partition's batcher.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Pause between two questions about an attempt that still runs.
const ASK_AFTER: Duration = Duration::from_millis(25);

enum Job {
    Claim(ClaimJob),
    Outcome {
        holder: Box<Claim>,
        deadline: Instant,
        reply: oneshot::Sender<KeyOutcome>,
    },
}

/// Handle by which the data plane claims keys, from any thread.
#[derive(Clone, Debug)]
pub struct ClaimAgent {
    jobs: mpsc::Sender<Job>,
}

impl ClaimAgent {
    /// Claims a key; the verdict comes before `deadline`.
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

    /// Asks the owner of the holding attempt for its outcome; waits for one that runs until
    /// `deadline`.
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

/// Starts the task that carries claims and questions.
pub(crate) fn start_agent(router: ClaimRouter) -> ClaimAgent {
    let (jobs, receiver) = mpsc::channel(WAITING_MAX_COUNT);
    tokio::task::spawn_local(carry_jobs(router, receiver));
    ClaimAgent { jobs }
}

async fn carry_jobs(router: ClaimRouter, mut jobs: mpsc::Receiver<Job>) {
    let mut under_way = FuturesUnordered::new();
    loop {
        tokio::select! {
            job = jobs.recv() => {
                let Some(job) = job else {
                    return;
                };
                under_way.push(router.carry(job));
            }
            Some(()) = under_way.next() => {}
        }
    }
}

/// Finds the batcher of a claim and the owner of an attempt.
pub(crate) struct ClaimRouter {
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) batchers: Rc<ClaimBatchers>,
    pub(crate) partition_count: u32,
    pub(crate) log_region: String,
    pub(crate) connections: Mutex<BTreeMap<String, PeerClient>>,
}

impl ClaimRouter {
    async fn carry(&self, job: Job) {
        match job {
            Job::Claim(job) => {
                let verdict = self.claim(&job.claim, job.deadline).await;
                if job.reply.send(verdict).is_err() {
                    log::debug!("a claim's caller is gone");
                }
            }
            Job::Outcome {
                holder,
                deadline,
                reply,
            } => {
                let outcome = self.outcome(&holder, deadline).await;
                if reply.send(outcome).is_err() {
                    log::debug!("a question's caller is gone");
                }
            }
        }
    }

    /// Claims at the partition's batcher; the same attempt may be claimed twice without harm.
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
                    self.forget(&batcher.control_address).await;
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
                match self.ask_owner(holder).await {
                    Ok(outcome) => outcome,
                    Err(error) => {
                        self.forget(&holder.owner_address).await;
                        log::debug!("owner {} gave no outcome: {error:#}", holder.owner);
                        return KeyOutcome::Unknown;
                    }
                }
            };
            if outcome != KeyOutcome::Running || Instant::now() + ASK_AFTER >= deadline {
                return outcome;
            }
            tokio::time::sleep(ASK_AFTER).await;
        }
    }

    async fn ask_owner(&self, holder: &Claim) -> anyhow::Result<KeyOutcome> {
        let owner = self.mesh.members().get(&holder.owner).cloned();
        let Some(owner) = owner.filter(|owner| owner.control_address == holder.owner_address)
        else {
            return Ok(KeyOutcome::Unknown);
        };
        let client = self.connection(&owner).await?;
        Ok(client
            .outcome(crate::dial::prompt_context(), holder.attempt_id)
            .await?)
    }

    /// Returns the node that batches the key's partition, or none if that is this node.
    fn batcher_of(&self, key: &str) -> Option<Member> {
        let partition = partition_of(key, self.partition_count as usize);
        let stream = figway_log_client::claim_stream(partition as u32);
        let members = self.mesh.members();
        let mut best: Option<(bool, u64, &Member)> = None;
        for member in members.members() {
            if member.state != MemberState::Live {
                continue;
            }
            let near = member.region == self.log_region;
            let weight = rendezvous_weight(&stream, &member.node_id.0);
            if best
                .is_none_or(|(best_near, best_weight, _)| (near, weight) > (best_near, best_weight))
            {
                best = Some((near, weight, member));
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
        let far = peer.region != self.mesh.members().own().region;
        let client = dial(&self.mesh, &peer.control_address, far).await?;
        connections.insert(peer.control_address.clone(), client.clone());
        Ok(client)
    }

    async fn forget(&self, address: &str) {
        self.connections.lock().await.remove(address);
    }
}
