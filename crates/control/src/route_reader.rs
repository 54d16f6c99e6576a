//! Reader of the operator's route table. The two nodes of the first ranks near the log follow it
//! with long polls and push changes to their peers. Each node but the first asks the log when its
//! lease on the table runs out, whoever else reads it.

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
    BootInstant,
    Offset, //
};

use crate::mesh::Mesh;
use crate::route_lease::{
    ask_spread,
    spacing, //
};

/// Number of nodes that follow the table with long polls.
const READER_COUNT: usize = 2;

/// Longest time that the log holds the first reader's poll back while it has no new table. Each poll
/// that ends confirms the table, so that it is shorter than a lease.
const READ_WAIT: Duration = Duration::from_millis(500);

/// The same for the second reader, which covers a failure of the first.
const STANDBY_WAIT: Duration = Duration::from_millis(3_000);

/// Timeout of the first request after a success, beyond the time that the log may hold it back. It
/// doubles with each failure, so that a large table also passes a slow link.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(450);

/// Longest timeout of a request.
const REQUEST_TIMEOUT_MAX: Duration = Duration::from_millis(1_800);

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
    let mut failure_count = 0;
    let mut position = Offset(0);
    loop {
        let started_at = Instant::now();
        let timeout = request_timeout(failure_count);
        let read = |wait| {
            let timing = ReadTiming { wait, timeout };
            read_once(&mesh, source.as_ref(), position, timing)
        };
        let result = match mesh.log_rank() {
            Some(0) => read(READ_WAIT).await,
            Some(1) => tokio::select! {
                result = read(STANDBY_WAIT) => result,
                () = wait_for_lease_end(&mesh, || false) => read(Duration::ZERO).await,
            },
            _ => {
                let became_reader = || mesh.log_rank().is_some_and(|rank| rank < READER_COUNT);
                wait_for_lease_end(&mesh, became_reader).await;
                read(Duration::ZERO).await
            }
        };
        match result {
            Ok(next_offset) => {
                position = next_offset;
                failure_count = 0;
                backoff.reset();
                if mesh.routes().version == 0 {
                    tokio::time::sleep(EMPTY_PAUSE).await;
                }
            }
            Err(error) => {
                log::warn!(
                    "could not read the route table version={} position={position} took_ms={} \
                     confirmed_ms={} why={error}",
                    mesh.routes().version,
                    started_at.elapsed().as_millis(),
                    mesh.route_lease_age().map_or(0, |age| age.as_millis()),
                );
                if matches!(error, ReadError::Expired(_)) {
                    position = Offset(0);
                }
                failure_count += 1;
                let spaced_at = match failure_count {
                    1 => started_at,
                    _ => started_at + spacing(mesh.view().node_count),
                };
                let next_attempt_at = backoff.next_attempt_at(Instant::now()).max(spaced_at);
                tokio::time::sleep_until(next_attempt_at.into()).await;
            }
        }
    }
}

/// Times of one read.
#[derive(Clone, Copy, Debug)]
struct ReadTiming {
    /// Longest time that the log may hold the read back while it has no new table.
    wait: Duration,
    /// Longest time that a request takes beyond that.
    timeout: Duration,
}

fn request_timeout(failure_count: u32) -> Duration {
    let factor = 1 << failure_count.min(8);
    (REQUEST_TIMEOUT * factor).min(REQUEST_TIMEOUT_MAX)
}

/// Waits until the lease on the applied table runs out, which peers may extend meanwhile, or until
/// `is_over`.
async fn wait_for_lease_end(mesh: &Mesh, is_over: impl Fn() -> bool) {
    let zone = mesh.members().own().zone.clone();
    let rank = mesh.own_rank(&zone, &|member| member.zone == zone);
    let spread = ask_spread(rank, mesh.random_ratio());
    loop {
        let left = mesh.route_lease_left(spread);
        if left.is_zero() || is_over() {
            return;
        }
        tokio::time::sleep(left).await;
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
    timing: ReadTiming,
) -> Result<Offset, ReadError> {
    if position == Offset(0) && mesh.routes().version == 0 {
        return read_newest(mesh, source, timing, false).await;
    }
    let from_offset = skip_applied(position, mesh.routes().source_offset);
    let started_at = BootInstant::now();
    let wait_until = Instant::now() + timing.wait;
    let page = match source
        .next(from_offset, wait_until, wait_until + timing.timeout)
        .await
    {
        Err(ReadError::Expired(first_offset)) => {
            log::info!("route records expired from={from_offset} first={first_offset}");
            return read_newest(mesh, source, timing, false).await;
        }
        // In another era other records may lie before this position.
        Ok(page) if page.next_offset.era() != from_offset.era() => {
            log::info!(
                "log of another era from={from_offset} next={}",
                page.next_offset
            );
            return read_newest(mesh, source, timing, false).await;
        }
        result => result?,
    };
    // The log held an empty answer back for the whole wait.
    let confirmed_at = if page.next_offset == from_offset
        && BootInstant::now().saturating_since(started_at) >= timing.wait
    {
        started_at + timing.wait
    } else {
        started_at
    };
    if let Some(table) = page.table {
        mesh.install_read_table(table);
    }
    // From the first position on, orders may be old: the table that peers sent lies before them.
    let is_following = position != Offset(0);
    mesh.record_orders(&page.orders, is_following);
    if page.next_offset < page.end_offset {
        // The newest table costs less than all the tables in between.
        return read_newest(mesh, source, timing, is_following).await;
    }
    mesh.confirm_routes(confirmed_at);
    Ok(page.next_offset)
}

/// Reads the newest table and the newest order of each service. `is_following` says whether earlier
/// orders are known. Returns the position of the next read.
async fn read_newest(
    mesh: &Mesh,
    source: &dyn RouteSource,
    timing: ReadTiming,
    is_following: bool,
) -> Result<Offset, ReadError> {
    let started_at = BootInstant::now();
    let page = source.newest(Instant::now() + timing.timeout).await?;
    if let Some(table) = page.table {
        mesh.install_read_table(table);
    }
    mesh.record_orders(&page.orders, is_following);
    mesh.confirm_routes(started_at);
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
