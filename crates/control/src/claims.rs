//! Batching of claims: one node per partition appends them to the log in batches, and the order of
//! offsets decides who holds a key.

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
    LogService,
    Page, //
};
use figway_types::{
    LogEra,
    Offset, //
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

/// Largest number of claims that wait for a batch. Further claims are refused.
const WAITING_MAX_COUNT: usize = 4_096;

/// Largest number of claims in one batch.
const BATCH_MAX_COUNT: usize = 512;

/// Largest number of keys that one partition stores. Beyond it new claims are refused and no
/// holder is removed early.
const KEY_MAX_COUNT: usize = 200_000;

/// Shortest time between two appends of one partition, so that the appends of all partitions stay
/// far below the log's limit.
const APPEND_SPACING: Duration = Duration::from_millis(20);

/// Timeout for appending lost claims again.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(2);

/// A queued claim and the channel for its verdict.
pub(crate) struct ClaimJob {
    pub(crate) claim: Claim,
    pub(crate) deadline: Instant,
    pub(crate) reply: oneshot::Sender<ClaimVerdict>,
}

/// Batchers of all partitions on this node. Each one is idle until it receives a claim.
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
                remember_ms,
                table: ClaimTable::new(remember_ms),
                loaded: false,
            };
            tokio::task::spawn_local(batcher.run(jobs));
            partitions.push(sender);
        }
        Self { partitions }
    }

    /// Claims a key at the batcher of its partition on this node.
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
    remember_ms: u64,
    table: ClaimTable,
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
            self.resolve(waiting).await;
            tokio::time::sleep_until(next_append_at.into()).await;
        }
    }

    /// Answers all jobs, from the table where it already decides them, otherwise by appending their
    /// claims to the log.
    async fn resolve(&mut self, jobs: Vec<ClaimJob>) {
        let Some(latest) = jobs.iter().map(|job| job.deadline).max() else {
            return;
        };
        if let Err(why) = self.load().await {
            answer_unavailable(jobs, &why);
            return;
        }
        let mut undecided = Vec::new();
        for job in jobs {
            let known = self.table.verdict(&job.claim);
            match known {
                Some(ClaimVerdict::Won) => answer(job, ClaimVerdict::Won),
                Some(lost) if job.claim.after_attempt_id.is_none() => answer(job, lost),
                _ => undecided.push(job),
            }
        }
        if undecided.is_empty() {
            return;
        }
        if self.table.key_count() + undecided.len() > KEY_MAX_COUNT {
            answer_unavailable(undecided, "too many keys are remembered");
            return;
        }
        if let Err(why) = self.append(&undecided, latest).await {
            answer_unavailable(undecided, &why);
            return;
        }
        for job in undecided {
            let verdict = self.table.verdict(&job.claim).unwrap_or_else(|| {
                ClaimVerdict::Unavailable("the claim is not in the stream".to_owned())
            });
            answer(job, verdict);
        }
    }

    /// Reads the stream to its head before the first verdict.
    async fn load(&mut self) -> Result<(), String> {
        if self.loaded {
            return Ok(());
        }
        self.catch_up().await?;
        self.loaded = true;
        Ok(())
    }

    async fn catch_up(&mut self) -> Result<(), String> {
        let from_offset = self.table.next_offset();
        let page = self.read(from_offset).await?;
        if page.next_offset.era() != from_offset.era() {
            return self.enter_era(page.next_offset.era()).await;
        }
        apply_page(&mut self.table, &page);
        Ok(())
    }

    async fn read(&self, from_offset: Offset) -> Result<Page, String> {
        read_retained(self.log.as_ref(), &self.stream, from_offset)
            .await
            .map_err(|error| error.to_string())
    }

    /// Reads the whole stream of `era`, after the log went back to an older copy or is read for the
    /// first time. Appends the claims again that the log has lost, before any other verdict.
    async fn enter_era(&mut self, era: LogEra) -> Result<(), String> {
        let page = self.read(Offset::in_era(era, 1)).await?;
        if page.next_offset.era() != era {
            return Err(format!(
                "the log is of era {} already",
                page.next_offset.era()
            ));
        }
        let mut table = ClaimTable::new(self.remember_ms);
        apply_page(&mut table, &page);
        let lost = self.table.claims_missing_from(&table);
        if !lost.is_empty() {
            log::info!(
                "lost claims restored stream={} count={}",
                self.stream,
                lost.len()
            );
            self.append_lost(&lost).await?;
            let restored = self.read(table.next_offset()).await?;
            apply_page(&mut table, &restored);
        }
        self.table = table;
        Ok(())
    }

    async fn append_lost(&self, lost: &[Claim]) -> Result<(), String> {
        for claims in lost.chunks(BATCH_MAX_COUNT) {
            let batch = ClaimBatch {
                batch_id: self.mesh.random(),
                claims: claims.to_vec(),
            };
            let body = serde_json::to_string(&batch).map_err(|error| error.to_string())?;
            let deadline = Instant::now() + RESTORE_TIMEOUT;
            self.log
                .append(&self.stream, &body, deadline)
                .await
                .map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    /// Appends one batch and applies the stream up to it.
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
                // The batch may have been appended; reading the stream shows whether it was.
                return self.catch_up().await;
            }
        };
        if appended.offset == self.table.next_offset() {
            self.table
                .apply(appended.offset, appended.appended_at_ms, &batch);
            return Ok(());
        }
        log::debug!(
            "another batcher wrote to {} before offset {}",
            self.stream,
            appended.offset
        );
        self.catch_up().await?;
        if self.table.next_offset() <= appended.offset {
            let why = format!("the stream ends before offset {}", appended.offset);
            return Err(why);
        }
        Ok(())
    }
}

/// Applies the records of a page to the table.
fn apply_page(table: &mut ClaimTable, page: &Page) {
    // Expired records can be skipped: the log keeps a record at least as long as a claim holds its
    // key.
    table.skip_to(page.first_offset);
    for record in &page.records {
        let batch = serde_json::from_str(&record.body).unwrap_or_else(|error| {
            log::error!("claim record {} is unreadable: {error}", record.offset);
            ClaimBatch {
                batch_id: 0,
                claims: Vec::new(),
            }
        });
        table.apply(record.offset, record.appended_at_ms, &batch);
    }
}

fn answer(job: ClaimJob, verdict: ClaimVerdict) {
    if job.reply.send(verdict).is_err() {
        log::debug!("the caller stopped waiting for a claim");
    }
}

fn answer_unavailable(jobs: Vec<ClaimJob>, why: &str) {
    for job in jobs {
        answer(job, ClaimVerdict::Unavailable(why.to_owned()));
    }
}
