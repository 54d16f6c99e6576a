//! `figway node`: the process beside a target.

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
    Handler, //
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
    REFUSED, //
};
use crate::flags::Node;
use crate::logger;

/// Variable that names the settings file where the command line does not.
const SETTINGS_VARIABLE: &str = "FIGWAY_BOOT";

/// How often the settings file is compared with what was read from it.
const SETTINGS_CHECK: Duration = Duration::from_secs(1);

/// Share of the platform's allowance for retries that nodes use, since each counts for itself.
const RETRY_ALLOWANCE_SHARE: f64 = 0.88;

/// Time for a last answer to leave before the process ends.
const FAREWELL: Duration = Duration::from_millis(150);

/// Longest time for telling peers of the stop.
const LEAVE_MAX: Duration = Duration::from_millis(250);

/// Time over which the first calls of the log are spread when all nodes start for the first time.
const FIRST_START_SPREAD: Duration = Duration::from_millis(1_500);

/// Width of a link from which a host is a good first contact: it starts to call the log early.
const WIDE_LINK_MBPS: u32 = 100;

/// Longest wait for a connection that measures the way to the log.
const MEASURE_WAIT: Duration = Duration::from_millis(500);

impl Run for Node {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let path = self.settings_path()?;
        let settings = match read_settings(&path)? {
            Ok(settings) => settings,
            Err(findings) => {
                eprintln!("{findings}");
                return Ok(ExitCode::from(REFUSED));
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
            format!("no settings are named; give --settings or set {SETTINGS_VARIABLE}")
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
    let call_listener = listen(settings.call_address).await?;
    let call_address = call_listener.local_addr()?;
    let control_listener = listen(settings.control_address).await?;
    let control_address = control_listener.local_addr()?;

    let own = own_member(settings, call_address.to_string()).await?;
    let control = start_control(settings, own, control_listener).await?;
    let plane = start_data(settings, &control);
    let worker = Worker::new(Arc::clone(&plane));
    let node_front = NodeFront::new(Rc::clone(&worker), settings.platform.is_none());
    let start = |listener: TcpListener, handler: Rc<dyn Handler>| {
        tokio::task::spawn_local(serve(listener, handler, plane.watch_phase()));
    };
    start(call_listener, Rc::new(node_front));
    if let Some(platform) = &settings.platform {
        let callers = listen(platform.caller_address).await?;
        start(callers, Rc::new(CallerFront::new(worker)));
        let ready = listen(platform.ready_address).await?;
        start(ready, Rc::new(ReadinessFront::new(Arc::clone(&plane))));
        let announcements = listen(platform.announce_address).await?;
        start(
            announcements,
            Rc::new(HeartbeatFront::new(Arc::clone(&plane))),
        );
    }
    tokio::task::spawn_local(Arc::clone(&plane).watch_target());
    if let Some(address) = settings.metrics_address {
        start(listen(address).await?, Rc::new(MetricsFront::new(&plane)));
    }
    log::info!(
        "node started node={} zone={} call={call_address} control={control_address} took_ms={}",
        settings.node,
        settings.zone,
        started_at.elapsed().as_millis(),
    );

    tokio::select! {
        result = wait_for_stop() => result?,
        result = follow_settings(path, settings, &plane) => result?,
    }
    plane.drain().await;
    if tokio::time::timeout(LEAVE_MAX, control.leave())
        .await
        .is_err()
    {
        log::info!("some peers were not told of the stop in time");
    }
    tokio::time::sleep(FAREWELL).await;
    log::info!("node stopped node={}", settings.node);
    logger::finish();
    Ok(())
}

async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}"))
}

async fn own_member(settings: &NodeSettings, call_address: String) -> anyhow::Result<Member> {
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
        control_address: settings.advertised_control.clone().unwrap_or_default(),
        call_address,
        log_round_trip_ms,
        link_mbps: settings
            .platform
            .as_ref()
            .map_or(0, |platform| platform.link_mbps),
        target: None,
    })
}

/// Returns the time that a connection to the log takes, the longest wait if it does not come.
async fn measure_round_trip_ms(address: SocketAddr) -> u64 {
    let dialled_at = Instant::now();
    let connecting = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(MEASURE_WAIT, connecting).await {
        Ok(Ok(_)) => dialled_at.elapsed().as_millis() as u64,
        Ok(Err(error)) => {
            log::warn!("could not measure the way to the log: {error}");
            MEASURE_WAIT.as_millis() as u64
        }
        Err(_) => {
            log::warn!("could not measure the way to the log in time");
            MEASURE_WAIT.as_millis() as u64
        }
    }
}

async fn start_control(
    settings: &NodeSettings,
    own: Member,
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
            ControlBuilder::new(&settings.cluster, own, log)
        }
        Some(platform) => {
            let from = Some(settings.control_address.ip()).filter(|ip| !ip.is_unspecified());
            let store = Rc::new(StoreLog::new(&platform.store_address.to_string(), from));
            for seed in &platform.seeds {
                match peer_control_address(seed, settings.control_address.port()) {
                    Some(peer) => peers.push(peer),
                    None => log::warn!("seed ignored, it is not IP:PORT: {seed}"),
                }
            }
            let log = Rc::clone(&store);
            let spread = match platform.first_start {
                false => Duration::ZERO,
                true if platform.link_mbps >= WIDE_LINK_MBPS => FIRST_START_SPREAD / 5,
                true => FIRST_START_SPREAD,
            };
            ControlBuilder::new(&settings.cluster, own, log)
                .routes(store)
                .start_spread(spread)
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
    let kept = settings
        .platform
        .as_ref()
        .and_then(|platform| parse_duration_ms(&platform.keep));
    kept.unwrap_or(settings.log.retention_ms)
}

fn start_data(settings: &NodeSettings, control: &ControlPlane) -> Arc<DataPlane> {
    let mut builder = DataPlaneBuilder::new(Arc::clone(&control.mesh), control.agent.clone())
        .body_max_bytes(settings.calls.body_max_bytes)
        .connection_max_count(settings.calls.connection_max_count)
        .remember_ms(settings.claims.remember_ms);
    if let Some(platform) = &settings.platform {
        builder = on_platform(builder, platform);
    }
    builder.build()
}

fn on_platform(builder: DataPlaneBuilder, platform: &PlatformSettings) -> DataPlaneBuilder {
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

/// Takes over what may change while the node runs, on SIGHUP or when the file is found changed.
async fn follow_settings(
    path: &std::path::Path,
    started: &NodeSettings,
    plane: &DataPlane,
) -> anyhow::Result<()> {
    let mut hangup = signal(SignalKind::hangup()).context("could not await SIGHUP")?;
    let mut known = started.clone();
    let mut known_text = String::new();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK) => false,
        };
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                log::error!("settings not taken over why=could not read them: {error}");
                continue;
            }
        };
        if text == known_text && !signalled {
            continue;
        }
        let settings = match parse_settings(&path.display().to_string(), &text) {
            Ok(settings) => settings,
            Err(findings) => {
                log::error!("settings not taken over why={findings}");
                known_text = text;
                continue;
            }
        };
        known_text = text;
        if settings == known {
            if signalled {
                log::info!("settings read again, unchanged");
            }
            continue;
        }
        if let Some(platform) = &settings.platform {
            plane.set_origin(&platform.service);
        }
        log::info!("settings taken over signalled={signalled}");
        known = settings;
    }
}

async fn wait_for_stop() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("could not await SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("could not await SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => log::info!("stop requested by SIGTERM"),
        _ = interrupt.recv() => log::info!("stop requested by SIGINT"),
    }
    Ok(())
}
