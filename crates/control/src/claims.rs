//! Claims of keys: one node per partition batches them onto the log, and the offset decides.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_log_client::{
    claim_stream,
    read_retained,
    AppendError,
    LogService, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

use crate::claim_table::{
    ClaimBatch,
    ClaimTable, //
};
use crate::mesh::Mesh;
use crate::rpc::{
    Claim,
    ClaimVerdict, //
};

/// Claims that wait for a batch at most; more are refused.
const WAITING_MAX_COUNT: usize = 4_096;

/// Claims of one batch.
const BATCH_MAX_COUNT: usize = 512;

/// Keys that one partition remembers; beyond it new claims are refused, none is forgotten.
const KEY_MAX_COUNT: usize = 200_000;

/// Least time between two appends of one partition, so that all together stay far below what the
/// log takes.
const APPEND_SPACING: Duration = Duration::from_millis(20);

/// A claim that waits for its verdict.
pub(crate) struct ClaimJob {
    pub(crate) claim: Claim,
    pub(crate) deadline: Instant,
    pub(crate) reply: oneshot::Sender<ClaimVerdict>,
}

/// Batchers of all partitions on this node; each is idle until a claim comes.
pub(crate) struct ClaimBatchers {
    partitions: Vec<mpsc::Sender<ClaimJob>>,
}

impl ClaimBatchers {
    /// Starts one task for each partition.
    pub(crate) fn start(
        mesh: &Arc<Mesh>,
        log: &Rc<dyn LogService>,
        partition_count: u32,
        remember_ms: u64,
    ) -> Self {
        let mut partitions = Vec::new();
        for partition in 0..partition_count {
            let (sender, jobs) = mpsc::channel(WAITING_MAX_COUNT);
            let batcher = Batcher {
                mesh: Arc::clone(mesh),
                log: Rc::clone(log),
                stream: claim_stream(partition),
                book: ClaimTable::new(remember_ms),
                loaded: false,
            };
            tokio::task::spawn_local(batcher.run(jobs));
            partitions.push(sender);
        }
        Self { partitions }
    }

    /// Claims a key on the log.
    pub(crate) async fn claim(&self, claim: Claim, deadline: Instant) -> ClaimVerdict {
        let partition = partition_of(&claim.key, self.partitions.len());
        let (reply, verdict) = oneshot::channel();
        let job = ClaimJob {
            claim,
            deadline,
            reply,
        };
        if self.partitions[partition].try_send(job).is_err() {
            return ClaimVerdict::Unavailable("too many claims wait".to_owned());
        }
        match tokio::time::timeout_at(deadline.into(), verdict).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) => ClaimVerdict::Unavailable("the batcher dropped the claim".to_owned()),
            Err(_) => ClaimVerdict::Unavailable("the log was too slow".to_owned()),
        }
    }
}

/// Returns the partition of a key.
pub(crate) fn partition_of(key: &str, partition_count: usize) -> usize {
    (figway_types::stable_hash(key) % partition_count.max(1) as u64) as usize
}

struct Batcher {
    mesh: Arc<Mesh>,
    log: Rc<dyn LogService>,
    stream: String,
    book: ClaimTable,
    loaded: bool,
}

impl Batcher {
    async fn run(mut self, mut jobs: mpsc::Receiver<ClaimJob>) {
        while let Some(first) = jobs.recv().await {
            let mut waiting = vec![first];
            while waiting.len() < BATCH_MAX_COUNT {
                let Ok(job) = jobs.try_recv() else {
                    break;
                };
                waiting.push(job);
            }
            let next_append_at = Instant::now() + APPEND_SPACING;
            self.settle(waiting).await;
            tokio::time::sleep_until(next_append_at.into()).await;
        }
    }

    /// Answers all jobs: from the book where it decides, else from the log.
    async fn settle(&mut self, jobs: Vec<ClaimJob>) {
        let Some(latest) = jobs.iter().map(|job| job.deadline).max() else {
            return;
        };
        if let Err(why) = self.load().await {
            answer_unavailable(jobs, &why);
            return;
        }
        let mut open = Vec::new();
        for job in jobs {
            let known = self.book.verdict(&job.claim);
            match known {
                Some(ClaimVerdict::Won) => answer(job, ClaimVerdict::Won),
                Some(lost) if job.claim.after_attempt_id.is_none() => answer(job, lost),
                _ => open.push(job),
            }
        }
        if open.is_empty() {
            return;
        }
        if self.book.key_count() + open.len() > KEY_MAX_COUNT {
            answer_unavailable(open, "too many keys are remembered");
            return;
        }
        if let Err(why) = self.append(&open, latest).await {
            answer_unavailable(open, &why);
            return;
        }
        for job in open {
            let verdict = self.book.verdict(&job.claim).unwrap_or_else(|| {
                ClaimVerdict::Unavailable("the claim is not in the stream".to_owned())
            });
            answer(job, verdict);
        }
    }

    /// Reads the stream to its head once, before the first verdict.
    async fn load(&mut self) -> Result<(), String> {
        if self.loaded {
            return Ok(());
        }
        self.catch_up().await?;
        self.loaded = true;
        Ok(())
    }

    async fn catch_up(&mut self) -> Result<(), String> {
        let from_offset = self.book.next_offset();
        let page = read_retained(self.log.as_ref(), &self.stream, from_offset)
            .await
            .map_err(|error| error.to_string())?;
        // Expired records are older than any key is remembered.
        self.book.skip_to(page.first_offset);
        for record in &page.records {
            let batch = serde_json::from_str(&record.body).unwrap_or_else(|error| {
                log::error!("claim record {} is unreadable: {error}", record.offset);
                ClaimBatch {
                    batch_id: 0,
                    claims: Vec::new(),
                }
            });
            self.book
                .apply(record.offset, record.appended_at_ms, &batch);
        }
        Ok(())
    }

    /// Appends one batch and folds the stream up to it.
    async fn append(&mut self, jobs: &[ClaimJob], deadline: Instant) -> Result<(), String> {
        let mut batch = ClaimBatch {
            batch_id: self.mesh.random(),
            claims: Vec::new(),
        };
        for job in jobs {
            batch.claims.push(job.claim.clone());
        }
        let body = serde_json::to_string(&batch).map_err(|error| error.to_string())?;
        let appended = match self.log.append(&self.stream, &body, deadline).await {
            Ok(appended) => appended,
            Err(AppendError::Refused(why)) => return Err(why),
            Err(AppendError::Unknown(_)) => {
                // The batch may be in the stream; what the stream says decides, whatever came of it.
                return self.catch_up().await;
            }
        };
        if appended.offset == self.book.next_offset() {
            self.book
                .apply(appended.offset, appended.appended_at_ms, &batch);
            return Ok(());
        }
        log::debug!(
            "another batcher wrote to {} before offset {}",
            self.stream,
            appended.offset
        );
        self.catch_up().await?;
        if self.book.next_offset() <= appended.offset {
            let why = format!("the stream ends before offset {}", appended.offset);
            return Err(why);
        }
        Ok(())
    }
}

fn answer(job: ClaimJob, verdict: ClaimVerdict) {
    if job.reply.send(verdict).is_err() {
        log::debug!("a claim's caller is gone");
    }
}

fn answer_unavailable(jobs: Vec<ClaimJob>, why: &str) {
    for job in jobs {
        answer(job, ClaimVerdict::Unavailable(why.to_owned()));
    }
}
