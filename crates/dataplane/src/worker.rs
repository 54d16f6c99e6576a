//! Connections and target pickers of the thread that serves calls.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use figway_http::{
    ClientLimits,
    HttpClient,
    Transport, //
};
use figway_routing::{
    LeastLoss,
    LeastWork,
    TargetPicker,
    TwoChoices,
    WeightedRoundRobin, //
};
use figway_types::Member;

use crate::candidates::CandidateCache;
use crate::plane::DataPlane;

/// Idle time after which a connection to a target is not reused, in milliseconds. Targets that
/// close idle connections earlier announce that.
const TARGET_IDLE_MAX_MS: u64 = 3_000;

/// The same limit for a call that must not run twice, in milliseconds. If the target closes the
/// connection just as the call is sent, the outcome is unknown.
const TARGET_UNSAFE_IDLE_MAX_MS: u64 = 500;

/// Idle time after which a connection to a peer is not reused, in milliseconds. Peers keep idle
/// connections open for longer.
const PEER_IDLE_MAX_MS: u64 = 20_000;

/// Longest wait for a connection to the target on this host, in milliseconds.
const TARGET_CONNECT_MAX_MS: u64 = 250;

/// Longest wait for a connection to a peer, in milliseconds.
const PEER_CONNECT_MAX_MS: u64 = 400;

/// Connections and target pickers of the thread that serves calls. Not shared between threads.
pub struct Worker {
    pub(crate) plane: Arc<DataPlane>,
    /// This node's member record at its start. Its name, zone and region never change.
    pub(crate) own_member: Member,
    pub(crate) peers: Box<dyn Transport>,
    pub(crate) targets: Box<dyn Transport>,
    /// Picks targets for calls of a profile's request kinds.
    pub(crate) picker: RefCell<Box<dyn TargetPicker>>,
    /// Picks targets for calls of the route table. Each route states the time within which an
    /// answer has its full worth.
    pub(crate) route_picker: RefCell<Box<dyn TargetPicker>>,
    /// Picks targets for calls of a route table that calls for overload control.
    pub(crate) work_picker: RefCell<Box<dyn TargetPicker>>,
    pub(crate) splits: RefCell<WeightedRoundRobin>,
    pub(crate) candidates: RefCell<CandidateCache>,
}

impl Worker {
    /// Creates a worker without open connections.
    pub fn new(plane: Arc<DataPlane>) -> Rc<Self> {
        let limits = ClientLimits {
            idle_max_count: plane.connection_max_count,
            idle_max_ms: PEER_IDLE_MAX_MS,
            non_idempotent_idle_max_ms: PEER_IDLE_MAX_MS,
            connect_max_ms: PEER_CONNECT_MAX_MS,
            body_max_bytes: plane.body_max_bytes,
            local_ip: plane.mesh.control_ip(),
        };
        let peers = HttpClient::new(limits).with_memory(&plane.memory);
        let targets = HttpClient::new(ClientLimits {
            idle_max_ms: TARGET_IDLE_MAX_MS,
            non_idempotent_idle_max_ms: TARGET_UNSAFE_IDLE_MAX_MS,
            connect_max_ms: TARGET_CONNECT_MAX_MS,
            ..limits
        })
        .with_memory(&plane.memory);
        let picker = TwoChoices::new(plane.mesh.random());
        let route_picker = LeastLoss::new(plane.transit_prices, plane.mesh.random());
        let work_picker = LeastWork::new(plane.transit_prices, plane.mesh.random());
        let own_member = plane.mesh.members().own().clone();
        Rc::new(Self {
            plane,
            own_member,
            peers: Box::new(peers),
            targets: Box::new(targets),
            picker: RefCell::new(Box::new(picker)),
            route_picker: RefCell::new(Box::new(route_picker)),
            work_picker: RefCell::new(Box::new(work_picker)),
            splits: RefCell::default(),
            candidates: RefCell::default(),
        })
    }
}
