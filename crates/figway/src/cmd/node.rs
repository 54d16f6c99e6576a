//! `figway node`: the process beside a target.

use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
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
    serve,
    DataPlane,
    DataPlaneBuilder, //
};
use figway_log_client::HttpLog;
use figway_membership::LinkCounts;
use figway_settings::{
    parse_settings,
    NodeSettings, //
};
use figway_types::{
    Member,
    MemberState,
    NodeId, //
};
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

impl Run for Node {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let path = self.settings.display().to_string();
        let text = std::fs::read_to_string(&self.settings)
            .with_context(|| format!("could not read {path}"))?;
        let settings = match parse_settings(&path, &text) {
            Ok(settings) => settings,
            Err(findings) => {
                eprintln!("{findings}");
                return Ok(ExitCode::from(REFUSED));
            }
        };
        logger::start(&settings.output)?;
        run_node(&settings).await?;
        Ok(ExitCode::SUCCESS)
    }
}

async fn run_node(settings: &NodeSettings) -> anyhow::Result<()> {
    let call_listener = std::net::TcpListener::bind(settings.call_address)
        .with_context(|| format!("could not listen on {}", settings.call_address))?;
    let call_address = call_listener.local_addr()?;
    let control_listener = tokio::net::TcpListener::bind(settings.control_address)
        .await
        .with_context(|| format!("could not listen on {}", settings.control_address))?;
    let control_address = control_listener.local_addr()?;

    let own = own_member(settings, call_address.to_string())?;
    let control = start_control(settings, own, control_listener).await?;
    let plane = start_data(settings, &control)?;
    let server = serve(
        Arc::clone(&plane),
        call_listener,
        settings.calls.worker_count,
    )?;
    tokio::task::spawn_local(Arc::clone(&plane).watch_target());
    log::info!(
        "node started node={} zone={} call={call_address} control={control_address}",
        settings.node,
        settings.zone
    );
    println!(r#"{{"call":"{call_address}","control":"{control_address}"}}"#);

    wait_for_stop().await?;
    plane.drain().await;
    control.leave().await;
    server.stop(true).await;
    log::info!("node stopped node={}", settings.node);
    log::logger().flush();
    Ok(())
}

fn own_member(settings: &NodeSettings, call_address: String) -> anyhow::Result<Member> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("could not read the clock")?;
    Ok(Member {
        node_id: NodeId(settings.node.clone()),
        generation_ms: since_epoch.as_millis() as u64,
        incarnation: 0,
        state: MemberState::Live,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        control_address: settings.advertised_control.clone().unwrap_or_default(),
        call_address,
        target: None,
    })
}

async fn start_control(
    settings: &NodeSettings,
    own: Member,
    listener: tokio::net::TcpListener,
) -> anyhow::Result<ControlPlane> {
    let log = Rc::new(HttpLog::new(&settings.log.url).await?);
    let links = &settings.links;
    ControlBuilder::new(&settings.cluster, own, log)
        .peers(&settings.peers)
        .link_plan(LinkPlan {
            counts: LinkCounts {
                zone_count: links.zone_count,
                region_count: links.region_count,
                other_region_count: links.other_region_count,
            },
            ping_period: Duration::from_millis(links.ping_period_ms),
        })
        .retention_ms(settings.log.retention_ms)
        .log_region(&settings.log.region)
        .claims(settings.claims.partition_count, settings.claims.remember_ms)
        .seed(figway_types::entropy())
        .start(listener)
}

fn start_data(settings: &NodeSettings, control: &ControlPlane) -> anyhow::Result<Arc<DataPlane>> {
    let statsd = match settings.statsd_address {
        Some(address) => Some(logger::statsd_client(&settings.node, address)?),
        None => None,
    };
    let builder = DataPlaneBuilder::new(Arc::clone(&control.mesh), control.agent.clone());
    Ok(builder
        .body_max_bytes(settings.calls.body_max_bytes)
        .connection_max_count(settings.calls.connection_max_count)
        .remember_ms(settings.claims.remember_ms)
        .statsd(statsd)
        .build())
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
