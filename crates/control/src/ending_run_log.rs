//! Tasks of a node that keep the ends of its target's runs in the platform's log: one reads what an
//! earlier process acknowledged, one records new ends, and one removes what has expired.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_log_client::EndingRunLog;
use figway_types::{
    Backoff,
    EndingRun, //
};

use crate::mesh::Mesh;

/// Timeout of the first request. Each further one gets twice as long, as a slow log may need it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of requests after which the timeout grows no more.
const TIMEOUT_DOUBLING_MAX_COUNT: u32 = 2;

/// Timeout of a request of the task that removes records, which nobody waits for.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(4);

/// First pause after a request that failed, in milliseconds.
const RETRY_FIRST_MS: u64 = 100;

/// Longest pause after a request that failed, in milliseconds.
const RETRY_MAX_MS: u64 = 2_000;

/// Mean interval at which the node of the first rank for the log removes expired records.
const REMOVE_EVERY: Duration = Duration::from_secs(900);

/// Deadlines and pauses of a request that is made until it succeeds.
struct Attempts {
    attempt_count: u32,
    backoff: Backoff,
}

impl Attempts {
    fn new(mesh: &Mesh) -> Self {
        Self {
            attempt_count: 0,
            backoff: Backoff::new(RETRY_FIRST_MS, RETRY_MAX_MS, mesh.random()),
        }
    }

    /// Returns the deadline of the next request.
    fn next_deadline(&mut self) -> Instant {
        let factor = 1 << self.attempt_count.min(TIMEOUT_DOUBLING_MAX_COUNT);
        self.attempt_count += 1;
        Instant::now() + REQUEST_TIMEOUT * factor
    }

    /// Waits until the next request is due.
    async fn pause(&mut self) {
        let next_attempt_at = self.backoff.next_attempt_at(Instant::now());
        tokio::time::sleep_until(next_attempt_at.into()).await;
    }
}

/// Reads the ending runs that the log held when the process started, unless there were none.
pub(crate) async fn restore_ending_runs(mesh: Arc<Mesh>, log: Rc<dyn EndingRunLog>) {
    let mut attempts = Attempts::new(&mesh);
    while !mesh.knows_recorded_runs() {
        match log.read_ending_runs(attempts.next_deadline()).await {
            Ok(page) => mesh.restore_ending_runs(&page),
            Err(error) => {
                log::warn!("could not read ending runs: {error}");
                attempts.pause().await;
            }
        }
    }
}

/// Records the ends of runs of the own target, and records them again when the log went back to an
/// older copy. Runs until the process ends.
pub(crate) async fn record_ending_runs(mesh: Arc<Mesh>, log: Rc<dyn EndingRunLog>) {
    let mut wanted = mesh.watch_unrecorded_runs();
    let mut head = mesh.watch_head();
    loop {
        wanted.borrow_and_update();
        head.borrow_and_update();
        if !mesh.unrecorded_runs().is_empty() {
            record_until_done(&mesh, log.as_ref()).await;
            continue;
        }
        tokio::select! {
            _ = wanted.changed() => {}
            _ = head.changed() => {}
        }
    }
}

/// Records runs until the log holds all.
async fn record_until_done(mesh: &Mesh, log: &dyn EndingRunLog) {
    let mut attempts = Attempts::new(mesh);
    loop {
        let runs = mesh.unrecorded_runs();
        if runs.is_empty() {
            return;
        }
        match log
            .record_ending_runs(&runs, attempts.next_deadline())
            .await
        {
            Ok(era) => {
                log_recorded(&runs);
                mesh.mark_recorded(&runs, era);
            }
            Err(error) => {
                log::warn!("could not record ending runs count={}: {error}", runs.len());
                attempts.pause().await;
            }
        }
    }
}

fn log_recorded(runs: &[EndingRun]) {
    for run in runs {
        log::info!(
            "end of a run recorded instance={} started_at_ms={} stage={:?}",
            run.instance,
            run.started_at_ms,
            run.stage,
        );
    }
}

/// Removes expired records while this node is the first one by rank for the log. Runs until the
/// process ends.
pub(crate) async fn remove_expired_runs(mesh: Arc<Mesh>, log: Rc<dyn EndingRunLog>) {
    loop {
        tokio::time::sleep(REMOVE_EVERY / 2 + mesh.jitter(REMOVE_EVERY)).await;
        if mesh.log_rank() != Some(0) {
            continue;
        }
        if let Err(why) = remove_expired(log.as_ref()).await {
            log::warn!("could not remove expired ending runs: {why}");
        }
    }
}

/// Removes the expired records, if there are any.
///
/// # Errors
///
/// Why the log could not be read or written.
pub async fn remove_expired(log: &dyn EndingRunLog) -> Result<(), String> {
    let page = log
        .read_ending_runs(Instant::now() + REMOVE_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    let mut expired = page.runs;
    expired.retain(|run| run.left_ms == 0);
    if expired.is_empty() {
        return Ok(());
    }
    log::info!("expired ending runs removed count={}", expired.len());
    log.remove_ending_runs(&expired, Instant::now() + REMOVE_TIMEOUT)
        .await
        .map_err(|error| error.to_string())
}
