//! Many control planes in one process, spread over threads, for measurements of cost by size.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use anyhow::{
    bail,
    Context as _, //
};
use figway_control::{
    ControlBuilder,
    LinkPlan,
    Mesh, //
};
use figway_log_client::HttpLog;
use figway_membership::LinkCounts;
use figway_types::{
    Member,
    MemberState,
    NodeId,
    Offset,
    RunStage,
    Target, //
};

use crate::deployment::Zone;

/// Links of each node; equal to the defaults of the settings.
const LINKS: LinkCounts = LinkCounts {
    zone_count: 3,
    region_count: 2,
    other_region_count: 1,
};

/// Threads that run the nodes.
const THREAD_COUNT: usize = 4;

/// Size and environment of a farm.
#[derive(Clone, Debug)]
pub struct FarmSpec {
    /// Number of nodes.
    pub node_count: usize,
    /// Number of services; node `n` runs a target of service `n` modulo this number.
    pub service_count: usize,
    /// URL of the log.
    pub log_url: String,
    /// Zones; nodes are assigned to them in turn.
    pub zones: Vec<Zone>,
}

/// A set of running control planes.
pub struct Farm {
    /// The mesh of each node.
    pub meshes: Vec<Arc<Mesh>>,
}

impl Farm {
    /// Starts all control planes and waits until each has started.
    ///
    /// # Errors
    ///
    /// A control plane does not start.
    pub fn start(spec: &FarmSpec) -> anyhow::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        for thread in 0..THREAD_COUNT {
            let spec = spec.clone();
            let sender = sender.clone();
            std::thread::Builder::new()
                .name(format!("nodes-{thread}"))
                .spawn(move || run_thread(spec, thread, sender))
                .context("could not start a thread")?;
        }
        drop(sender);
        let mut meshes = Vec::new();
        while meshes.len() < spec.node_count {
            let mesh = receiver
                .recv_timeout(Duration::from_secs(60))
                .context("could not start all nodes of the farm")?;
            meshes.push(mesh);
        }
        Ok(Self { meshes })
    }

    /// Waits until every node sees all nodes as live and returns how long that took.
    ///
    /// # Errors
    ///
    /// Some nodes do not see all nodes as live after `wait`.
    pub async fn wait_joined(&self, wait: Duration) -> anyhow::Result<Duration> {
        let started_at = Instant::now();
        loop {
            let joined_count = self.joined_count();
            if joined_count == self.meshes.len() {
                return Ok(started_at.elapsed());
            }
            if started_at.elapsed() > wait {
                bail!(
                    "only {joined_count} of {} nodes see all nodes as live",
                    self.meshes.len()
                );
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until `version` of `service` is in force on every node and returns how long that took
    /// on each node, in the order in which the nodes were done.
    ///
    /// # Errors
    ///
    /// Some nodes are still behind after `wait`.
    pub async fn wait_in_force(
        &self,
        service: &str,
        version: Offset,
        wait: Duration,
    ) -> anyhow::Result<Vec<Duration>> {
        let started_at = Instant::now();
        let mut pending: Vec<&Arc<Mesh>> = self.meshes.iter().collect();
        let mut times = Vec::new();
        while !pending.is_empty() {
            pending.retain(|mesh| {
                let done = mesh.view().version_in_force(service) >= version;
                if done {
                    times.push(started_at.elapsed());
                }
                !done
            });
            if started_at.elapsed() > wait {
                bail!(
                    "version {version} is not in force on {} nodes",
                    pending.len()
                );
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(times)
    }

    /// Lets a run of the target beside the node at `index` depart, and waits until all nodes know it.
    /// Returns how long that took.
    ///
    /// # Errors
    ///
    /// Not all nodes know it after `wait`.
    pub async fn depart(&self, index: usize, wait: Duration) -> anyhow::Result<Duration> {
        let started_at = Instant::now();
        let known_count = self.meshes[index].ending_run_count();
        self.meshes[index].end_own_run(&format!("i-{index}"), 1, RunStage::Departed);
        let knows = |mesh: &Arc<Mesh>| mesh.ending_run_count() > known_count;
        while !self.meshes.iter().all(knows) {
            if started_at.elapsed() > wait {
                bail!("a departure is not known on all nodes");
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(started_at.elapsed())
    }

    /// Returns the control bytes of all nodes: those within regions, and those on connections that
    /// nodes opened to other regions. Each message is counted by its sender and by its receiver;
    /// accepted connections count as within the region.
    pub fn control_bytes(&self) -> (u64, u64) {
        let (mut region, mut cross_region) = (0, 0);
        for mesh in &self.meshes {
            region += mesh.meter().region_bytes();
            cross_region += mesh.meter().cross_region_bytes();
        }
        (region, cross_region)
    }

    fn joined_count(&self) -> usize {
        let mut joined_count = 0;
        for mesh in &self.meshes {
            let members = mesh.members();
            let live = members
                .members()
                .filter(|member| member.state == MemberState::Live && member.target.is_some());
            joined_count += usize::from(live.count() == self.meshes.len());
        }
        joined_count
    }
}

fn run_thread(spec: FarmSpec, thread: usize, sender: mpsc::Sender<Arc<Mesh>>) {
    let system = ntex::rt::System::new("nodes", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let log = HttpLog::new(&spec.log_url)
            .await
            .expect("a client without TLS can be built");
        let log = Rc::new(log);
        for index in (thread..spec.node_count).step_by(THREAD_COUNT) {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
            let listener = listener.expect("a port is free");
            let plan = LinkPlan {
                counts: LINKS,
                ping_period: Duration::from_secs(1),
            };
            let control = ControlBuilder::new("farm", member(&spec, index), log.clone())
                .log_region(spec.zones[0].region)
                .link_plan(plan)
                .seed(index as u64 + 1)
                .start(listener)
                .expect("the listener has an address");
            if sender.send(control.mesh).is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        futures::future::pending::<()>().await;
    });
}

fn member(spec: &FarmSpec, index: usize) -> Member {
    let zone = spec.zones[index % spec.zones.len()];
    let target = Target {
        service: format!("service-{}", index % spec.service_count),
        instance: String::new(),
        started_at_ms: 0,
        address: "127.0.0.1:1".to_owned(),
        slot_count: 4,
        labels: BTreeMap::new(),
        draining: false,
    };
    Member {
        node_id: NodeId(format!("{}-{index:05}", zone.name)),
        generation_ms: 1,
        incarnation: 0,
        state: MemberState::Live,
        region: zone.region.to_owned(),
        zone: zone.name.to_owned(),
        control_address: String::new(),
        call_address: "127.0.0.1:1".to_owned(),
        log_round_trip_ms: 0,
        link_mbps: 0,
        target: Some(target),
    }
}
