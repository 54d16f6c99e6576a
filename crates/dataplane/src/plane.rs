//! State of a node's data plane, shared by its workers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{
    AtomicBool,
    AtomicUsize,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_control::{
    ClaimAgent,
    Mesh, //
};
use figway_routing::{
    LoadBook,
    TargetPicker,
    TwoChoices, //
};
use figway_types::Member;

use crate::admit::TargetGate;
use crate::candidates::CandidateCache;
use crate::metrics::Metrics;
use crate::outcomes::Outcomes;
use crate::retry::RetryBook;
use crate::target_watch::TargetWatch;
use crate::transport::{
    HttpLimits,
    HttpTransport,
    Transport, //
};

/// Idle connections to targets are closed after this, since a target may close them after 5 s.
const TARGET_KEEP_ALIVE_S: u16 = 3;

/// Idle connections to peers are closed after this; peers keep them for longer.
const PEER_KEEP_ALIVE_S: u16 = 30;

/// Time for which a leaving node still passes its own callers' calls on, while peers hear of it.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// How often a drain looks whether calls are left.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// Builds the data plane of one node.
pub struct DataPlaneBuilder {
    mesh: Arc<Mesh>,
    agent: ClaimAgent,
    body_max_bytes: usize,
    connection_max_count: usize,
    remember_ms: u64,
    statsd: Option<cadence::StatsdClient>,
}

impl DataPlaneBuilder {
    /// Starts with the node's control plane; the rest has defaults.
    pub fn new(mesh: Arc<Mesh>, agent: ClaimAgent) -> Self {
        Self {
            mesh,
            agent,
            body_max_bytes: 1_024 * 1_024,
            connection_max_count: 4_096,
            remember_ms: 600_000,
            statsd: None,
        }
    }

    /// Sets the largest body of a request or an answer.
    pub fn body_max_bytes(mut self, body_max_bytes: usize) -> Self {
        self.body_max_bytes = body_max_bytes;
        self
    }

    /// Sets how many connections are kept.
    pub fn connection_max_count(mut self, connection_max_count: usize) -> Self {
        self.connection_max_count = connection_max_count;
        self
    }

    /// Sets how long outcomes of keyed calls are remembered.
    pub fn remember_ms(mut self, remember_ms: u64) -> Self {
        self.remember_ms = remember_ms;
        self
    }

    /// Sets where metrics go.
    pub fn statsd(mut self, statsd: Option<cadence::StatsdClient>) -> Self {
        self.statsd = statsd;
        self
    }

    /// Builds the data plane and joins it to the control plane.
    pub fn build(self) -> Arc<DataPlane> {
        let outcomes = Arc::new(Outcomes::new(self.remember_ms));
        self.mesh.set_outcomes(outcomes.clone());
        Arc::new(DataPlane {
            agent: self.agent,
            gate: TargetGate::default(),
            loads: Mutex::default(),
            retries: RetryBook::default(),
            target_watch: TargetWatch::default(),
            outcomes,
            metrics: Metrics::new(self.statsd),
            draining: AtomicBool::new(false),
            in_flight_count: AtomicUsize::new(0),
            body_max_bytes: self.body_max_bytes,
            connection_max_count: self.connection_max_count,
            mesh: self.mesh,
        })
    }
}

/// State of a node's data plane, shared by its workers.
pub struct DataPlane {
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) agent: ClaimAgent,
    pub(crate) gate: TargetGate,
    loads: Mutex<LoadBook>,
    pub(crate) retries: RetryBook,
    pub(crate) target_watch: TargetWatch,
    pub(crate) outcomes: Arc<Outcomes>,
    pub(crate) metrics: Metrics,
    draining: AtomicBool,
    in_flight_count: AtomicUsize,
    pub(crate) body_max_bytes: usize,
    connection_max_count: usize,
}

impl DataPlane {
    /// Returns what is known of targets' loads.
    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadBook> {
        self.loads.lock().expect("no holder panics")
    }

    /// Returns whether the node takes no new work for its target.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Counts a call until the guard drops.
    pub(crate) fn begin_call(self: &Arc<Self>) -> InFlight {
        self.in_flight_count.fetch_add(1, Ordering::Relaxed);
        InFlight {
            plane: Arc::clone(self),
        }
    }

    /// Takes no new work and returns when all calls in flight have ended, or after the grace of the
    /// profile that the target's service follows.
    pub async fn drain(&self) {
        let now = Instant::now();
        let deadline = now + self.drain_grace();
        self.draining.store(true, Ordering::Relaxed);
        self.gate.set_closed(true);
        self.mesh.members().update_own(now, |own| {
            own.state = figway_types::MemberState::Draining;
        });
        self.mesh.note_member_changes();
        log::info!("drain started");
        let notice_ends_at = (now + DRAIN_NOTICE).min(deadline);
        loop {
            let now = Instant::now();
            let in_flight_count = self.in_flight_count.load(Ordering::Relaxed);
            if now >= deadline || (now >= notice_ends_at && in_flight_count == 0) {
                log::info!("drain ended in_flight={in_flight_count}");
                return;
            }
            tokio::time::sleep(DRAIN_CHECK).await;
        }
    }

    /// Marks the own target as gone when it stops announcing itself; runs until the process ends.
    pub async fn watch_target(self: Arc<Self>) {
        self.target_watch.watch(&self.mesh).await;
    }

    fn drain_grace(&self) -> Duration {
        let default = Duration::from_secs(10);
        let own = self.mesh.members().own().clone();
        let Some(target) = own.target else {
            return default;
        };
        match self.mesh.view().services.get(&target.service) {
            Some(in_force) => Duration::from_millis(in_force.profile.draining.grace_ms),
            None => default,
        }
    }
}

/// A call that is counted as in flight.
pub(crate) struct InFlight {
    plane: Arc<DataPlane>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.plane.in_flight_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One worker's part: connections and choices that stay on its thread.
pub(crate) struct Worker {
    pub(crate) plane: Arc<DataPlane>,
    /// The node as it started; its name, zone and region never change.
    pub(crate) home: Member,
    pub(crate) peers: Box<dyn Transport>,
    pub(crate) targets: Box<dyn Transport>,
    pub(crate) picker: RefCell<Box<dyn TargetPicker>>,
    pub(crate) candidates: RefCell<CandidateCache>,
}

impl Worker {
    pub(crate) async fn new(plane: Arc<DataPlane>) -> anyhow::Result<Rc<Self>> {
        let limits = |keep_alive_s| HttpLimits {
            connection_max_count: plane.connection_max_count,
            keep_alive_s,
            body_max_bytes: plane.body_max_bytes,
        };
        let peers = HttpTransport::new(limits(PEER_KEEP_ALIVE_S)).await?;
        let targets = HttpTransport::new(limits(TARGET_KEEP_ALIVE_S)).await?;
        let picker = TwoChoices::new(plane.mesh.random());
        let home = plane.mesh.members().own().clone();
        Ok(Rc::new(Self {
            plane,
            home,
            peers: Box::new(peers),
            targets: Box::new(targets),
            picker: RefCell::new(Box::new(picker)),
            candidates: RefCell::default(),
        }))
    }
}
