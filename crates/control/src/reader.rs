//! Readers of the change stream: the first in rank of each region follows the log, the next one
//! takes over when the region's view of the head grows stale.

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
    LogRecord,
    Offset, //
};

use crate::mesh::Mesh;

/// How long one read waits at the log for a record.
const READ_WAIT: Duration = Duration::from_secs(2);

/// How long a read makes the region's view of the head fresh.
const HEAD_FRESH: Duration = Duration::from_secs(6);

/// Staleness for each place in rank before that node reads too.
const RANK_STEP: Duration = Duration::from_secs(1);

/// Nodes of a region that may ever read, so that an outage of the log draws no storm.
const READER_MAX_COUNT: usize = 3;

/// How often a node that does not read looks whether it should.
const RANK_CHECK: Duration = Duration::from_millis(250);

/// How long an append of a snapshot may take.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(5);

/// Longest pause between tries while the log is down.
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
        let may_read = may_read(&mesh);
        mesh.set_reads_log(may_read);
        if !may_read {
            tokio::time::sleep(RANK_CHECK).await;
            continue;
        }
        let from_offset = mesh.applied_offset().next();
        let wait_until = Instant::now() + READ_WAIT;
        match log.read(CHANGE_STREAM, from_offset, wait_until).await {
            Ok(page) => {
                backoff.reset();
                take_page(&mesh, log.as_ref(), &page, retention_ms).await;
            }
            Err(ReadError::Expired(first_offset)) => {
                restore_from_snapshot(&mesh, log.as_ref(), first_offset).await;
                pause(&mut backoff).await;
            }
            Err(ReadError::Unavailable(why)) => {
                log::warn!("could not read the log: {why}");
                pause(&mut backoff).await;
            }
        }
    }
}

async fn pause(backoff: &mut Backoff) {
    let next_try_at = backoff.next_attempt_at(Instant::now());
    tokio::time::sleep_until(next_try_at.into()).await;
}

/// Returns whether this node is to read: the first in rank always, the next ones when the region's
/// view is stale.
fn may_read(mesh: &Mesh) -> bool {
    let region = mesh.members().own().region.clone();
    let Some(rank) = mesh.own_rank(&region, &|member| member.region == region) else {
        return false;
    };
    if rank == 0 {
        return true;
    }
    rank < READER_MAX_COUNT && mesh.head_fresh_until() + RANK_STEP * rank as u32 <= Instant::now()
}

async fn take_page(mesh: &Mesh, log: &dyn LogService, page: &Page, retention_ms: u64) {
    if mesh.applied_offset() >= page.next_offset {
        log::error!(
            "the log ends at {} but {} was applied; it has lost records, nothing goes back",
            page.next_offset,
            mesh.applied_offset(),
        );
        tokio::time::sleep(RANK_CHECK).await;
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
    let nothing_to_keep = state.as_of_offset == Offset(0);
    if nothing_to_keep || now_ms.saturating_sub(state.snapshot_at_ms) < retention_ms / 2 {
        return;
    }
    let record = ChangeRecord {
        change_id: ChangeId(mesh.random()),
        author: mesh.members().own().node_id.0.clone(),
        change: Change::Snapshot {
            state: Box::new(state),
        },
    };
    let deadline = Instant::now() + SNAPSHOT_WAIT;
    match log.append(CHANGE_STREAM, &record.to_body(), deadline).await {
        Ok(appended) => log::info!("snapshot appended offset={}", appended.offset),
        Err(error) => log::warn!("could not append a snapshot: {error}"),
    }
}

/// Jumps over records that have expired, to a snapshot that is newer than what was applied.
pub async fn restore_from_snapshot(mesh: &Mesh, log: &dyn LogService, first_offset: Offset) {
    let page = match read_to_head(log, CHANGE_STREAM, first_offset).await {
        Ok(page) => page,
        Err(error) => {
            log::warn!("could not read on from offset {first_offset}: {error}");
            return;
        }
    };
    let Some(state) = newest_snapshot(&page.records, first_offset, mesh.applied_offset()) else {
        log::error!(
            "no snapshot bridges the records between {} and {first_offset}; \
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

/// Folds the change stream from its oldest record, or from a snapshot where that has expired.
///
/// # Errors
///
/// The log is unavailable.
pub async fn read_fold(log: &dyn LogService) -> Result<Fold, ReadError> {
    let page = read_retained(log, CHANGE_STREAM, Offset(1)).await?;
    let mut fold = match newest_snapshot(&page.records, page.first_offset, Offset(0)) {
        Some(state) => Fold::from_state(state),
        None => Fold::default(),
    };
    for record in &page.records {
        fold.apply(record);
    }
    Ok(fold)
}

/// Returns the newest snapshot from which the records from `first_offset` go on without a gap and
/// which is newer than `applied_offset`.
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
        let Change::Snapshot { state } = change.change else {
            continue;
        };
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
