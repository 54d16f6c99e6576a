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
    Mesh,
    View, //
};
use figway_http::{
    ClientLimits,
    HttpClient,
    Request,
    ServerPhase,
    Transport, //
};
use figway_profile::Profile;
use figway_routing::{
    LeastLoss,
    LoadBook,
    SplitBook,
    TargetPicker,
    TransitPrices,
    TwoChoices, //
};
use figway_types::{
    Announcement,
    FastSet,
    Member, //
};
use tokio::sync::watch;

use crate::admit::TargetGate;
use crate::candidates::CandidateCache;
use crate::interface::Interface;
use crate::metrics::Metrics;
use crate::native::NativeInterface;
use crate::outcomes::Outcomes;
use crate::retry::RetryBook;
use crate::target_watch::{
    Heard,
    TargetWatch, //
};
use crate::trace::LineBudget;

/// Idle time after which a connection to a target is not used again, in milliseconds; targets that
/// close earlier say so.
const TARGET_IDLE_MAX_MS: u64 = 3_000;

/// The same for a call that must not run twice: a target that just closes such a connection would
/// leave its fate open.
const TARGET_UNSAFE_IDLE_MAX_MS: u64 = 500;

/// Idle time after which a connection to a peer is not used again, in milliseconds; peers keep them
/// for longer.
const PEER_IDLE_MAX_MS: u64 = 20_000;

/// Longest wait for a connection to the target on the own host, in milliseconds.
const TARGET_CONNECT_MAX_MS: u64 = 250;

/// Longest wait for a connection to a peer, in milliseconds.
const PEER_CONNECT_MAX_MS: u64 = 400;

/// Time for which a leaving node keeps connections open, while peers and callers hear of it.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_200);

/// Time after the stop request up to which callers may still begin calls.
const DRAIN_TAKE: Duration = Duration::from_millis(3_200);

/// Share of the grace that a drain uses at most.
const DRAIN_GRACE_SHARE: f64 = 0.84;

/// How often a drain looks whether calls are left.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// Builds the data plane of one node.
pub struct DataPlaneBuilder {
    mesh: Arc<Mesh>,
    agent: ClaimAgent,
    interface: Box<dyn Interface>,
    body_max_bytes: usize,
    connection_max_count: usize,
    remember_ms: u64,
    origin: String,
    target_address: Option<String>,
    announce_every: Duration,
    shared_retry_burst_count: Option<f64>,
    default_profile: Profile,
    transit_prices: TransitPrices,
    grace: Option<Duration>,
}

impl DataPlaneBuilder {
    /// Starts with the node's control plane; the rest has defaults.
    pub fn new(mesh: Arc<Mesh>, agent: ClaimAgent) -> Self {
        Self {
            mesh,
            agent,
            interface: Box::new(NativeInterface),
            body_max_bytes: 1_024 * 1_024,
            connection_max_count: 4_096,
            remember_ms: 600_000,
            origin: String::new(),
            target_address: None,
            announce_every: Duration::from_millis(1_700),
            shared_retry_burst_count: None,
            default_profile: Profile::default(),
            transit_prices: TransitPrices {
                region_per_kb: 0.03,
                far_per_kb: 0.11,
            },
            grace: None,
        }
    }

    /// Sets how requests and answers look to callers and targets.
    pub fn interface(mut self, interface: Box<dyn Interface>) -> Self {
        self.interface = interface;
        self
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

    /// Sets the service on this host, where its callers' calls begin.
    pub fn origin(mut self, origin: &str) -> Self {
        self.origin = origin.to_owned();
        self
    }

    /// Sets the only address at which a target may announce itself.
    pub fn target_address(mut self, address: &str) -> Self {
        self.target_address = Some(address.to_owned());
        self
    }

    /// Sets how often a target announces itself.
    pub fn announce_every(mut self, announce_every: Duration) -> Self {
        self.announce_every = announce_every;
        self
    }

    /// Sets the retries beyond their ratio that all nodes together may make in a burst.
    pub fn shared_retry_burst_count(mut self, count: f64) -> Self {
        self.shared_retry_burst_count = Some(count);
        self
    }

    /// Sets the profile of services that follow none.
    pub fn default_profile(mut self, profile: Profile) -> Self {
        self.default_profile = profile;
        self
    }

    /// Sets the price of bytes between zones and regions.
    pub fn transit_prices(mut self, prices: TransitPrices) -> Self {
        self.transit_prices = prices;
        self
    }

    /// Sets the time between a stop request and the end of the process.
    pub fn grace(mut self, grace: Duration) -> Self {
        self.grace = Some(grace);
        self
    }

    /// Builds the data plane and joins it to the control plane.
    pub fn build(self) -> Arc<DataPlane> {
        let outcomes = Arc::new(Outcomes::new(self.remember_ms));
        self.mesh.set_outcomes(outcomes.clone());
        Arc::new(DataPlane {
            agent: self.agent,
            interface: self.interface,
            gate: TargetGate::default(),
            loads: Mutex::default(),
            retries: RetryBook::new(self.shared_retry_burst_count),
            target_watch: TargetWatch::new(self.announce_every),
            outcomes,
            metrics: Metrics::default(),
            lines: LineBudget::default(),
            draining: AtomicBool::new(false),
            phase: watch::Sender::new(ServerPhase::Open),
            running_ids: Mutex::default(),
            in_flight_count: AtomicUsize::new(0),
            body_max_bytes: self.body_max_bytes,
            connection_max_count: self.connection_max_count,
            origin: Mutex::new(self.origin),
            target_address: self.target_address,
            default_profile: self.default_profile,
            transit_prices: self.transit_prices,
            grace: self.grace,
            mesh: self.mesh,
        })
    }
}

/// State of a node's data plane, shared by its connections.
pub struct DataPlane {
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) agent: ClaimAgent,
    pub(crate) interface: Box<dyn Interface>,
    pub(crate) gate: TargetGate,
    loads: Mutex<LoadBook>,
    pub(crate) retries: RetryBook,
    pub(crate) target_watch: TargetWatch,
    pub(crate) outcomes: Arc<Outcomes>,
    pub(crate) metrics: Metrics,
    pub(crate) lines: LineBudget,
    draining: AtomicBool,
    phase: watch::Sender<ServerPhase>,
    running_ids: Mutex<FastSet<String>>,
    in_flight_count: AtomicUsize,
    pub(crate) body_max_bytes: usize,
    connection_max_count: usize,
    origin: Mutex<String>,
    target_address: Option<String>,
    default_profile: Profile,
    transit_prices: TransitPrices,
    grace: Option<Duration>,
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

    /// Returns whether callers may be sent to this node.
    pub fn is_ready(&self) -> bool {
        let view = self.mesh.view();
        !self.is_draining() && (view.routes.version > 0 || !view.services.is_empty())
    }

    /// Returns whether the target beside this node made the request while it runs another.
    pub(crate) fn is_nested(&self, request: &Request) -> bool {
        let Some(parent_id) = self.interface.parent_id(request) else {
            return false;
        };
        let running = self.running_ids.lock().expect("no holder panics");
        running.contains(parent_id)
    }

    /// Notes that the target beside this node runs a call, until the guard drops.
    pub(crate) fn begin_run(&self, request_id: &str) -> RunningId<'_> {
        let mut running = self.running_ids.lock().expect("no holder panics");
        running.insert(request_id.to_owned());
        RunningId {
            plane: self,
            request_id: request_id.to_owned(),
        }
    }

    /// Returns the service on whose host this node's callers' calls begin.
    pub(crate) fn origin(&self) -> String {
        self.origin.lock().expect("no holder panics").clone()
    }

    /// Sets the service on this host.
    pub fn set_origin(&self, origin: &str) {
        origin.clone_into(&mut self.origin.lock().expect("no holder panics"));
    }

    /// Returns the node's metrics as text.
    pub(crate) fn render_metrics(&self) -> String {
        let view = self.mesh.view();
        let (running_count, waiting_count) = self.gate.counts();
        self.metrics.set("running", running_count as u64);
        self.metrics.set("waiting", waiting_count as u64);
        self.metrics.set("routes_version", view.routes.version);
        self.metrics.set("members", view.node_count as u64);
        self.metrics
            .set("control_region_bytes", self.mesh.meter().region_bytes());
        self.metrics
            .set("control_far_bytes", self.mesh.meter().far_bytes());
        self.metrics.render()
    }

    /// Returns the profile that `service` follows, or the default, with its name.
    pub(crate) fn profile_of<'a>(
        &'a self,
        view: &'a View,
        service: &str,
    ) -> (&'a Profile, &'a str) {
        match view.services.get(service) {
            Some(in_force) => (&in_force.profile, &in_force.profile_name),
            None => (&self.default_profile, "default"),
        }
    }

    /// Takes in what the target beside this node says of itself.
    ///
    /// # Errors
    ///
    /// Why it can't be the target beside this node.
    pub fn announce(&self, announcement: &Announcement) -> Result<Heard, String> {
        let target = &announcement.target;
        if let Some(expected) = &self.target_address {
            if *expected != target.address {
                return Err(format!("the target of this host is at {expected}"));
            }
        }
        if target.slot_count == 0 {
            return Err("a target needs one slot or more".to_owned());
        }
        Ok(self.target_watch.announce(&self.mesh, announcement))
    }

    /// Takes in that a start of the target leaves for good.
    pub fn depart(&self, instance: &str) {
        self.target_watch.depart(&self.mesh, instance);
    }

    /// Returns a watch of what servers do with their connections.
    pub fn watch_phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }

    /// Counts a call until the guard drops.
    pub(crate) fn begin_call(self: &Arc<Self>) -> InFlight {
        self.in_flight_count.fetch_add(1, Ordering::Relaxed);
        InFlight {
            plane: Arc::clone(self),
        }
    }

    /// Takes no new work and returns when all calls in flight have ended, or when the grace is used.
    pub async fn drain(&self) {
        let now = Instant::now();
        let deadline = now + self.drain_grace().mul_f64(DRAIN_GRACE_SHARE);
        self.draining.store(true, Ordering::Relaxed);
        self.gate.set_closed(true);
        self.mesh.members().update_own(now, |own| {
            own.state = figway_types::MemberState::Draining;
        });
        self.mesh.note_member_changes();
        log::info!("drain started");
        tokio::time::sleep_until((now + DRAIN_NOTICE).min(deadline).into()).await;
        self.phase.send_replace(ServerPhase::Closing);
        tokio::time::sleep_until((now + DRAIN_TAKE).min(deadline).into()).await;
        // A caller that still uses its connection would otherwise begin calls that can't end.
        self.phase.send_replace(ServerPhase::Closed);
        loop {
            let in_flight_count = self.in_flight_count.load(Ordering::Relaxed);
            if Instant::now() >= deadline || in_flight_count == 0 {
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
        if let Some(grace) = self.grace {
            return grace;
        }
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

/// Id of a call that the target beside the node runs.
pub(crate) struct RunningId<'a> {
    plane: &'a DataPlane,
    request_id: String,
}

impl Drop for RunningId<'_> {
    fn drop(&mut self) {
        let mut running = self.plane.running_ids.lock().expect("no holder panics");
        running.remove(&self.request_id);
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

/// Connections and choices of the thread that serves calls.
pub struct Worker {
    pub(crate) plane: Arc<DataPlane>,
    /// The node as it started; its name, zone and region never change.
    pub(crate) home: Member,
    pub(crate) peers: Box<dyn Transport>,
    pub(crate) targets: Box<dyn Transport>,
    /// Chooses for calls of a service's request kinds.
    pub(crate) picker: RefCell<Box<dyn TargetPicker>>,
    /// Chooses for calls of the route table, which state by when an answer has its full worth.
    pub(crate) route_picker: RefCell<Box<dyn TargetPicker>>,
    pub(crate) splits: RefCell<SplitBook>,
    pub(crate) candidates: RefCell<CandidateCache>,
}

impl Worker {
    /// Starts without connections.
    pub fn new(plane: Arc<DataPlane>) -> Rc<Self> {
        let limits = ClientLimits {
            idle_max_count: plane.connection_max_count,
            idle_max_ms: PEER_IDLE_MAX_MS,
            unsafe_idle_max_ms: PEER_IDLE_MAX_MS,
            connect_max_ms: PEER_CONNECT_MAX_MS,
            body_max_bytes: plane.body_max_bytes,
            from: plane.mesh.control_ip(),
        };
        let peers = HttpClient::new(limits);
        let targets = HttpClient::new(ClientLimits {
            idle_max_ms: TARGET_IDLE_MAX_MS,
            unsafe_idle_max_ms: TARGET_UNSAFE_IDLE_MAX_MS,
            connect_max_ms: TARGET_CONNECT_MAX_MS,
            ..limits
        });
        let picker = TwoChoices::new(plane.mesh.random());
        let route_picker = LeastLoss::new(plane.transit_prices, plane.mesh.random());
        let home = plane.mesh.members().own().clone();
        Rc::new(Self {
            plane,
            home,
            peers: Box::new(peers),
            targets: Box::new(targets),
            picker: RefCell::new(Box::new(picker)),
            route_picker: RefCell::new(Box::new(route_picker)),
            splits: RefCell::default(),
            candidates: RefCell::default(),
        })
    }
}
