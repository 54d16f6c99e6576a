//! State of a node's data plane, shared by its workers.

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
    Request,
    ServerPhase, //
};
use figway_profile::Profile;
use figway_routing::{
    LoadBook,
    TransitPrices, //
};
use figway_types::{
    Announcement,
    FastMap, //
};
use tokio::sync::watch;

use crate::call::AttemptKind;
use crate::gate::TargetGate;
use crate::interface::Interface;
use crate::keyed_outcomes::KeyedOutcomes;
use crate::metrics::Metrics;
use crate::retry::RetryState;
use crate::target_watch::{
    Heard,
    TargetWatch, //
};
use crate::trace::LineBudget;

/// Time for which a leaving node keeps connections open, while peers and callers hear of it.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_200);

/// Time after the stop request up to which callers may still begin calls.
const DRAIN_TAKE: Duration = Duration::from_millis(3_200);

/// Share of the grace that a drain uses at most.
const DRAIN_GRACE_SHARE: f64 = 0.84;

/// Time for requests that were read before connections closed to begin.
const CLOSE_SETTLE: Duration = Duration::from_millis(120);

/// How often a drain looks whether calls are left.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// State of a node's data plane, shared by its connections.
pub struct DataPlane {
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) agent: ClaimAgent,
    pub(crate) interface: Box<dyn Interface>,
    pub(crate) gate: TargetGate,
    pub(crate) loads: Mutex<LoadBook>,
    pub(crate) retries: RetryState,
    pub(crate) target_watch: TargetWatch,
    pub(crate) outcomes: Arc<KeyedOutcomes>,
    pub(crate) metrics: Metrics,
    pub(crate) lines: LineBudget,
    pub(crate) draining: AtomicBool,
    pub(crate) phase: watch::Sender<ServerPhase>,
    pub(crate) running: Mutex<FastMap<String, AttemptKind>>,
    pub(crate) in_flight_count: AtomicUsize,
    pub(crate) body_max_bytes: usize,
    pub(crate) connection_max_count: usize,
    pub(crate) origin: Mutex<String>,
    pub(crate) target_address: Option<String>,
    pub(crate) default_profile: Profile,
    pub(crate) transit_prices: TransitPrices,
    pub(crate) grace: Option<Duration>,
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

    /// Returns the turn of the run in which the target beside this node made the request, if it made
    /// it while it ran another.
    pub(crate) fn parent_turn(&self, request: &Request) -> Option<AttemptKind> {
        let parent_id = self.interface.parent_id(request)?;
        let running = self.running.lock().expect("no holder panics");
        running.get(parent_id).copied()
    }

    /// Notes that the target beside this node runs a call, until the guard drops.
    pub(crate) fn begin_run(&self, request_id: &str, turn: AttemptKind) -> RunningId<'_> {
        let mut running = self.running.lock().expect("no holder panics");
        running.insert(request_id.to_owned(), turn);
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
        let known = self.mesh.members().own().target.clone();
        if known.is_none_or(|known| known.instance != target.instance) {
            self.gate.forget_outcomes();
        }
        Ok(self.target_watch.announce(&self.mesh, announcement))
    }

    /// Takes in that a start of the target leaves for good. `started_at_ms` is when it began, in Unix
    /// milliseconds, 0 if it is not known.
    pub fn depart(&self, instance: &str, started_at_ms: u64) {
        self.target_watch
            .depart(&self.mesh, instance, started_at_ms);
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
        // What connections have read by now begins first; it would else be cut.
        tokio::time::sleep(CLOSE_SETTLE).await;
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
        let mut running = self.plane.running.lock().expect("no holder panics");
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
