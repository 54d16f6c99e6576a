//! Many control planes in one process, spread over threads, for measurements by size.

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
    Target, //
};

use crate::deployment::Zone;

/// Links of a node of the farm, as in the settings' defaults.
const LINKS: LinkCounts = LinkCounts {
    zone_count: 3,
    region_count: 2,
    other_region_count: 1,
};

/// Threads that carry the nodes.
const THREAD_COUNT: usize = 4;

/// What a farm is started with.
#[derive(Clone, Debug)]
pub struct FarmSpec {
    /// Nodes in all.
    pub node_count: usize,
    /// Services in all; node `n` runs a target of service `n` modulo this.
    pub service_count: usize,
    /// URL of the log.
    pub log_url: String,
    /// Zones over which nodes are spread.
    pub zones: Vec<Zone>,
}

/// Control planes that run.
pub struct Farm {
    /// One for each node.
    pub meshes: Vec<Arc<Mesh>>,
}

impl Farm {
    /// Starts all control planes and waits until they exist.
    ///
    /// # Errors
    ///
    /// One of them does not start.
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
                .context("a thread of the farm ended")?;
            meshes.push(mesh);
        }
        Ok(Self { meshes })
    }

    /// Waits until every node sees every other as live.
    ///
    /// # Errors
    ///
    /// They do not in time.
    pub async fn wait_joined(&self, wait: Duration) -> anyhow::Result<Duration> {
        let started_at = Instant::now();
        loop {
            let joined_count = self.joined_count();
            if joined_count == self.meshes.len() {
                return Ok(started_at.elapsed());
            }
            if started_at.elapsed() > wait {
                bail!("only {joined_count} of {} nodes see all", self.meshes.len());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until `version` of `service` is in force on every node and returns when each had it.
    ///
    /// # Errors
    ///
    /// Some do not in time.
    pub async fn wait_in_force(
        &self,
        service: &str,
        version: Offset,
        wait: Duration,
    ) -> anyhow::Result<Vec<Duration>> {
        let started_at = Instant::now();
        let mut open: Vec<&Arc<Mesh>> = self.meshes.iter().collect();
        let mut times = Vec::new();
        while !open.is_empty() {
            open.retain(|mesh| {
                let done = mesh.view().version_in_force(service) >= version;
                if done {
                    times.push(started_at.elapsed());
                }
                !done
            });
            if started_at.elapsed() > wait {
                bail!("{} nodes are not on version {version}", open.len());
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(times)
    }

    /// Returns the control bytes of all nodes, within and between regions. Each message is counted
    /// by its sender and by its receiver.
    pub fn control_bytes(&self) -> (u64, u64) {
        let (mut region, mut far) = (0, 0);
        for mesh in &self.meshes {
            region += mesh.meter().region_bytes();
            far += mesh.meter().cross_region_bytes();
        }
        (region, far)
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
