//! Builder of a node's control plane, which starts its listener and its tasks.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use anyhow::Context as _;
use figway_log_client::{
    EndingRunLog,
    LogService,
    RouteSource,
    StatusLog, //
};
use figway_membership::LinkCounts;
use figway_rate_limit::{
    LimitBounds,
    COORDINATOR_COUNT, //
};
use figway_rollout::ExposureLimits;
use figway_types::{
    Member,
    MemberState, //
};
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::task::spawn_local;

use crate::claim_agent::{
    start_agent,
    ClaimAgent,
    ClaimRouter, //
};
use crate::claims::ClaimBatchers;
use crate::contact::maintain_contact;
use crate::dial::{
    dial,
    peer_timeout_context, //
};
use crate::ending_run_log::{
    record_ending_runs,
    remove_expired_runs,
    restore_ending_runs, //
};
use crate::lease_hub::follow_hub;
use crate::limit_reports::report_usage;
use crate::link::{
    maintain_links,
    LinkPlan, //
};
use crate::lost_changes::restore_lost_changes;
use crate::mesh::Mesh;
use crate::reach::probe_lost_members;
use crate::reader::follow_log;
use crate::rollout_agent::{
    record_statuses,
    record_waiting_orders,
    run_rollouts, //
};
use crate::route_reader::follow_routes;
use crate::server::serve_peers;

/// Shortest time between two rebuilds of the view for member changes.
const VIEW_SPACING: Duration = Duration::from_millis(20);

/// Pause after a rebuild as a multiple of the time that it took, so that a burst of member changes
/// takes at most a thirtieth of a core.
const VIEW_PAUSE_FACTOR: u32 = 30;

/// Interval at which suspicions are checked for their expiry.
const SUSPICION_CHECK_EVERY: Duration = Duration::from_millis(500);

/// Number of peers that a node notifies when it leaves on purpose.
const LEAVE_NOTICE_COUNT: usize = 6;

/// Builds the control plane of one node.
pub struct ControlBuilder {
    cluster: String,
    own: Member,
    log: Rc<dyn LogService>,
    routes: Option<Rc<dyn RouteSource>>,
    statuses: Option<Rc<dyn StatusLog>>,
    exposure_limits: ExposureLimits,
    ending_runs: Option<Rc<dyn EndingRunLog>>,
    first_start: bool,
    peers: Vec<String>,
    plan: LinkPlan,
    retention_ms: u64,
    log_region: String,
    partition_count: u32,
    remember_ms: u64,
    seed: u64,
    start_spread: Duration,
    limit_bounds: LimitBounds,
}

impl ControlBuilder {
    /// Creates a builder with the required parts, the node itself and the platform's log, and
    /// defaults for the rest.
    pub fn new(cluster: &str, own: Member, log: Rc<dyn LogService>) -> Self {
        Self {
            cluster: cluster.to_owned(),
            log_region: own.region.clone(),
            seed: own.generation_ms ^ figway_types::stable_hash(&own.node_id.0),
            own,
            log,
            routes: None,
            statuses: None,
            exposure_limits: ExposureLimits::default(),
            ending_runs: None,
            first_start: false,
            peers: Vec::new(),
            plan: LinkPlan {
                counts: LinkCounts {
                    zone_count: 3,
                    region_count: 2,
                    other_region_count: 1,
                },
                ping_period: Duration::from_secs(1),
            },
            retention_ms: 24 * 3_600 * 1_000,
            partition_count: 4,
            remember_ms: 600_000,
            start_spread: Duration::ZERO,
            limit_bounds: LimitBounds::default(),
        }
    }

    /// Sets the source of the operator's route table.
    pub fn routes(mut self, routes: Rc<dyn RouteSource>) -> Self {
        self.routes = Some(routes);
        self
    }

    /// Sets the log of the statuses of rollouts, and the limits on what a bad version may get.
    pub fn rollouts(mut self, statuses: Rc<dyn StatusLog>, limits: ExposureLimits) -> Self {
        self.statuses = Some(statuses);
        self.exposure_limits = limits;
        self
    }

    /// Sets the log of the runs of targets that have begun to end.
    pub fn ending_runs(mut self, log: Rc<dyn EndingRunLog>) -> Self {
        self.ending_runs = Some(log);
        self
    }

    /// Sets whether all nodes start for the first time, so that the log holds nothing of before.
    pub fn first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }

    /// Sets the control addresses of the peers that the node tries first when it joins.
    pub fn peers(mut self, peers: &[String]) -> Self {
        self.peers = peers.to_vec();
        self
    }

    /// Sets the number of links and the ping period.
    pub fn link_plan(mut self, plan: LinkPlan) -> Self {
        self.plan = plan;
        self
    }

    /// Sets how long the log keeps a record, in milliseconds.
    pub fn retention_ms(mut self, retention_ms: u64) -> Self {
        self.retention_ms = retention_ms;
        self
    }

    /// Sets the region of the log. Its nodes are preferred for batching claims.
    pub fn log_region(mut self, log_region: &str) -> Self {
        self.log_region = log_region.to_owned();
        self
    }

    /// Sets the number of streams over which keys are partitioned, and how long a claim holds its
    /// key, in milliseconds.
    pub fn claims(mut self, partition_count: u32, remember_ms: u64) -> Self {
        self.partition_count = partition_count;
        self.remember_ms = remember_ms;
        self
    }

    /// Sets the time over which nodes that start together spread their first requests to the log.
    /// The later ones find peers that have already joined and fetch from them what they would
    /// otherwise read from the log.
    pub fn start_spread(mut self, start_spread: Duration) -> Self {
        self.start_spread = start_spread;
        self
    }

    /// Sets the bounds within which the limits of customers have to hold.
    pub fn limit_bounds(mut self, limit_bounds: LimitBounds) -> Self {
        self.limit_bounds = limit_bounds;
        self
    }

    /// Sets the seed of the random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Starts the tasks on the current thread. The address of `listener` becomes the control
    /// address of the node, unless the node's member record has one.
    ///
    /// # Errors
    ///
    /// The address of the listener could not be read.
    pub fn start(mut self, listener: TcpListener) -> anyhow::Result<ControlPlane> {
        let address = listener
            .local_addr()
            .context("could not read the control listener's address")?;
        if self.own.control_address.is_empty() {
            self.own.control_address = address.to_string();
        }
        let has_peers = self
            .peers
            .iter()
            .any(|peer| *peer != self.own.control_address);
        let control_ip = Some(address.ip()).filter(|ip| !ip.is_unspecified());
        let mesh = Mesh::new(&self.cluster, self.own, control_ip, self.seed);
        mesh.set_limit_bounds(self.limit_bounds, has_peers);
        if let Some(ending_runs) = self.ending_runs {
            mesh.set_run_log(!self.first_start);
            spawn_local(restore_ending_runs(
                Arc::clone(&mesh),
                Rc::clone(&ending_runs),
            ));
            spawn_local(record_ending_runs(
                Arc::clone(&mesh),
                Rc::clone(&ending_runs),
            ));
            spawn_local(remove_expired_runs(Arc::clone(&mesh), ending_runs));
        }
        let start_at = Instant::now() + mesh.jitter(self.start_spread);
        let batchers = Rc::new(ClaimBatchers::start(
            &mesh,
            &self.log,
            self.partition_count,
            self.remember_ms,
        ));
        let agent = start_agent(ClaimRouter {
            mesh: Arc::clone(&mesh),
            batchers: Rc::clone(&batchers),
            partition_count: self.partition_count,
            log_region: self.log_region,
            connections: Mutex::default(),
        });
        spawn_local(serve_peers(Arc::clone(&mesh), listener, batchers));
        spawn_local(maintain_links(Arc::clone(&mesh), self.plan));
        spawn_local(maintain_view(Arc::clone(&mesh)));
        spawn_local(expire_suspicions(Arc::clone(&mesh)));
        spawn_local(maintain_contact(
            Arc::clone(&mesh),
            Rc::clone(&self.log),
            self.peers,
            start_at,
        ));
        spawn_local(probe_lost_members(Arc::clone(&mesh)));
        spawn_local(restore_lost_changes(
            Arc::clone(&mesh),
            Rc::clone(&self.log),
        ));
        spawn_local(follow_log(
            Arc::clone(&mesh),
            self.log,
            self.retention_ms,
            start_at,
        ));
        mesh.rollouts().set_limits(self.exposure_limits);
        if let Some(statuses) = self.statuses {
            spawn_local(run_rollouts(Arc::clone(&mesh)));
            spawn_local(record_waiting_orders(Arc::clone(&mesh)));
            spawn_local(record_statuses(Arc::clone(&mesh), statuses));
        }
        if let Some(routes) = self.routes {
            spawn_local(follow_routes(Arc::clone(&mesh), routes, start_at));
            spawn_local(follow_hub(Arc::clone(&mesh)));
            for rank in 0..COORDINATOR_COUNT {
                spawn_local(report_usage(Arc::clone(&mesh), rank));
            }
        }
        Ok(ControlPlane { mesh, agent })
    }
}

/// A running control plane.
pub struct ControlPlane {
    /// State shared by the tasks.
    pub mesh: Arc<Mesh>,
    /// Handle for claiming idempotency keys.
    pub agent: ClaimAgent,
}

impl ControlPlane {
    /// Marks this node as left and notifies up to `LEAVE_NOTICE_COUNT` peers.
    pub async fn leave(&self) {
        let now = Instant::now();
        let mut peers = Vec::new();
        {
            let mut members = self.mesh.members();
            members.update_own(now, |own| own.state = MemberState::Left);
            let own = members.own();
            for member in members.members() {
                if member.state != MemberState::Live || peers.len() >= LEAVE_NOTICE_COUNT {
                    continue;
                }
                peers.push((member.clone(), member.region != own.region));
            }
        }
        for (peer, cross_region) in peers {
            let Ok(client) = dial(&self.mesh, &peer.control_address, cross_region).await else {
                continue;
            };
            let own = self.mesh.members().own().clone();
            if let Err(error) = client.tell_members(peer_timeout_context(), vec![own]).await {
                log::debug!("could not notify {} of the stop: {error}", peer.node_id);
            }
        }
    }
}

/// Rebuilds the view after member changes until the process ends.
async fn maintain_view(mesh: Arc<Mesh>) {
    let mut changes = mesh.watch_members();
    while changes.changed().await.is_ok() {
        let started_at = Instant::now();
        mesh.rebuild_view();
        let pause = started_at.elapsed() * VIEW_PAUSE_FACTOR;
        tokio::time::sleep(pause.max(VIEW_SPACING)).await;
    }
}

async fn expire_suspicions(mesh: Arc<Mesh>) {
    loop {
        tokio::time::sleep(SUSPICION_CHECK_EVERY).await;
        mesh.members().expire(Instant::now());
        mesh.notify_member_changes();
    }
}
