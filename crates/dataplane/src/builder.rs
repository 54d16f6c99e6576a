//! Builder of a node's data plane.

use std::sync::atomic::AtomicBool;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_control::{
    ClaimAgent,
    Mesh, //
};
use figway_http::{
    BusyConnections,
    MemoryBudget,
    ServerPhase, //
};
use figway_profile::Profile;
use figway_routing::TransitPrices;
use tokio::sync::watch;

use crate::evidence::ColdStart;
use crate::gate::TargetGate;
use crate::interface::Interface;
use crate::keyed_outcomes::KeyedOutcomes;
use crate::local_target::LocalTarget;
use crate::metrics::Metrics;
use crate::native::NativeInterface;
use crate::offers::BodyOffers;
use crate::overload::OverloadState;
use crate::peer_targets::PeerTargets;
use crate::plane::DataPlane;
use crate::refusal_log::RefusalLog;
use crate::retry::RetryState;
use crate::run_watch::RunWatch;
use crate::running_calls::RunningCalls;
use crate::target_watch::TargetWatch;
use crate::trace::LogBudget;

/// Time after the node's start within which calls end that the target began before it.
const LOST_CALL_MAX: Duration = Duration::from_secs(10);

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
    memory: MemoryBudget,
    first_start: bool,
}

impl DataPlaneBuilder {
    /// Creates a builder with defaults for everything but the node's control plane.
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
            transit_prices: TransitPrices::default(),
            grace: None,
            memory: MemoryBudget::unlimited(),
            first_start: false,
        }
    }

    /// Sets the wire format of callers and targets.
    pub fn interface(mut self, interface: Box<dyn Interface>) -> Self {
        self.interface = interface;
        self
    }

    /// Sets the size limit of request and answer bodies.
    pub fn body_max_bytes(mut self, body_max_bytes: usize) -> Self {
        self.body_max_bytes = body_max_bytes;
        self
    }

    /// Sets the maximum number of idle connections that are pooled for each address.
    pub fn connection_max_count(mut self, connection_max_count: usize) -> Self {
        self.connection_max_count = connection_max_count;
        self
    }

    /// Sets how long outcomes of calls with an idempotency key are kept.
    pub fn remember_ms(mut self, remember_ms: u64) -> Self {
        self.remember_ms = remember_ms;
        self
    }

    /// Sets the service of this host, which is recorded as the origin of its callers' calls, and is the
    /// only one that announcements may name.
    pub fn origin(mut self, origin: &str) -> Self {
        self.origin = origin.to_owned();
        self
    }

    /// Sets the only target address that announcements may carry.
    pub fn target_address(mut self, address: &str) -> Self {
        self.target_address = Some(address.to_owned());
        self
    }

    /// Sets the interval at which the target announces itself.
    pub fn announce_every(mut self, announce_every: Duration) -> Self {
        self.announce_every = announce_every;
        self
    }

    /// Sets the number of retries above the budget ratio that all nodes together may make in a
    /// burst.
    pub fn shared_retry_burst_count(mut self, count: f64) -> Self {
        self.shared_retry_burst_count = Some(count);
        self
    }

    /// Sets the profile for services that have none in force.
    pub fn default_profile(mut self, profile: Profile) -> Self {
        self.default_profile = profile;
        self
    }

    /// Sets the price of traffic between zones and regions.
    pub fn transit_prices(mut self, prices: TransitPrices) -> Self {
        self.transit_prices = prices;
        self
    }

    /// Sets the time between a stop request and the end of the process. By default it comes from
    /// the profile of the local target's service.
    pub fn grace(mut self, grace: Duration) -> Self {
        self.grace = Some(grace);
        self
    }

    /// Sets the budget from which the bodies of requests and answers take their memory.
    pub fn memory(mut self, memory: MemoryBudget) -> Self {
        self.memory = memory;
        self
    }

    /// Sets whether all nodes of the mesh start for the first time, so that targets run nothing yet.
    pub fn first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }

    /// Builds the data plane and registers its outcomes with the control plane.
    pub fn build(self) -> Arc<DataPlane> {
        let outcomes = Arc::new(KeyedOutcomes::new(self.remember_ms));
        self.mesh.set_outcome_source(outcomes.clone());
        let link_mbps = self.mesh.members().own().link_mbps;
        Arc::new(DataPlane {
            agent: self.agent,
            interface: self.interface,
            gate: TargetGate::default(),
            loads: Mutex::default(),
            overload: OverloadState::default(),
            offers: BodyOffers::new(link_mbps),
            retries: RetryState::new(self.shared_retry_burst_count),
            run_watch: RunWatch::default(),
            target_watch: TargetWatch::new(self.announce_every),
            refusal_log: RefusalLog::default(),
            local_target: LocalTarget::default(),
            cold_start: ColdStart::default(),
            peer_targets: PeerTargets::default(),
            outcomes,
            metrics: Metrics::default(),
            log_budget: LogBudget::default(),
            draining: AtomicBool::new(false),
            phase: watch::Sender::new(ServerPhase::Open),
            running: RunningCalls::default(),
            busy_connections: BusyConnections::default(),
            memory: self.memory,
            body_max_bytes: self.body_max_bytes,
            connection_max_count: self.connection_max_count,
            origin: Mutex::new(self.origin),
            target_address: self.target_address,
            default_profile: self.default_profile,
            transit_prices: self.transit_prices,
            grace: self.grace,
            lost_calls_until: (!self.first_start).then(|| Instant::now() + LOST_CALL_MAX),
            mesh: self.mesh,
        })
    }
}
