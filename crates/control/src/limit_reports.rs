//! Reports the usage of customers to a coordinator and applies its answers, with one task for each
//! coordinator.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use anyhow::Context as _;
use figway_types::{
    Backoff,
    Member, //
};

use crate::dial::{
    context_until,
    dial,
    handshake, //
};
use crate::mesh::Mesh;
use crate::rpc::PeerClient;

/// Interval at which a task checks whether a report is due and which node is the coordinator.
const CHECK_EVERY: Duration = Duration::from_millis(50);

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of connecting to a coordinator.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Consecutive reports without an answer after which the connection is reopened.
const FAILURE_MAX_COUNT: u32 = 2;

/// Pause before a coordinator that failed is contacted again.
const REDIAL_FIRST_MS: u64 = 300;

/// Longest such pause. A peer of a build without limits closes each connection.
const REDIAL_MAX_MS: u64 = 3_000;

/// Reports to the coordinator of a rank while the route table has limits. Runs until the process ends.
pub(crate) async fn report_usage(mesh: Arc<Mesh>, rank: usize) {
    let mut changes = mesh.watch_view();
    let mut backoff = Backoff::new(REDIAL_FIRST_MS, REDIAL_MAX_MS, mesh.random());
    loop {
        mesh.refresh_limits(Instant::now());
        if !mesh.has_limits() {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(coordinator) = mesh.limit_coordinator(rank) else {
            tokio::time::sleep(CHECK_EVERY).await;
            continue;
        };
        let is_own = coordinator.node_id == mesh.members().own().node_id;
        if is_own {
            report_to_self(&mesh, rank, &coordinator).await;
            continue;
        }
        if let Err(error) = report_to_peer(&mesh, rank, &coordinator, &mut backoff).await {
            mesh.record_report_failure(rank);
            log::debug!(
                "limit coordinator did not answer node={} why={error:#}",
                coordinator.node_id
            );
            let redial_at = backoff.next_attempt_at(Instant::now());
            tokio::time::sleep_until(redial_at.into()).await;
        }
    }
}

async fn report_to_self(mesh: &Mesh, rank: usize, own: &Member) {
    while is_coordinator(mesh, rank, own) {
        let sent_at = Instant::now();
        let report = mesh.usage_report(rank, own);
        let answer = mesh.merge_usage(&own.node_id, &report);
        mesh.apply_usage_answer(rank, own, &report, Some(&answer), sent_at);
        wait_until_due(mesh, rank, own, sent_at).await;
    }
}

/// Reports to `coordinator` until it fails or another node has the rank.
async fn report_to_peer(
    mesh: &Mesh,
    rank: usize,
    coordinator: &Member,
    backoff: &mut Backoff,
) -> anyhow::Result<()> {
    let client = tokio::time::timeout(CONNECT_TIMEOUT, connect(mesh, coordinator)).await??;
    let mut failure_count = 0;
    while is_coordinator(mesh, rank, coordinator) {
        let sent_at = Instant::now();
        let report = mesh.usage_report(rank, coordinator);
        let context = context_until(sent_at + REPORT_TIMEOUT);
        let answer = client.report_usage(context, report.clone()).await;
        let applied = answer.as_ref().ok();
        mesh.apply_usage_answer(rank, coordinator, &report, applied, sent_at);
        match answer {
            Ok(_) => {
                failure_count = 0;
                backoff.reset();
            }
            Err(error) => {
                failure_count += 1;
                let is_cut = !matches!(error, tarpc::client::RpcError::DeadlineExceeded);
                if is_cut || failure_count >= FAILURE_MAX_COUNT {
                    return Err(error).context("could not report");
                }
            }
        }
        wait_until_due(mesh, rank, coordinator, sent_at).await;
    }
    Ok(())
}

async fn connect(mesh: &Mesh, coordinator: &Member) -> anyhow::Result<PeerClient> {
    let cross_region = coordinator.region != mesh.members().own().region;
    let client = dial(mesh, &coordinator.control_address, cross_region).await?;
    handshake(mesh, &client, Some(&coordinator.node_id)).await?;
    Ok(client)
}

/// Waits until the next report is due. The period shortens when the other coordinator is lost.
async fn wait_until_due(mesh: &Mesh, rank: usize, coordinator: &Member, sent_at: Instant) {
    while is_coordinator(mesh, rank, coordinator) {
        let now = Instant::now();
        let due_at = mesh.next_report_at(rank, sent_at);
        if due_at <= now {
            return;
        }
        tokio::time::sleep(CHECK_EVERY.min(due_at - now)).await;
    }
}

fn is_coordinator(mesh: &Mesh, rank: usize, member: &Member) -> bool {
    mesh.refresh_limits(Instant::now());
    let current = mesh.limit_coordinator(rank);
    mesh.has_limits() && current.is_some_and(|current| current.node_id == member.node_id)
}
