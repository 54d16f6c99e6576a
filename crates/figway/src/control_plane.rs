//! Control plane of a node, built from its settings.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use anyhow::Context as _;
use figway_control::{
    ControlBuilder,
    ControlPlane,
    LinkPlan, //
};
use figway_log_client::HttpLog;
use figway_membership::LinkCounts;
use figway_platform::{
    parse_duration_ms,
    peer_control_address,
    StoreLog, //
};
use figway_rate_limit::LimitBounds;
use figway_rollout::ExposureLimits;
use figway_settings::{
    NodeSettings,
    PlatformSettings, //
};
use figway_types::{
    Member,
    MemberState,
    NodeId, //
};
use tokio::net::TcpListener;

/// Time over which the nodes spread their first requests to the log when all of them start for the
/// first time.
const FIRST_START_SPREAD: Duration = Duration::from_millis(1_500);

/// Smallest link bandwidth, in megabits per second, of a host that other nodes should contact
/// first. At the first start, such a host sends its first request to the log early.
const WIDE_LINK_MBPS: u32 = 100;

/// Longest wait for the connection that measures the round trip to the log.
const MEASURE_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the member record of the node at its start.
///
/// # Errors
///
/// The clock can't be read.
pub(crate) async fn build_own_member(
    settings: &NodeSettings,
    call_address: String,
) -> anyhow::Result<Member> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("could not read the clock")?;
    let log_round_trip_ms = match &settings.platform {
        Some(platform) => measure_round_trip_ms(platform.store_address).await,
        None => 0,
    };
    Ok(Member {
        node_id: NodeId(settings.node.clone()),
        generation_ms: since_epoch.as_millis() as u64,
        incarnation: 0,
        state: MemberState::Live,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        control_address: settings
            .advertised_control_address
            .clone()
            .unwrap_or_default(),
        call_address,
        log_round_trip_ms,
        link_mbps: settings
            .platform
            .as_ref()
            .map_or(0, |platform| platform.link_mbps),
        target: None,
    })
}

/// Returns the time that it takes to connect to the log, in milliseconds, or `MEASURE_TIMEOUT` if
/// the connection fails or times out.
async fn measure_round_trip_ms(address: SocketAddr) -> u64 {
    let connect_started_at = Instant::now();
    let connecting = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(MEASURE_TIMEOUT, connecting).await {
        Ok(Ok(_)) => connect_started_at.elapsed().as_millis() as u64,
        Ok(Err(error)) => {
            log::warn!("could not measure the round trip to the log: {error}");
            MEASURE_TIMEOUT.as_millis() as u64
        }
        Err(_) => {
            log::warn!("could not measure the round trip to the log in time");
            MEASURE_TIMEOUT.as_millis() as u64
        }
    }
}

/// Starts the control plane of a node.
///
/// # Errors
///
/// The clock or the address of the listener can't be read, or the URL of the log is not usable.
pub(crate) async fn start_control_plane(
    settings: &NodeSettings,
    own_member: Member,
    listener: TcpListener,
) -> anyhow::Result<ControlPlane> {
    let links = &settings.links;
    let plan = LinkPlan {
        counts: LinkCounts {
            zone_count: links.zone_count,
            region_count: links.region_count,
            other_region_count: links.other_region_count,
        },
        ping_period: Duration::from_millis(links.ping_period_ms),
    };
    let mut peers = settings.peers.clone();
    let builder = match &settings.platform {
        None => {
            let log = Rc::new(HttpLog::new(&settings.log.url).await?);
            ControlBuilder::new(&settings.cluster, own_member, log)
        }
        Some(platform) => {
            let local_ip = Some(settings.control_address.ip()).filter(|ip| !ip.is_unspecified());
            let store = Rc::new(StoreLog::new(&platform.store_address.to_string(), local_ip));
            for seed in &platform.seeds {
                match peer_control_address(seed, settings.control_address.port()) {
                    Some(peer) => peers.push(peer),
                    None => log::warn!("seed ignored, it is not IP:PORT: {seed}"),
                }
            }
            let log = Rc::clone(&store);
            let start_spread = match platform.first_start {
                false => Duration::ZERO,
                true if platform.link_mbps >= WIDE_LINK_MBPS => FIRST_START_SPREAD / 5,
                true => FIRST_START_SPREAD,
            };
            let statuses = Rc::clone(&store);
            let ending_runs = Rc::clone(&store);
            ControlBuilder::new(&settings.cluster, own_member, log)
                .routes(store)
                .limit_bounds(limit_bounds(platform))
                .rollouts(statuses, exposure_limits(platform))
                .ending_runs(ending_runs)
                .first_start(platform.first_start)
                .start_spread(start_spread)
        }
    };
    builder
        .peers(&peers)
        .link_plan(plan)
        .retention_ms(retention_ms(settings))
        .log_region(&settings.log.region)
        .claims(settings.claims.partition_count, settings.claims.remember_ms)
        .seed(figway_types::entropy())
        .start(listener)
}

fn limit_bounds(platform: &PlatformSettings) -> LimitBounds {
    let default = LimitBounds::default();
    let window_ms = platform.quota_window.as_deref().and_then(parse_duration_ms);
    LimitBounds {
        window: window_ms
            .filter(|window_ms| *window_ms > 0)
            .map_or(default.window, Duration::from_millis),
        overrun_ratio: platform.quota_overrun.unwrap_or(default.overrun_ratio),
        slack_count: platform.quota_slack.unwrap_or(default.slack_count),
    }
}

fn exposure_limits(platform: &PlatformSettings) -> ExposureLimits {
    let default = ExposureLimits::default();
    let rollback_ms = platform.rollback.as_deref().and_then(parse_duration_ms);
    ExposureLimits {
        share_ratio: platform.expose_share.unwrap_or(default.share_ratio),
        slack_count: platform.expose_slack_count.unwrap_or(default.slack_count),
        rollback: rollback_ms.map_or(default.rollback, Duration::from_millis),
    }
}

fn retention_ms(settings: &NodeSettings) -> u64 {
    let store_retention_ms = settings
        .platform
        .as_ref()
        .and_then(|platform| parse_duration_ms(&platform.keep));
    store_retention_ms.unwrap_or(settings.log.retention_ms)
}
