//! State of one node's control plane. The tasks of the control plane share it, and the data plane
//! reads it.

mod crashes;
mod ending_runs;
mod feed;
mod introductions;
mod limits;
mod lost;
mod news;
mod own_target;
mod random;
mod report;
mod rollouts;
mod routes;
mod run_records;

use std::net::IpAddr;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64, //
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

use arc_swap::ArcSwap;
use figway_admission::Quarantine;
use figway_membership::MemberTable;
use figway_profile::{
    Fold,
    FoldState,
    LostChanges, //
};
use figway_types::{
    mix,
    FastMap,
    LogRecord,
    Member,
    NodeId,
    Offset, //
};
use tokio::sync::watch;

use self::ending_runs::RunFeed;
use self::feed::FeedProgress;
use self::introductions::Introductions;
use self::limits::LimitState;
use self::own_target::OwnTargetNews;
use self::report::{
    log_installed,
    log_verdict, //
};
use self::rollouts::RolloutFeed;
use self::run_records::RunRecords;
use crate::meter::ControlMeter;
use crate::records::RecentRecords;
use crate::route_history::RouteHistory;
use crate::route_lease::RouteLease;
use crate::rpc::{
    KeyOutcome,
    MissingRecords, //
};
use crate::view::View;

/// Longest time for which a fetch of missing records keeps other fetches from starting.
const FETCH_LOCKOUT: Duration = Duration::from_millis(500);

/// Largest number of whole states that a node sends to peers per second, so that many peers that
/// catch up at once do not stall it.
const STATE_TRANSFERS_PER_S: u32 = 4;

/// Store of the outcomes of this node's attempts with idempotency keys. The data plane implements
/// it.
pub trait OutcomeSource: Send + Sync {
    /// Returns the outcome of an attempt of this node.
    fn outcome(&self, attempt_id: u64) -> KeyOutcome;
}

/// Progress that a peer reported last.
#[derive(Clone, Copy, Debug)]
struct PeerProgress {
    applied_offset: Offset,
    route_version: u64,
    member_digest: u64,
}

/// State of one node's control plane.
pub struct Mesh {
    cluster: String,
    control_ip: Option<IpAddr>,
    fold: Mutex<Fold>,
    records: Mutex<RecentRecords>,
    routes: Mutex<RouteHistory>,
    route_lease: Mutex<RouteLease>,
    /// Whether this node read the applied route table from the log itself.
    routes_read_here: AtomicBool,
    members: Mutex<MemberTable>,
    quarantine: Mutex<Quarantine>,
    report_progress: Mutex<FastMap<NodeId, FeedProgress>>,
    /// Epoch of the numbers in this node's feeds, drawn at the start of the process.
    feed_epoch: u64,
    /// Number of the last crash report that this node observed itself.
    own_report: Mutex<u64>,
    run_feed: RunFeed,
    run_records: RunRecords,
    introductions: Introductions,
    own_target_news: OwnTargetNews,
    rollout_feed: RolloutFeed,
    view: ArcSwap<View>,
    view_changes: watch::Sender<u64>,
    head: watch::Sender<Offset>,
    gossip_changes: watch::Sender<u64>,
    member_changes: watch::Sender<u64>,
    peer_progress: Mutex<FastMap<NodeId, PeerProgress>>,
    reads_log: AtomicBool,
    head_fresh_until: Mutex<Instant>,
    fetching_until: Mutex<Instant>,
    fetching_routes: AtomicBool,
    state_transfers: Mutex<(Instant, u32)>,
    seed: AtomicU64,
    meter: ControlMeter,
    round_trips_us: Mutex<FastMap<String, f64>>,
    outcomes: Mutex<Option<Arc<dyn OutcomeSource>>>,
    /// Changes that the log lost when it went back to an older copy.
    lost: Mutex<LostChanges>,
    lost_signal: watch::Sender<u64>,
    limits: LimitState,
}

impl Mesh {
    /// Creates the state of a node that knows only itself. `seed` makes its random choices
    /// reproducible. Control connections use `control_ip` as their source address, if it is set.
    pub fn new(cluster: &str, own: Member, control_ip: Option<IpAddr>, seed: u64) -> Arc<Self> {
        let now = Instant::now();
        let limits = LimitState::new(mix(seed ^ own.generation_ms));
        Arc::new(Self {
            limits,
            cluster: cluster.to_owned(),
            control_ip,
            fold: Mutex::default(),
            records: Mutex::default(),
            routes: Mutex::default(),
            route_lease: Mutex::default(),
            routes_read_here: AtomicBool::new(false),
            members: Mutex::new(MemberTable::new(own, now)),
            quarantine: Mutex::default(),
            report_progress: Mutex::default(),
            feed_epoch: mix(seed),
            own_report: Mutex::default(),
            run_feed: RunFeed::default(),
            run_records: RunRecords::default(),
            introductions: Introductions::new(now),
            own_target_news: OwnTargetNews::default(),
            rollout_feed: RolloutFeed::default(),
            view: ArcSwap::default(),
            view_changes: watch::Sender::new(0),
            head: watch::Sender::new(Offset(0)),
            gossip_changes: watch::Sender::new(0),
            member_changes: watch::Sender::new(0),
            peer_progress: Mutex::default(),
            reads_log: AtomicBool::new(false),
            head_fresh_until: Mutex::new(now),
            fetching_until: Mutex::new(now),
            fetching_routes: AtomicBool::new(false),
            state_transfers: Mutex::new((now, 0)),
            seed: AtomicU64::new(seed),
            meter: ControlMeter::default(),
            round_trips_us: Mutex::default(),
            outcomes: Mutex::default(),
            lost: Mutex::default(),
            lost_signal: watch::Sender::new(0),
        })
    }

    /// Returns the name of the mesh.
    pub fn cluster(&self) -> &str {
        &self.cluster
    }

    /// Returns the source address of control connections, if it is fixed.
    pub fn control_ip(&self) -> Option<IpAddr> {
        self.control_ip
    }

    /// Returns the view, by which calls are routed.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a watch that changes whenever the view is replaced.
    pub fn watch_view(&self) -> watch::Receiver<u64> {
        self.view_changes.subscribe()
    }

    /// Locks the member table.
    pub fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().expect("no holder panics")
    }

    /// Locks the crash reports that count towards quarantine.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("no holder panics")
    }

    /// Locks the fold of the change stream.
    pub fn fold(&self) -> MutexGuard<'_, Fold> {
        self.fold.lock().expect("no holder panics")
    }

    /// Returns the byte counters of control messages.
    pub fn meter(&self) -> &ControlMeter {
        &self.meter
    }

    /// Returns the offset of the last applied record.
    pub fn applied_offset(&self) -> Offset {
        *self.head.borrow()
    }

    /// Returns a watch of the offset of the last applied record.
    pub fn watch_head(&self) -> watch::Receiver<Offset> {
        self.head.subscribe()
    }

    /// Returns a watch that changes whenever this node has new gossip for its peers.
    pub fn watch_gossip(&self) -> watch::Receiver<u64> {
        self.gossip_changes.subscribe()
    }

    fn notify_gossip(&self) {
        self.gossip_changes.send_modify(|count| *count += 1);
    }

    /// Returns a watch of the member table's change counter.
    pub fn watch_members(&self) -> watch::Receiver<u64> {
        self.member_changes.subscribe()
    }

    /// Sets the store of the outcomes of this node's attempts.
    pub fn set_outcome_source(&self, outcomes: Arc<dyn OutcomeSource>) {
        *self.outcomes.lock().expect("no holder panics") = Some(outcomes);
    }

    /// Returns the outcome of an attempt of this node; `Unknown` while no store is set.
    pub fn outcome(&self, attempt_id: u64) -> KeyOutcome {
        match &*self.outcomes.lock().expect("no holder panics") {
            Some(outcomes) => outcomes.outcome(attempt_id),
            None => KeyOutcome::Unknown,
        }
    }

    /// Applies the records that follow the applied offset without a gap and puts the result in
    /// force. Skips records that were applied before.
    pub fn apply_records(&self, records: &[LogRecord]) {
        let mut fold = self.fold();
        let before = fold.as_of_offset();
        for record in records {
            if record.offset <= fold.as_of_offset() {
                continue;
            }
            if record.offset != fold.as_of_offset().next() {
                break;
            }
            let verdict = fold.apply(record);
            log_verdict(record, verdict.as_ref());
            self.records.lock().expect("no holder panics").push(record);
        }
        let after = fold.as_of_offset();
        drop(fold);
        if after > before {
            self.rebuild_view_services();
            self.head.send_replace(after);
            self.notify_gossip();
        }
    }

    /// Replaces the fold with a whole state, if that is newer than the applied offset. If it is of a
    /// later era, the changes that the log has lost are remembered.
    pub fn install_state(&self, state: FoldState) {
        let mut fold = self.fold();
        if state.as_of_offset <= fold.as_of_offset() {
            return;
        }
        let as_of_offset = state.as_of_offset;
        if as_of_offset.era() > fold.as_of_offset().era() {
            self.remember_lost(fold.state());
        }
        *fold = Fold::from_state(state);
        self.records.lock().expect("no holder panics").clear();
        drop(fold);
        log::info!("state installed as_of_offset={as_of_offset}");
        self.rebuild_view_services();
        self.head.send_replace(as_of_offset);
        self.notify_gossip();
    }

    /// Applies the records or state from a peer and ends the fetch.
    pub(crate) fn apply_missing_records(&self, missing: MissingRecords) {
        match missing {
            MissingRecords::Records(records) => self.apply_records(&records),
            MissingRecords::State(state) => self.install_state(*state),
            MissingRecords::Busy => {}
        }
        *self.fetching_until.lock().expect("no holder panics") = Instant::now();
    }

    /// Returns the records after `applied_offset` if they are still kept, otherwise the whole
    /// state, or `Busy` above the limit of state transfers.
    pub(crate) fn missing_records_after(&self, applied_offset: Offset) -> MissingRecords {
        let records = self.records.lock().expect("no holder panics");
        if let Some(records) = records.after(applied_offset) {
            return MissingRecords::Records(records);
        }
        drop(records);
        if !self.try_begin_state_transfer(Instant::now()) {
            return MissingRecords::Busy;
        }
        MissingRecords::State(Box::new(self.fold().state().clone()))
    }

    /// Starts a fetch of missing records, unless one is in flight; returns whether it started.
    pub fn try_begin_fetch(&self) -> bool {
        let now = Instant::now();
        let mut fetching_until = self.fetching_until.lock().expect("no holder panics");
        if *fetching_until > now {
            return false;
        }
        *fetching_until = now + FETCH_LOCKOUT;
        true
    }

    /// Rebuilds the view from the fold and the member table and replaces the current one.
    pub fn rebuild_view(&self) {
        let fold = self.fold();
        let members = self.members();
        let current = self.view.load();
        let mut next = current.rebuilt(&fold, Some(&members));
        drop(members);
        next.round_trips_us = self
            .round_trips_us
            .lock()
            .expect("no holder panics")
            .clone();
        self.swap_view(&fold, &current, next);
    }

    fn rebuild_view_services(&self) {
        let fold = self.fold();
        let current = self.view.load();
        let next = current.rebuilt(&fold, None);
        self.swap_view(&fold, &current, next);
    }

    fn swap_view(&self, _fold_held: &Fold, current: &View, next: View) {
        log_installed(current, &next);
        // The caller holds the lock of the fold, so that views are replaced in the order in which
        // they are built.
        self.view.store(Arc::new(next));
        self.view_changes.send_modify(|count| *count += 1);
    }

    /// Wakes the tasks that watch the member table, if it changed.
    pub fn notify_member_changes(&self) {
        let change_count = self.members().change_count();
        let modified = self.member_changes.send_if_modified(|known| {
            let modified = *known != change_count;
            *known = change_count;
            modified
        });
        if modified {
            self.notify_gossip();
        }
    }

    fn try_begin_state_transfer(&self, now: Instant) -> bool {
        let mut window = self.state_transfers.lock().expect("no holder panics");
        let (ends_at, count) = *window;
        if ends_at <= now {
            *window = (now + Duration::from_secs(1), 1);
            return true;
        }
        *window = (ends_at, count + 1);
        count < STATE_TRANSFERS_PER_S
    }
}
