//! Appends changes again that the log lost when it went back to an older copy of itself.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_log_client::{
    AppendError,
    LogService,
    CHANGE_STREAM, //
};
use figway_profile::{
    ChangeRecord,
    LostChange, //
};
use figway_types::{
    Backoff,
    ChangeId,
    Offset, //
};

use crate::mesh::Mesh;

/// Pause of a node for each node of an earlier rank, so that one node restores the changes and the
/// next ones step in if it does not.
const RANK_PAUSE: Duration = Duration::from_millis(400);

/// Number of ranks with a pause of their own; all later ones share the longest.
const RANK_MAX_COUNT: usize = 8;

/// Timeout of one append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait until an appended change is read back.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest retry delay.
const RETRY_MAX_MS: u64 = 2_000;

/// Restores lost changes until the process ends.
///
/// Each one is appended on the condition that the log still holds the older version, so that a change
/// that an author has made since wins, and of two nodes that restore the same change only the first
/// takes effect.
pub(crate) async fn restore_lost_changes(mesh: Arc<Mesh>, log: Rc<dyn LogService>) {
    let mut signal = mesh.watch_lost();
    while signal.changed().await.is_ok() {
        let mut backoff = Backoff::new(100, RETRY_MAX_MS, mesh.random());
        tokio::time::sleep(rank_pause(&mesh)).await;
        loop {
            let changes = mesh.lost_changes();
            if changes.is_empty() {
                break;
            }
            if let Some(last_offset) = append_all(&mesh, log.as_ref(), &changes).await {
                wait_until_applied(&mesh, last_offset).await;
                continue;
            }
            let next_attempt_at = backoff.next_attempt_at(Instant::now());
            tokio::time::sleep_until(next_attempt_at.into()).await;
        }
    }
}

fn rank_pause(mesh: &Mesh) -> Duration {
    let rank = mesh.own_rank("lost-changes", &|_| true);
    RANK_PAUSE * rank.unwrap_or(RANK_MAX_COUNT).min(RANK_MAX_COUNT) as u32
}

/// Appends the changes and returns the offset of the last one, or `None` if an append failed.
async fn append_all(mesh: &Mesh, log: &dyn LogService, changes: &[LostChange]) -> Option<Offset> {
    let mut last_offset = None;
    for lost in changes {
        let record = ChangeRecord {
            change_id: ChangeId(mesh.random()),
            restores: Some(lost.restores),
            author: lost.author.clone(),
            change: lost.change.clone(),
        };
        let deadline = Instant::now() + APPEND_TIMEOUT;
        match log.append(CHANGE_STREAM, &record.to_body(), deadline).await {
            Ok(appended) => {
                log::info!(
                    "lost change restored version={} offset={}",
                    lost.restores,
                    appended.offset
                );
                last_offset = Some(appended.offset);
            }
            // The next round finds out whether an unanswered append took effect.
            Err(error @ (AppendError::Refused(_) | AppendError::Unknown(_))) => {
                log::warn!(
                    "could not restore a lost change version={} why={error}",
                    lost.restores
                );
                return None;
            }
        }
    }
    last_offset
}

async fn wait_until_applied(mesh: &Mesh, offset: Offset) {
    let mut head = mesh.watch_head();
    let applied = head.wait_for(|applied| *applied >= offset);
    if tokio::time::timeout(APPLY_TIMEOUT, applied).await.is_err() {
        log::info!("restored change not read back yet offset={offset}");
    }
}
