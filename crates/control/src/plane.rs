//! The control plane of one node: its listener and its tasks.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use anyhow::Context as _;
use figway_log_client::{
    LogService,
    RouteSource, //
};
use figway_membership::LinkCounts;
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
use crate::contact::keep_contact;
use crate::dial::{
    dial,
    prompt_context, //
};
use crate::link::{
    keep_links,
    LinkPlan, //
};
use crate::mesh::Mesh;
use crate::reach::reach_lost;
use crate::reader::follow_log;
use crate::route_reader::follow_routes;
use crate::server::serve_peers;

/// Least time between two rebuilds of the view for member changes.
const VIEW_SPACING: Duration = Duration::from_millis(20);

/// Pause after a rebuild as a multiple of the time that it took, so that a storm of member changes
/// costs at most a thirtieth of a core.
const VIEW_PAUSE_FACTOR: u32 = 30;

/// How often suspicions are settled.
const SETTLE_EVERY: Duration = Duration::from_millis(500);

/// Peers that are told of a planned stop.
const FAREWELL_COUNT: usize = 6;

/// Builds the control plane of one node.
pub struct ControlBuilder {
    cluster: String,
    own: Member,
    log: Rc<dyn LogService>,
    routes: Option<Rc<dyn RouteSource>>,
    peers: Vec<String>,
    plan: LinkPlan,
    retention_ms: u64,
    log_region: String,
    partition_count: u32,
    remember_ms: u64,
    seed: u64,
    start_spread: Duration,
}

impl ControlBuilder {
    /// Starts with the node itself and the platform's log; the rest has defaults.
    pub fn new(cluster: &str, own: Member, log: Rc<dyn LogService>) -> Self {
        Self {
            cluster: cluster.to_owned(),
            log_region: own.region.clone(),
            seed: own.generation_ms ^ figway_types::stable_hash(&own.node_id.0),
            own,
            log,
            routes: None,
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
        }
    }

    /// Sets where the operator's route table is read.
    pub fn routes(mut self, routes: Rc<dyn RouteSource>) -> Self {
        self.routes = Some(routes);
        self
    }

    /// Sets control addresses to try first.
    pub fn peers(mut self, peers: &[String]) -> Self {
        self.peers = peers.to_vec();
        self
    }

    /// Sets the links that are kept.
    pub fn link_plan(mut self, plan: LinkPlan) -> Self {
        self.plan = plan;
        self
    }

    /// Sets how long the log keeps a record.
    pub fn retention_ms(mut self, retention_ms: u64) -> Self {
        self.retention_ms = retention_ms;
        self
    }

    /// Sets the region of the log, whose nodes batch claims.
    pub fn log_region(mut self, log_region: &str) -> Self {
        self.log_region = log_region.to_owned();
        self
    }

    /// Sets over how many streams keys are spread and how long they are remembered.
    pub fn claims(mut self, partition_count: u32, remember_ms: u64) -> Self {
        self.partition_count = partition_count;
        self.remember_ms = remember_ms;
        self
    }

    /// Sets the time over which nodes that start together spread their first calls of the log. Those
    /// that call later find the others there, and take from them what they would have read.
    pub fn start_spread(mut self, start_spread: Duration) -> Self {
        self.start_spread = start_spread;
        self
    }

    /// Sets the start of the random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Starts the tasks on the current thread. Unless the node names another, the address of
    /// `listener` becomes its control address.
    ///
    /// # Errors
    ///
    /// The listener has no address.
    pub fn start(mut self, listener: TcpListener) -> anyhow::Result<ControlPlane> {
        let address = listener
            .local_addr()
            .context("could not read the control listener's address")?;
        if self.own.control_address.is_empty() {
            self.own.control_address = address.to_string();
        }
        let control_ip = Some(address.ip()).filter(|ip| !ip.is_unspecified());
        let mesh = Mesh::new(&self.cluster, self.own, control_ip, self.seed);
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
        spawn_local(keep_links(Arc::clone(&mesh), self.plan));
        spawn_local(keep_view(Arc::clone(&mesh)));
        spawn_local(settle_members(Arc::clone(&mesh)));
        spawn_local(keep_contact(
            Arc::clone(&mesh),
            Rc::clone(&self.log),
            self.peers,
            start_at,
        ));
        spawn_local(reach_lost(Arc::clone(&mesh)));
        spawn_local(follow_log(
            Arc::clone(&mesh),
            self.log,
            self.retention_ms,
            start_at,
        ));
        if let Some(routes) = self.routes {
            spawn_local(follow_routes(Arc::clone(&mesh), routes, start_at));
        }
        Ok(ControlPlane { mesh, agent })
    }
}

/// A running control plane.
pub struct ControlPlane {
    /// State that the tasks share.
    pub mesh: Arc<Mesh>,
    /// Handle by which keys are claimed.
    pub agent: ClaimAgent,
}

impl ControlPlane {
    /// Tells some peers that this node leaves on purpose.
    pub async fn leave(&self) {
        let now = Instant::now();
        let mut peers = Vec::new();
        {
            let mut members = self.mesh.members();
            members.update_own(now, |own| own.state = MemberState::Left);
            let own = members.own();
            for member in members.members() {
                if member.state != MemberState::Live || peers.len() >= FAREWELL_COUNT {
                    continue;
                }
                peers.push((member.clone(), member.region != own.region));
            }
        }
        for (peer, far) in peers {
            let Ok(client) = dial(&self.mesh, &peer.control_address, far).await else {
                continue;
            };
            let own = self.mesh.members().own().clone();
            if let Err(error) = client.tell_members(prompt_context(), vec![own]).await {
                log::debug!("could not tell {} of the stop: {error}", peer.node_id);
            }
        }
    }
}

/// Rebuilds the view after member changes.
async fn keep_view(mesh: Arc<Mesh>) {
    let mut changes = mesh.watch_members();
    while changes.changed().await.is_ok() {
        let started_at = Instant::now();
        mesh.rebuild_view();
        let pause = started_at.elapsed() * VIEW_PAUSE_FACTOR;
        tokio::time::sleep(pause.max(VIEW_SPACING)).await;
    }
}

async fn settle_members(mesh: Arc<Mesh>) {
    loop {
        tokio::time::sleep(SETTLE_EVERY).await;
        mesh.members().expire(Instant::now());
        mesh.notify_member_changes();
    }
}
