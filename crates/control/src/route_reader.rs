//! Readers of the operator's route table: the first in rank near the log follow it, any other node
//! steps in when its own view of the table grows stale.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_log_client::{
    ReadError,
    RouteSource, //
};
use figway_types::{
    Backoff,
    Offset, //
};

use crate::mesh::Mesh;

/// How long one read waits at the log for a table.
const READ_WAIT: Duration = Duration::from_millis(700);

/// How long a whole read may take.
const NEWEST_WAIT: Duration = Duration::from_millis(1_500);

/// How long a read makes the view of the table fresh.
const TABLE_FRESH: Duration = Duration::from_millis(1_100);

/// Nodes that always read, so that one that falls silent is not missed.
const READER_COUNT: usize = 2;

/// Staleness for each further place in rank before that node reads too.
const RANK_STEP: Duration = Duration::from_millis(15);

/// Longest staleness before any node reads.
const RANK_WAIT_MAX: Duration = Duration::from_millis(400);

/// How often a node that does not read looks whether it should.
const RANK_CHECK: Duration = Duration::from_millis(50);

/// Longest pause between tries while the log is down.
const RETRY_MAX_MS: u64 = 500;

/// Follows the route table while this node is a reader of it.
pub(crate) async fn follow_routes(mesh: Arc<Mesh>, source: Rc<dyn RouteSource>) {
    let mut backoff = Backoff::new(30, RETRY_MAX_MS, mesh.random());
    let mut position = Offset(0);
    loop {
        if !may_read(&mesh) {
            tokio::time::sleep(RANK_CHECK).await;
            continue;
        }
        let started_at = Instant::now();
        match read_once(&mesh, source.as_ref(), position).await {
            Ok(next_offset) => {
                position = next_offset;
                backoff.reset();
                mesh.extend_routes_fresh(Instant::now() + TABLE_FRESH);
            }
            Err(error) => {
                log::warn!(
                    "could not read the route table version={} position={position} took_ms={}: \
                     {error}",
                    mesh.routes().version,
                    started_at.elapsed().as_millis()
                );
                if matches!(error, ReadError::Expired(_)) {
                    position = Offset(0);
                }
                let next_try_at = backoff.next_try_at(Instant::now());
                tokio::time::sleep_until(next_try_at.into()).await;
            }
        }
    }
}

/// Returns whether this node is to read: the first in rank always, others when their view is stale.
fn may_read(mesh: &Mesh) -> bool {
    let Some(rank) = mesh.log_rank() else {
        return false;
    };
    if rank < READER_COUNT {
        return true;
    }
    let wait = (RANK_STEP * rank as u32).min(RANK_WAIT_MAX);
    mesh.routes_fresh_until() + wait <= Instant::now()
}

/// Reads what follows `position`, 0 for the newest table; returns where reading goes on.
async fn read_once(
    mesh: &Mesh,
    source: &dyn RouteSource,
    position: Offset,
) -> Result<Offset, ReadError> {
    let page = if position == Offset(0) {
        source.newest(Instant::now() + NEWEST_WAIT).await?
    } else {
        // Peers may have told what followed.
        let from_offset = position.max(mesh.routes().source_offset.next());
        source.next(from_offset, Instant::now() + READ_WAIT).await?
    };
    for table in page.tables {
        mesh.adopt_routes(table);
    }
    Ok(page.next_offset)
}
