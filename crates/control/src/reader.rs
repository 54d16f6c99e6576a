//! Reader of the change stream. In each region the node of the first rank reads the log; the others
//! also read it, one after the other, when the region's view of the log's head becomes stale.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_log_client::{
    read_retained,
    read_to_head,
    LogService,
    Page,
    ReadError,
    CHANGE_STREAM, //
};
use figway_profile::{
    Change,
    ChangeRecord,
    Fold,
    FoldState, //
};
use figway_types::{
    Backoff,
    ChangeId,
    LogEra,
    LogRecord,
    Offset, //
};

use crate::mesh::Mesh;

/// Longest time that the log holds one read back while it has no new record (long poll).
const READ_WAIT: Duration = Duration::from_secs(2);

/// Time for which the region's view of the head is fresh after a read.
const HEAD_FRESH: Duration = Duration::from_secs(8);

/// Staleness of the region's view, per rank, after which a node of one of the first ranks also reads.
const FAILOVER_STEP: Duration = Duration::from_secs(1);

/// Number of nodes of a region that read at short intervals while the log is unavailable.
const FAILOVER_COUNT: usize = 3;

/// Further staleness, per rank, after which a node of a later rank also reads. It may be the only one
/// that reaches the log.
const LATER_RANK_STEP: Duration = Duration::from_millis(1);

/// Pause between two reads of a node of a later rank while the log is unavailable, so that an outage
/// does not cause a storm of requests.
const LATER_RANK_RETRY: Duration = Duration::from_secs(4);

/// Interval at which a node that does not read checks whether it should.
const RANK_CHECK_EVERY: Duration = Duration::from_millis(250);

/// Timeout for appending a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest retry delay while the log is unavailable.
const RETRY_MAX_MS: u64 = 1_000;

/// Follows the change stream from `start_at` while this node is a reader of its region.
pub(crate) async fn follow_log(
    mesh: Arc<Mesh>,
    log: Rc<dyn LogService>,
    retention_ms: u64,
    start_at: Instant,
) {
    tokio::time::sleep_until(start_at.into()).await;
    let mut backoff = Backoff::new(50, RETRY_MAX_MS, mesh.random());
    loop {
        let should_read = should_read(&mesh);
        mesh.set_reads_log(should_read);
        if !should_read {
            tokio::time::sleep(RANK_CHECK_EVERY).await;
            continue;
        }
        let applied_offset = mesh.applied_offset();
        let wait_until = Instant::now() + READ_WAIT;
        match log
            .read(CHANGE_STREAM, applied_offset.next(), wait_until)
            .await
        {
            Ok(page) if page.next_offset.era() > applied_offset.era() => {
                enter_era(&mesh, log.as_ref(), page.next_offset.era(), &mut backoff).await;
            }
            Ok(page) if page.next_offset.era() < applied_offset.era() => {
                log::warn!(
                    "page of an earlier era ignored next={} applied={applied_offset}",
                    page.next_offset
                );
                wait_for_retry(&mesh, &mut backoff).await;
            }
            Ok(page) => {
                backoff.reset();
                apply_page(&mesh, log.as_ref(), &page, retention_ms).await;
            }
            Err(ReadError::Expired(first_offset)) if first_offset.era() > applied_offset.era() => {
                enter_era(&mesh, log.as_ref(), first_offset.era(), &mut backoff).await;
            }
            Err(ReadError::Expired(first_offset)) => {
                restore_from_snapshot(&mesh, log.as_ref(), first_offset).await;
                wait_for_retry(&mesh, &mut backoff).await;
            }
            Err(ReadError::Unavailable(why)) => {
                log::warn!("could not read the log: {why}");
                wait_for_retry(&mesh, &mut backoff).await;
            }
        }
    }
}

/// Replaces the applied state with that of the log in `era`, after the log went back to an older
/// copy or is read for the first time. What the log has lost stays in force until it is restored.
async fn enter_era(mesh: &Mesh, log: &dyn LogService, era: LogEra, backoff: &mut Backoff) {
    let page = match read_retained(log, CHANGE_STREAM, Offset::in_era(era, 1)).await {
        Ok(page) if page.next_offset.era() == era => page,
        Ok(page) => {
            log::info!("the log is of era {} already", page.next_offset.era());
            return;
        }
        Err(error) => {
            log::warn!("could not read the log of era {era}: {error}");
            wait_for_retry(mesh, backoff).await;
            return;
        }
    };
    let mut state = fold_page(&page).state().clone();
    // An empty log has no record that names its era.
    state.as_of_offset = state.as_of_offset.max(Offset::in_era(era, 0));
    mesh.install_state(state);
    mesh.extend_head_fresh(Instant::now() + HEAD_FRESH);
    backoff.reset();
}

async fn wait_for_retry(mesh: &Mesh, backoff: &mut Backoff) {
    let next_attempt_at = backoff.next_attempt_at(Instant::now());
    tokio::time::sleep_until(next_attempt_at.into()).await;
    if region_rank(mesh).is_some_and(|rank| rank >= FAILOVER_COUNT) {
        tokio::time::sleep(LATER_RANK_RETRY / 2 + mesh.jitter(LATER_RANK_RETRY)).await;
    }
}

/// Returns whether this node should read the log. The node of the first rank always does, the next
/// ones only while the region's view of the head is stale.
fn should_read(mesh: &Mesh) -> bool {
    match region_rank(mesh) {
        Some(0) => true,
        Some(rank) => mesh.head_fresh_until() + failover_after(rank) <= Instant::now(),
        None => false,
    }
}

/// Returns how long the region's view must have been stale before a node of `rank` reads.
fn failover_after(rank: usize) -> Duration {
    let later_rank = rank.saturating_sub(FAILOVER_COUNT);
    FAILOVER_STEP * rank.min(FAILOVER_COUNT) as u32 + LATER_RANK_STEP * later_rank as u32
}

fn region_rank(mesh: &Mesh) -> Option<usize> {
    let region = mesh.members().own().region.clone();
    mesh.own_rank(&region, &|member| member.region == region)
}

async fn apply_page(mesh: &Mesh, log: &dyn LogService, page: &Page, retention_ms: u64) {
    if mesh.applied_offset() >= page.next_offset {
        log::error!(
            "the log ends at {} but {} was applied; it has lost records, the applied state stays",
            page.next_offset,
            mesh.applied_offset(),
        );
        tokio::time::sleep(RANK_CHECK_EVERY).await;
        return;
    }
    mesh.apply_records(&page.records);
    mesh.extend_head_fresh(Instant::now() + HEAD_FRESH);
    if mesh.applied_offset().next() == page.next_offset {
        append_snapshot_if_due(mesh, log, page.now_ms, retention_ms).await;
    }
}

async fn append_snapshot_if_due(mesh: &Mesh, log: &dyn LogService, now_ms: u64, retention_ms: u64) {
    let state = mesh.fold().state().clone();
    let nothing_to_keep = state.as_of_offset.index() == 0;
    if nothing_to_keep || now_ms.saturating_sub(state.snapshot_at_ms) < retention_ms / 2 {
        return;
    }
    let record = ChangeRecord {
        change_id: ChangeId(mesh.random()),
        restores: None,
        author: mesh.members().own().node_id.0.clone(),
        change: Change::Snapshot {
            state: Box::new(state),
        },
    };
    let deadline = Instant::now() + SNAPSHOT_TIMEOUT;
    match log.append(CHANGE_STREAM, &record.to_body(), deadline).await {
        Ok(appended) => log::info!("snapshot appended offset={}", appended.offset),
        Err(error) => log::warn!("could not append a snapshot: {error}"),
    }
}

/// Restores from the newest usable snapshot after records have expired, and applies the records
/// that follow it. Without a snapshot that is newer than the applied offset and leaves no gap, the
/// applied state stays in force.
pub async fn restore_from_snapshot(mesh: &Mesh, log: &dyn LogService, first_offset: Offset) {
    let page = match read_to_head(log, CHANGE_STREAM, first_offset).await {
        Ok(page) => page,
        Err(error) => {
            log::warn!("could not continue reading from offset {first_offset}: {error}");
            return;
        }
    };
    let Some(state) = newest_snapshot(&page.records, first_offset, mesh.applied_offset()) else {
        log::error!(
            "no snapshot covers the expired records between {} and {first_offset}; \
             the applied profiles stay in force",
            mesh.applied_offset(),
        );
        return;
    };
    let as_of_offset = state.as_of_offset;
    mesh.install_state(state);
    let mut following = Vec::new();
    for record in page.records {
        if record.offset > as_of_offset {
            following.push(record);
        }
    }
    mesh.apply_records(&following);
}

/// Reads the retained change stream and folds it, starting with the newest usable snapshot if there
/// is one.
///
/// # Errors
///
/// The log is unavailable.
pub async fn read_fold(log: &dyn LogService) -> Result<Fold, ReadError> {
    let page = read_retained(log, CHANGE_STREAM, Offset(1)).await?;
    Ok(fold_page(&page))
}

/// Folds all retained records of the change stream, starting with the newest usable snapshot if
/// there is one.
fn fold_page(page: &Page) -> Fold {
    let mut fold = match newest_snapshot(&page.records, page.first_offset, Offset(0)) {
        Some(state) => Fold::from_state(state),
        None => Fold::default(),
    };
    for record in &page.records {
        fold.apply(record);
    }
    fold
}

/// Returns the newest snapshot in `records` that is newer than `applied_offset` and leaves no gap
/// before `first_offset`, the offset of the oldest retained record.
pub fn newest_snapshot(
    records: &[LogRecord],
    first_offset: Offset,
    applied_offset: Offset,
) -> Option<FoldState> {
    let mut newest: Option<FoldState> = None;
    for record in records {
        let Ok(change) = serde_json::from_str::<ChangeRecord>(&record.body) else {
            continue;
        };
        let Change::Snapshot { mut state } = change.change else {
            continue;
        };
        // The log may have gone back to a copy that holds the snapshot. One that was appended late
        // may cover records which the copy does not hold.
        let as_of_index = state.as_of_offset.index();
        if as_of_index >= record.offset.index() {
            continue;
        }
        state.as_of_offset = Offset::in_era(record.offset.era(), as_of_index);
        if state.as_of_offset.next() < first_offset || state.as_of_offset <= applied_offset {
            continue;
        }
        if newest
            .as_ref()
            .is_none_or(|newest| newest.as_of_offset < state.as_of_offset)
        {
            newest = Some(*state);
        }
    }
    newest
}
