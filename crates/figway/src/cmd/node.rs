//! `figway node`: runs a node beside a target.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use anyhow::Context as _;
use figway_dataplane::{
    CallerFront,
    DataPlane,
    MetricsFront,
    NodeFront,
    Worker, //
};
use figway_http::{
    serve,
    Handler,
    MemoryBudget, //
};
use figway_platform::{
    HeartbeatFront,
    ReadinessFront, //
};
use figway_settings::{
    parse_settings,
    NodeSettings, //
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
use crate::control_plane::{
    build_own_member,
    start_control_plane, //
};
use crate::data_plane::start_data_plane;
use crate::flags::Node;
use crate::logger;
use crate::memory::body_memory_bytes;

/// Environment variable that names the settings file if the command line does not.
const SETTINGS_VARIABLE: &str = "FIGWAY_BOOT";

/// Interval at which the settings file is compared with the text that was read last.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time for the last responses to be sent before the process exits.
const LAST_RESPONSE_WAIT: Duration = Duration::from_millis(150);

/// Longest time for notifying peers that the node leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);

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
    tokio::task::spawn_local(Arc::clone(&data_plane).record_deferred_announcement());
    tokio::task::spawn_local(Rc::clone(&worker).watch_target_run());
    tokio::task::spawn_local(Arc::clone(&data_plane).dispatch_turns());
    tokio::task::spawn_local(Arc::clone(&data_plane).watch_stalls());
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
