//! `figway node`: runs a node beside a target.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
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
use figway_dataplane::{
    CallerFront,
    DataPlane,
    DataPlaneBuilder,
    MetricsFront,
    NodeFront,
    Worker, //
};
use figway_http::{
    serve,
    Handler,
    MemoryBudget, //
};
use figway_log_client::HttpLog;
use figway_membership::LinkCounts;
use figway_platform::{
    parse_duration_ms,
    peer_control_address,
    HeartbeatFront,
    PlatformInterface,
    ReadinessFront,
    StoreLog, //
};
use figway_profile::{
    Limits,
    Profile, //
};
use figway_routing::TransitPrices;
use figway_settings::{
    parse_settings,
    NodeSettings,
    PlatformSettings, //
};
use figway_types::{
    Member,
    MemberState,
    NodeId, //
};
use tokio::net::TcpListener;
use tokio::signal::unix::{
    signal,
    SignalKind, //
};

use crate::cmd::{
    Run,
    EXIT_REFUSED, //
};
use crate::flags::Node;
use crate::logger;
use crate::memory::body_memory_bytes;

/// Environment variable that names the settings file if the command line does not.
const SETTINGS_VARIABLE: &str = "FIGWAY_BOOT";

/// Interval at which the settings file is compared with the text that was read last.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the platform's retry allowance that the nodes use. It is below 1 because each node
/// counts only its own retries.
const RETRY_ALLOWANCE_SHARE: f64 = 0.88;

/// Time for the last responses to be sent before the process exits.
const LAST_RESPONSE_WAIT: Duration = Duration::from_millis(150);

/// Longest time for notifying peers that the node leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time over which the nodes spread their first requests to the log when all of them start for the
/// first time.
const FIRST_START_SPREAD: Duration = Duration::from_millis(1_500);

/// Smallest link bandwidth, in megabits per second, of a host that other nodes should contact
/// first. At the first start, such a host sends its first request to the log early.
const WIDE_LINK_MBPS: u32 = 100;

/// Longest wait for the connection that measures the round trip to the log.
const MEASURE_TIMEOUT: Duration = Duration::from_millis(500);

impl Run for Node {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let path = self.settings_path()?;
        let settings = match read_settings(&path)? {
            Ok(settings) => settings,
            Err(findings) => {
                eprintln!("{findings}");
                return Ok(ExitCode::from(EXIT_REFUSED));
            }
        };
        logger::start(&settings.output)?;
        run_node(&path, &settings).await?;
        Ok(ExitCode::SUCCESS)
    }
}

impl Node {
    fn settings_path(&self) -> anyhow::Result<PathBuf> {
        if let Some(path) = &self.settings {
            return Ok(path.clone());
        }
        let path = std::env::var(SETTINGS_VARIABLE).with_context(|| {
            format!("no settings file given; pass --settings or set {SETTINGS_VARIABLE}")
        })?;
        Ok(PathBuf::from(path))
    }
}

fn read_settings(
    path: &std::path::Path,
) -> anyhow::Result<Result<NodeSettings, figway_types::Findings>> {
    let source = path.display().to_string();
    let text = std::fs::read_to_string(path).with_context(|| format!("could not read {source}"))?;
    Ok(parse_settings(&source, &text))
}

async fn run_node(path: &std::path::Path, settings: &NodeSettings) -> anyhow::Result<()> {
    let started_at = Instant::now();
    let memory = MemoryBudget::new(body_memory_bytes(settings.calls.memory_max_mb)?);
    let call_listener = listen(settings.call_address).await?;
    let call_address = call_listener.local_addr()?;
    let control_listener = listen(settings.control_address).await?;
    let control_address = control_listener.local_addr()?;

    let own_member = build_own_member(settings, call_address.to_string()).await?;
    let control_plane = start_control_plane(settings, own_member, control_listener).await?;
    let data_plane = start_data_plane(settings, &control_plane, &memory);
    let worker = Worker::new(Arc::clone(&data_plane));
    let node_front = NodeFront::new(Rc::clone(&worker), settings.platform.is_none());
    let spawn_server = |listener: TcpListener, handler: Rc<dyn Handler>| {
        tokio::task::spawn_local(serve(listener, handler, data_plane.watch_phase()));
    };
    spawn_server(call_listener, Rc::new(node_front));
    if let Some(platform) = &settings.platform {
        let caller_listener = listen(platform.caller_address).await?;
        spawn_server(
            caller_listener,
            Rc::new(CallerFront::new(Rc::clone(&worker))),
        );
        let ready_listener = listen(platform.ready_address).await?;
        spawn_server(
            ready_listener,
            Rc::new(ReadinessFront::new(Arc::clone(&data_plane))),
        );
        let announcement_listener = listen(platform.announce_address).await?;
        spawn_server(
            announcement_listener,
            Rc::new(HeartbeatFront::new(Arc::clone(&data_plane))),
        );
    }
    tokio::task::spawn_local(Arc::clone(&data_plane).watch_target());
    tokio::task::spawn_local(Rc::clone(&worker).watch_target_run());
    tokio::task::spawn_local(Arc::clone(&data_plane).dispatch_turns());
    if let Some(address) = settings.metrics_address {
        spawn_server(
            listen(address).await?,
            Rc::new(MetricsFront::new(&data_plane)),
        );
    }
    log::info!(
        "node started node={} zone={} call={call_address} control={control_address} took_ms={}",
        settings.node,
        settings.zone,
        started_at.elapsed().as_millis(),
    );

    tokio::select! {
        result = wait_for_stop() => result?,
        result = reload_settings(path, settings, &data_plane) => result?,
    }
    data_plane.drain().await;
    if tokio::time::timeout(LEAVE_TIMEOUT, control_plane.leave())
        .await
        .is_err()
    {
        log::info!("could not notify all peers of the stop in time");
    }
    tokio::time::sleep(LAST_RESPONSE_WAIT).await;
    log::info!("node stopped node={}", settings.node);
    logger::flush();
    Ok(())
}

async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}"))
}

async fn build_own_member(settings: &NodeSettings, call_address: String) -> anyhow::Result<Member> {
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

async fn start_control_plane(
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
            ControlBuilder::new(&settings.cluster, own_member, log)
                .routes(store)
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

fn retention_ms(settings: &NodeSettings) -> u64 {
    let store_retention_ms = settings
        .platform
        .as_ref()
        .and_then(|platform| parse_duration_ms(&platform.keep));
    store_retention_ms.unwrap_or(settings.log.retention_ms)
}

fn start_data_plane(
    settings: &NodeSettings,
    control_plane: &ControlPlane,
    memory: &MemoryBudget,
) -> Arc<DataPlane> {
    let mut builder =
        DataPlaneBuilder::new(Arc::clone(&control_plane.mesh), control_plane.agent.clone())
            .body_max_bytes(settings.calls.body_max_bytes)
            .connection_max_count(settings.calls.connection_max_count)
            .memory(memory.clone())
            .remember_ms(settings.claims.remember_ms)
            .transit_prices(transit_prices(settings));
    if let Some(platform) = &settings.platform {
        builder = apply_platform_settings(builder, platform);
    }
    builder.build()
}

fn transit_prices(settings: &NodeSettings) -> TransitPrices {
    let default = TransitPrices::default();
    TransitPrices {
        region_per_kb: settings
            .prices
            .region_per_kb
            .unwrap_or(default.region_per_kb),
        far_per_kb: settings.prices.far_per_kb.unwrap_or(default.far_per_kb),
    }
}

fn apply_platform_settings(
    builder: DataPlaneBuilder,
    platform: &PlatformSettings,
) -> DataPlaneBuilder {
    let mut profile = Profile::default();
    if let Some(ratio) = platform.retry_ratio {
        profile.limits = Limits {
            retry_budget_ratio: ratio * RETRY_ALLOWANCE_SHARE,
            ..profile.limits
        };
    }
    let mut builder = builder
        .interface(Box::new(PlatformInterface))
        .origin(&platform.service)
        .target_address(&platform.target_address)
        .default_profile(profile);
    if let Some(every_ms) = parse_duration_ms(&platform.announce_every) {
        builder = builder.announce_every(Duration::from_millis(every_ms));
    }
    if let Some(count) = platform.retry_burst_count {
        builder = builder.shared_retry_burst_count(count * RETRY_ALLOWANCE_SHARE);
    }
    if let Some(grace_ms) = platform.grace.as_deref().and_then(parse_duration_ms) {
        builder = builder.grace(Duration::from_millis(grace_ms));
    }
    builder
}

/// Reads the settings again on SIGHUP or when the file has changed, and applies the service of the
/// target. Changes to other settings are logged too, but take effect only after a restart.
async fn reload_settings(
    path: &std::path::Path,
    initial: &NodeSettings,
    data_plane: &DataPlane,
) -> anyhow::Result<()> {
    let mut hangup = signal(SignalKind::hangup()).context("could not listen for SIGHUP")?;
    let mut current = initial.clone();
    let mut current_text = String::new();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                log::error!("settings not taken over why=could not read them: {error}");
                continue;
            }
        };
        if text == current_text && !signalled {
            continue;
        }
        let settings = match parse_settings(&path.display().to_string(), &text) {
            Ok(settings) => settings,
            Err(findings) => {
                log::error!("settings not taken over why={findings}");
                current_text = text;
                continue;
            }
        };
        current_text = text;
        if settings == current {
            if signalled {
                log::info!("settings reloaded, unchanged");
            }
            continue;
        }
        if let Some(platform) = &settings.platform {
            data_plane.set_origin(&platform.service);
        }
        log::info!("settings taken over signalled={signalled}");
        current = settings;
    }
}

async fn wait_for_stop() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("could not listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("could not listen for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => log::info!("stop requested by SIGTERM"),
        _ = interrupt.recv() => log::info!("stop requested by SIGINT"),
    }
    Ok(())
}
