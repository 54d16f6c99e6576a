//! Readers of the operator's route table. The first two in rank near the log follow it and tell
//! their peers; a few nodes of each region check often that nothing was missed, the others seldom.

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

/// Nodes that follow the table, so that one that falls silent is not missed.
const READER_COUNT: usize = 2;

/// How long a reader waits at the log for a table.
const READ_WAIT: Duration = Duration::from_secs(3);

/// How long a whole read may take.
const NEWEST_WAIT: Duration = Duration::from_millis(1_500);

/// Nodes of each region that check often.
const CHECKER_COUNT: usize = 2;

/// How often they check.
const CHECK_EVERY: Duration = Duration::from_millis(1_500);

/// How often the other nodes check.
const SELDOM_CHECK_EVERY: Duration = Duration::from_secs(20);

/// Checks of all nodes together in one second; a larger mesh checks less often.
const CHECK_RATE_MAX: f64 = 400.0;

/// Size of a table as the log holds it, in megabits.
const TABLE_MBIT: f64 = 0.8;

/// Ways to the log and back that a node leaves to nearer ones at its start.
const WAY_COUNT: u32 = 8;

/// Longest pause before the first read.
const FIRST_PAUSE_MAX: Duration = Duration::from_millis(400);

/// Pause before the log is asked again while the operator has written nothing.
const EMPTY_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between tries while the log is down.
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
                let next_try_at = backoff.next_attempt_at(Instant::now());
                tokio::time::sleep_until(next_try_at.into()).await;
            }
        }
    }
}

/// Returns how long a node leaves the first read to others, from whom it may have the routes sooner:
/// when all start at once, those near the log with wide links read first.
fn first_pause(mesh: &Mesh) -> Duration {
    let members = mesh.members();
    let own = members.own();
    let link_mbps = match own.link_mbps {
        0 => f64::INFINITY,
        link_mbps => f64::from(link_mbps),
    };
    let transfer = Duration::from_secs_f64(TABLE_MBIT / link_mbps);
    let way = Duration::from_millis(own.log_round_trip_ms);
    (transfer * 2 + way * WAY_COUNT).min(FIRST_PAUSE_MAX)
}

/// Returns how long a node that is no reader leaves the log alone.
fn check_pause(mesh: &Mesh) -> Duration {
    let region = mesh.members().own().region.clone();
    let rank = mesh.own_rank(&region, &|member| member.region == region);
    let every = match rank {
        Some(rank) if rank < CHECKER_COUNT => CHECK_EVERY,
        _ => SELDOM_CHECK_EVERY,
    };
    let node_count = mesh.view().node_count as f64;
    let pause = every.max(Duration::from_secs_f64(node_count / CHECK_RATE_MAX));
    pause.mul_f64(0.8) + mesh.jitter(pause.mul_f64(0.4))
}

/// Reads what follows `position`, 0 for the newest table; returns where reading goes on.
async fn read_once(
    mesh: &Mesh,
    source: &dyn RouteSource,
    position: Offset,
    wait: Duration,
) -> Result<Offset, ReadError> {
    let page = if position == Offset(0) && mesh.routes().version == 0 {
        source.newest(Instant::now() + NEWEST_WAIT).await?
    } else {
        // Peers may have told what followed.
        let from_offset = position.max(mesh.routes().source_offset.next());
        match source.next(from_offset, Instant::now() + wait).await {
            Err(ReadError::Expired(first_offset)) => {
                log::info!("route records expired from={from_offset} first={first_offset}");
                source.newest(Instant::now() + NEWEST_WAIT).await?
            }
            result => result?,
        }
    };
    if let Some(table) = page.table {
        mesh.install_route_table(table);
    }
    Ok(page.next_offset)
}
