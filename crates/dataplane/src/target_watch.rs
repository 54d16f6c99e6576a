//! Tracks the announcements of the local target: orders them and detects when they stop.

use std::sync::{
    Arc,
    Mutex, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_control::Mesh;
use figway_membership::{
    AnnouncementOrder,
    AnnouncementVerdict,
    LatestAnnouncement, //
};
use figway_types::{
    Announcement,
    RunStage,
    Target, //
};

use crate::target_state::TargetState;

/// Number of announcement periods without an announcement after which the target counts as lost.
const MISSED_MAX_COUNT: u32 = 3;

/// Period at which missing announcements are checked for.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time after the target began to leave for which queued calls still run on it.
const LEAVE_QUEUE_MAX: Duration = Duration::from_millis(1_000);

/// Of the announcements of a run that are ignored in a row, one in this many is logged as a warning,
/// beginning with the second.
const IGNORED_LOG_ONE_IN: u64 = 32;

/// Result of recording an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The announcement is the latest and was accepted.
    Accepted,
    /// A newer announcement or a departure was recorded before.
    Stale,
    /// The target is leaving, which peers or the log don't hold yet, so that it could be lost.
    Unconfirmed,
    /// This node has started again and doesn't know yet whether the target had left.
    Uninformed,
}

#[derive(Default)]
struct WatchState {
    order: AnnouncementOrder,
    /// Time until which the latest run counts as present. `None` if it is lost.
    announced_until: Option<Instant>,
    leaving_since: Option<Instant>,
    /// How often the target was announced while it counted as lost.
    run_count: u64,
}

/// Announcement state of the local target.
pub(crate) struct TargetWatch {
    state: Mutex<WatchState>,
    /// Newest announcement that came before this node knew whether the target had left.
    deferred: Mutex<Option<Announcement>>,
    announce_every: Duration,
}

impl AnnounceOutcome {
    /// Returns the name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            AnnounceOutcome::Accepted => "accepted",
            AnnounceOutcome::Stale => "stale",
            AnnounceOutcome::Unconfirmed => "unconfirmed",
            AnnounceOutcome::Uninformed => "uninformed",
        }
    }
}

impl TargetWatch {
    /// Creates a watch that expects an announcement every `announce_every`.
    pub(crate) fn new(announce_every: Duration) -> Self {
        Self {
            state: Mutex::default(),
            deferred: Mutex::default(),
            announce_every,
        }
    }

    /// Records an announcement unless a newer one is known, and publishes any change of the target
    /// to the mesh.
    pub(crate) fn record_announcement(
        &self,
        mesh: &Mesh,
        announcement: &Announcement,
    ) -> AnnounceOutcome {
        let now = Instant::now();
        let target = &announcement.target;
        if target.draining {
            // Also an announcement that came late tells that its run is ending.
            mesh.end_own_run(&target.instance, target.started_at_ms, RunStage::Draining);
        }
        let known_stage = mesh.own_run_stage(target);
        let mut state = self.state.lock().expect("no holder panics");
        let is_lost = state.announced_until.is_none();
        let known = state.order.latest().clone();
        let verdict = match known_stage {
            Some(RunStage::Departed) => state.order.ignore(announcement),
            Some(RunStage::Draining) | None => state.order.place(announcement, is_lost),
        };
        log_verdict(verdict, announcement, &known, known_stage);
        if let AnnouncementVerdict::Ignored { .. } = verdict {
            return AnnounceOutcome::Stale;
        }
        state.run_count += u64::from(state.announced_until.is_none());
        let mut target = target.clone();
        // Announcements may be delayed, so a ready one does not undo what was known of the run.
        target.draining |= known_stage == Some(RunStage::Draining);
        state.announced_until = Some(now + self.announce_every * MISSED_MAX_COUNT);
        state.leaving_since = match (target.draining, state.leaving_since) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            (true, None) => Some(now),
        };
        drop(state);
        set_local_target(mesh, Some(&target), "announced");
        AnnounceOutcome::Accepted
    }

    /// Keeps an announcement until this node knows whether the target had left, unless a newer one is
    /// kept.
    pub(crate) fn defer(&self, announcement: &Announcement) {
        let order = |other: &Announcement| (other.target.started_at_ms, other.sequence);
        let mut deferred = self.deferred.lock().expect("no holder panics");
        let is_older = |kept: &Announcement| order(kept) < order(announcement);
        if deferred.as_ref().is_none_or(is_older) {
            *deferred = Some(announcement.clone());
        }
    }

    /// Takes the announcement that was kept, if any.
    pub(crate) fn take_deferred(&self) -> Option<Announcement> {
        self.deferred.lock().expect("no holder panics").take()
    }

    /// Records that an answer of the target stated that it is leaving. It then drains until its next
    /// run.
    pub(crate) fn record_leaving(&self, mesh: &Mesh, leaving: &TargetState) {
        mesh.end_own_run(&leaving.instance, leaving.started_at_ms, RunStage::Draining);
        self.apply_known_stage(mesh);
    }

    /// Stops giving out the target if its run is known to be ending, as peers may have told.
    fn apply_known_stage(&self, mesh: &Mesh) {
        let Some(mut target) = mesh.members().own().target.clone() else {
            return;
        };
        match mesh.own_run_stage(&target) {
            None => return,
            Some(RunStage::Draining) => {
                target.draining = true;
                set_local_target(mesh, Some(&target), "leaving");
            }
            Some(RunStage::Departed) => {
                self.state.lock().expect("no holder panics").announced_until = None;
                set_local_target(mesh, None, "departed");
            }
        }
        let mut state = self.state.lock().expect("no holder panics");
        state.leaving_since.get_or_insert(Instant::now());
    }

    /// Records that an instance of the target has left permanently. The target stays if another
    /// instance or a later start is known, because the departed one was already replaced.
    pub(crate) fn record_departure(&self, mesh: &Mesh, instance: &str, started_at_ms: u64) {
        mesh.end_own_run(instance, started_at_ms, RunStage::Departed);
        let mut state = self.state.lock().expect("no holder panics");
        let Some(known_start_ms) = state.order.leave(instance, started_at_ms) else {
            let known = &state.order.latest().run.instance;
            log::info!("departure ignored instance={instance} known_instance={known}");
            return;
        };
        state.announced_until = None;
        state.leaving_since.get_or_insert(Instant::now());
        drop(state);
        // A departure that names no start is that of the known run.
        mesh.end_own_run(instance, known_start_ms, RunStage::Departed);
        set_local_target(mesh, None, "departed");
    }

    /// Marks the target as lost until its next announcement.
    pub(crate) fn mark_lost(&self, mesh: &Mesh, why: &str) {
        self.state.lock().expect("no holder panics").announced_until = None;
        set_local_target(mesh, None, why);
    }

    /// Returns how often the target was announced while it counted as lost.
    pub(crate) fn run_count(&self) -> u64 {
        self.state.lock().expect("no holder panics").run_count
    }

    /// Returns whether the target began to leave so long ago that queued calls no longer run on it.
    pub(crate) fn rejects_queued_calls(&self, now: Instant) -> bool {
        let state = self.state.lock().expect("no holder panics");
        state
            .leaving_since
            .is_some_and(|since| since + LEAVE_QUEUE_MAX <= now)
    }

    /// Marks the target as lost when its announcements stop, and stops giving it out when peers tell
    /// that its run is ending. Calls `on_missing` for the former.
    pub(crate) async fn watch(&self, mesh: &Arc<Mesh>, on_missing: &dyn Fn()) {
        let mut run_changes = mesh.watch_own_runs();
        loop {
            let told = tokio::time::timeout(CHECK_PERIOD, run_changes.changed()).await;
            if told.is_ok() {
                self.apply_known_stage(mesh);
            }
            let announced_until = self.state.lock().expect("no holder panics").announced_until;
            if announced_until.is_some_and(|until| until <= Instant::now()) {
                self.mark_lost(mesh, "it announces itself no more");
                on_missing();
            }
        }
    }
}

/// Logs what became of an announcement; `known` is the latest one before it. Of many that are ignored in a
/// row some are logged.
fn log_verdict(
    verdict: AnnouncementVerdict,
    announcement: &Announcement,
    known: &LatestAnnouncement,
    known_stage: Option<RunStage>,
) {
    let target = &announcement.target;
    let count = match verdict {
        AnnouncementVerdict::Latest => return,
        AnnouncementVerdict::Overruling => {
            log::warn!(
                "target overruled instance={} started_at_ms={} by_instance={} by_started_at_ms={}",
                known.run.instance,
                known.run.started_at_ms,
                target.instance,
                target.started_at_ms,
            );
            return;
        }
        AnnouncementVerdict::Ignored { count } => count,
    };
    let level = match count % IGNORED_LOG_ONE_IN {
        // A target that has left may go on announcing itself for a while.
        2 if known_stage != Some(RunStage::Departed) => log::Level::Warn,
        _ if count == 1 => log::Level::Info,
        _ => log::Level::Debug,
    };
    log::log!(
        level,
        "announcement ignored instance={} started_at_ms={} sequence={} count={count} \
         known_instance={} known_started_at_ms={} known_sequence={} known_stage={known_stage:?}",
        target.instance,
        target.started_at_ms,
        announcement.sequence,
        known.run.instance,
        known.run.started_at_ms,
        known.sequence,
    );
}

fn set_local_target(mesh: &Mesh, target: Option<&Target>, why: &str) {
    let known = mesh.members().own().target.clone();
    if known.as_ref() == target {
        return;
    }
    match target {
        Some(target) => log::info!(
            "target announced instance={} service={} address={} slots={} draining={}",
            target.instance,
            target.service,
            target.address,
            target.slot_count,
            target.draining,
        ),
        None => {
            let instance = known.map_or(String::new(), |known| known.instance);
            log::warn!("target lost instance={instance} why={why}");
        }
    }
    mesh.set_own_target(target);
}
