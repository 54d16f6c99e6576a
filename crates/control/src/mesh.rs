//! State of one node's control plane, shared by its tasks and read by the data plane.

mod news;
mod report;
mod routes;

use std::net::IpAddr;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
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

use arc_swap::ArcSwap;
use figway_admission::Quarantine;
use figway_membership::MemberTable;
use figway_profile::{
    Fold,
    FoldState, //
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

use self::report::{
    log_installed,
    log_verdict, //
};
use crate::meter::ControlMeter;
use crate::records::RecentRecords;
use crate::route_book::RouteBook;
use crate::rpc::{
    KeyOutcome,
    Missing, //
};
use crate::view::View;

/// How long one fetch of missing records keeps others from starting.
const FETCH_HOLD: Duration = Duration::from_millis(500);

/// States that a node hands out within one second at most, so that a herd does not stall it.
const STATE_PER_SECOND_COUNT: u32 = 4;

/// Where outcomes of keyed attempts are remembered; the data plane implements it.
pub trait OutcomeSource: Send + Sync {
    /// Returns the outcome of an attempt of this node.
    fn outcome(&self, attempt_id: u64) -> KeyOutcome;
}

/// What a peer said last.
#[derive(Clone, Copy, Debug)]
struct PeerHeard {
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
    routes: Mutex<RouteBook>,
    members: Mutex<MemberTable>,
    quarantine: Mutex<Quarantine>,
    view: ArcSwap<View>,
    view_changes: watch::Sender<u64>,
    head: watch::Sender<Offset>,
    news: watch::Sender<u64>,
    member_changes: watch::Sender<u64>,
    peers: Mutex<FastMap<NodeId, PeerHeard>>,
    reads_log: AtomicBool,
    head_fresh_until: Mutex<Instant>,
    fetching_until: Mutex<Instant>,
    fetching_routes: AtomicBool,
    given_states: Mutex<(Instant, u32)>,
    seed: AtomicU64,
    meter: ControlMeter,
    round_trips_us: Mutex<FastMap<String, f64>>,
    outcomes: Mutex<Option<Arc<dyn OutcomeSource>>>,
}

impl Mesh {
    /// Starts with nothing but the node itself; `seed` fixes its random choices. Control connections
    /// leave from `control_ip`, if there is one.
    pub fn new(cluster: &str, own: Member, control_ip: Option<IpAddr>, seed: u64) -> Arc<Self> {
        let now = Instant::now();
        Arc::new(Self {
            cluster: cluster.to_owned(),
            control_ip,
            fold: Mutex::default(),
            records: Mutex::default(),
            routes: Mutex::default(),
            members: Mutex::new(MemberTable::new(own, now)),
            quarantine: Mutex::default(),
            view: ArcSwap::default(),
            view_changes: watch::Sender::new(0),
            head: watch::Sender::new(Offset(0)),
            news: watch::Sender::new(0),
            member_changes: watch::Sender::new(0),
            peers: Mutex::default(),
            reads_log: AtomicBool::new(false),
            head_fresh_until: Mutex::new(now),
            fetching_until: Mutex::new(now),
            fetching_routes: AtomicBool::new(false),
            given_states: Mutex::new((now, 0)),
            seed: AtomicU64::new(seed),
            meter: ControlMeter::default(),
            round_trips_us: Mutex::default(),
            outcomes: Mutex::default(),
        })
    }

    /// Returns the name of the mesh.
    pub fn cluster(&self) -> &str {
        &self.cluster
    }

    /// Returns the address from which control connections leave, if it is fixed.
    pub fn control_ip(&self) -> Option<IpAddr> {
        self.control_ip
    }

    /// Returns the table that calls are routed by.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a watch that changes with the table that calls are routed by.
    pub fn watch_view(&self) -> watch::Receiver<u64> {
        self.view_changes.subscribe()
    }

    /// Returns the member table.
    pub fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().expect("no holder panics")
    }

    /// Returns the crashes that count.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("no holder panics")
    }

    /// Returns the fold of the change stream.
    pub fn fold(&self) -> MutexGuard<'_, Fold> {
        self.fold.lock().expect("no holder panics")
    }

    /// Returns the count of control bytes.
    pub fn meter(&self) -> &ControlMeter {
        &self.meter
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        mix(self
            .seed
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed))
    }

    /// Returns a random part of `bound`.
    pub fn jitter(&self, bound: Duration) -> Duration {
        let bound_us = bound.as_micros().max(1) as u64;
        Duration::from_micros(self.random() % bound_us)
    }

    /// Returns the last record that was folded.
    pub fn applied_offset(&self) -> Offset {
        *self.head.borrow()
    }

    /// Returns a watch of the last record that was folded.
    pub fn watch_head(&self) -> watch::Receiver<Offset> {
        self.head.subscribe()
    }

    /// Returns a watch that changes with whatever peers are to be told of.
    pub fn watch_gossip(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    fn note_news(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Returns a watch of the member table's change count.
    pub fn watch_members(&self) -> watch::Receiver<u64> {
        self.member_changes.subscribe()
    }

    /// Names where outcomes of this node's attempts are remembered.
    pub fn set_outcome_source(&self, outcomes: Arc<dyn OutcomeSource>) {
        *self.outcomes.lock().expect("no holder panics") = Some(outcomes);
    }

    /// Returns the outcome of an attempt of this node.
    pub fn outcome(&self, attempt_id: u64) -> KeyOutcome {
        match &*self.outcomes.lock().expect("no holder panics") {
            Some(outcomes) => outcomes.outcome(attempt_id),
            None => KeyOutcome::Unknown,
        }
    }

    /// Folds the records that follow without a gap and puts the result in force.
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
            self.note_news();
        }
    }

    /// Takes over a whole state if it is newer than what was folded.
    pub fn install_state(&self, state: FoldState) {
        let mut fold = self.fold();
        if state.as_of_offset <= fold.as_of_offset() {
            return;
        }
        let as_of_offset = state.as_of_offset;
        *fold = Fold::from_state(state);
        self.records.lock().expect("no holder panics").clear();
        drop(fold);
        log::info!("state adopted as_of_offset={as_of_offset}");
        self.rebuild_view_services();
        self.head.send_replace(as_of_offset);
        self.note_news();
    }

    /// Takes in what a peer handed over.
    pub(crate) fn take_missing(&self, missing: Missing) {
        match missing {
            Missing::Records(records) => self.apply_records(&records),
            Missing::State(state) => self.install_state(*state),
            Missing::Busy => {}
        }
        *self.fetching_until.lock().expect("no holder panics") = Instant::now();
    }

    /// Returns what follows `applied_offset`: records if they are at hand, else the whole state.
    pub(crate) fn missing_after(&self, applied_offset: Offset) -> Missing {
        let records = self.records.lock().expect("no holder panics");
        if let Some(records) = records.after(applied_offset) {
            return Missing::Records(records);
        }
        drop(records);
        if !self.may_give_state(Instant::now()) {
            return Missing::Busy;
        }
        Missing::State(Box::new(self.fold().state().clone()))
    }

    /// Starts a fetch of what is missing, unless one is under way.
    pub fn try_begin_fetch(&self) -> bool {
        let now = Instant::now();
        let mut fetching_until = self.fetching_until.lock().expect("no holder panics");
        if *fetching_until > now {
            return false;
        }
        *fetching_until = now + FETCH_HOLD;
        true
    }

    /// Rebuilds the view from the fold and the members and swaps it in.
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
        // The fold stays locked, so that views are swapped in the order in which they are built.
        self.view.store(Arc::new(next));
        self.view_changes.send_modify(|count| *count += 1);
    }

    /// Wakes the tasks that follow the member table, if it changed.
    pub fn notify_member_changes(&self) {
        let change_count = self.members().change_count();
        let modified = self.member_changes.send_if_modified(|known| {
            let modified = *known != change_count;
            *known = change_count;
            modified
        });
        if modified {
            self.note_news();
        }
    }

    fn may_give_state(&self, now: Instant) -> bool {
        let mut given = self.given_states.lock().expect("no holder panics");
        let (window_ends_at, count) = *given;
        if window_ends_at <= now {
            *given = (now + Duration::from_secs(1), 1);
            return true;
        }
        *given = (window_ends_at, count + 1);
        count < STATE_PER_SECOND_COUNT
    }
}
