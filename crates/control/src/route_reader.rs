//! Reader of the operator's route table. The two nodes of the first ranks near the log follow it
//! with long polls and push changes to their peers. A few nodes of each region check often for
//! missed changes, the other nodes rarely.

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

/// Number of nodes that follow the table. The second one covers a failure of the first.
const READER_COUNT: usize = 2;

/// Longest time that the log holds a reader's poll back while it has no new table.
const READ_WAIT: Duration = Duration::from_secs(3);

/// Timeout for reading the newest table.
const NEWEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of nodes of each region that check often for missed changes.
const CHECKER_COUNT: usize = 2;

/// Shortest mean interval between the checks of each node that checks often.
const CHECK_EVERY: Duration = Duration::from_millis(1_500);

/// Shortest mean interval between the checks of each other node.
const BACKGROUND_CHECK_EVERY: Duration = Duration::from_secs(20);

/// Upper limit for the checks per second of all nodes together. Each node of a larger mesh checks
/// less often.
const CHECK_RATE_MAX: f64 = 400.0;

/// Assumed size of a table in the log, in megabits.
const TABLE_MBIT: f64 = 0.8;

/// Round trips to the log that a starting node waits before its first read, so that nearer nodes
/// read first.
const FIRST_PAUSE_ROUND_TRIP_COUNT: u32 = 8;

/// Longest pause before the first read.
const FIRST_PAUSE_MAX: Duration = Duration::from_millis(400);

/// Pause before the next read while the operator has not written any table.
const EMPTY_PAUSE: Duration = Duration::from_millis(200);

/// Longest retry delay while the log is unavailable.
const RETRY_MAX_MS: u64 = 500;

/// Follows the route table from `start_at` until the process ends.
pub(crate) async fn follow_routes(mesh: Arc<Mesh>, source: Rc<dyn RouteSource>, start_at: Instant) {
    tokio::time::sleep_until((start_at + first_pause(&mesh)).into()).await;
    let mut backoff = Backoff::new(30, RETRY_MAX_MS, mesh.random());
    let mut position = Offset(0);
    loop {
        let reads = mesh.log_rank().is_some_and(|rank| rank < READER_COUNT);
        if !reads && mesh.routes().version > 0 {
            tokio::time::sleep(check_pause(&mesh)).await;
        }
        let wait = if reads { READ_WAIT } else { Duration::ZERO };
        let started_at = Instant::now();
        match read_once(&mesh, source.as_ref(), position, wait).await {
            Ok(next_offset) => {
                position = next_offset;
                backoff.reset();
                if mesh.routes().version == 0 {
                    tokio::time::sleep(EMPTY_PAUSE).await;
                }
            }
            Err(error) => {
                log::warn!(
                    "could not read the route table version={} position={position} took_ms={} \
                     why={error}",
                    mesh.routes().version,
                    started_at.elapsed().as_millis()
                );
                if matches!(error, ReadError::Expired(_)) {
                    position = Offset(0);
                }
                let next_attempt_at = backoff.next_attempt_at(Instant::now());
                tokio::time::sleep_until(next_attempt_at.into()).await;
            }
        }
    }
}

/// Returns the pause before the first read. When all nodes start at once, those near the log with
/// wide links read first, and the others may receive the routes from them sooner than from the
/// log.
fn first_pause(mesh: &Mesh) -> Duration {
    let members = mesh.members();
    let own = members.own();
    let link_mbps = match own.link_mbps {
        0 => f64::INFINITY,
        link_mbps => f64::from(link_mbps),
    };
    let transfer = Duration::from_secs_f64(TABLE_MBIT / link_mbps);
    let round_trip = Duration::from_millis(own.log_round_trip_ms);
    (transfer * 2 + round_trip * FIRST_PAUSE_ROUND_TRIP_COUNT).min(FIRST_PAUSE_MAX)
}

/// Returns the pause before the next check of a node that is not a reader.
fn check_pause(mesh: &Mesh) -> Duration {
    let region = mesh.members().own().region.clone();
    let rank = mesh.own_rank(&region, &|member| member.region == region);
    let every = match rank {
        Some(rank) if rank < CHECKER_COUNT => CHECK_EVERY,
        _ => BACKGROUND_CHECK_EVERY,
    };
    let node_count = mesh.view().node_count as f64;
    let pause = every.max(Duration::from_secs_f64(node_count / CHECK_RATE_MAX));
    pause.mul_f64(0.8) + mesh.jitter(pause.mul_f64(0.4))
}

/// Reads the log once from `position` on, or its newest table if `position` is 0 and no table was
/// applied. Returns the position of the next read.
///
/// # Errors
///
/// The log could not be read.
async fn read_once(
    mesh: &Mesh,
    source: &dyn RouteSource,
    position: Offset,
    wait: Duration,
) -> Result<Offset, ReadError> {
    let page = if position == Offset(0) && mesh.routes().version == 0 {
        source.newest(Instant::now() + NEWEST_TIMEOUT).await?
    } else {
        let from_offset = skip_applied(position, mesh.routes().source_offset);
        match source.next(from_offset, Instant::now() + wait).await {
            Err(ReadError::Expired(first_offset)) => {
                log::info!("route records expired from={from_offset} first={first_offset}");
                source.newest(Instant::now() + NEWEST_TIMEOUT).await?
            }
            // In another era other records may lie before this position.
            Ok(page) if page.next_offset.era() != from_offset.era() => {
                log::info!(
                    "log of another era from={from_offset} next={}",
                    page.next_offset
                );
                source.newest(Instant::now() + NEWEST_TIMEOUT).await?
            }
            result => result?,
        }
    };
    if let Some(table) = page.table {
        mesh.install_route_table(table);
    }
    Ok(page.next_offset)
}

/// Returns the position after the applied table if peers sent tables beyond `position`. Offsets of
/// another era do not tell that.
fn skip_applied(position: Offset, applied_offset: Offset) -> Offset {
    if position != Offset(0) && position.era() != applied_offset.era() {
        return position;
    }
    position.max(applied_offset.next())
}
