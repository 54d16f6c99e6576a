//! The target beside the node: its announcements, their order, and their absence.

use std::sync::{
    Arc,
    Mutex, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_control::Mesh;
use figway_types::{
    Announcement,
    Target, //
};

/// Announcements that may be missed before the target counts as gone.
const MISSED_MAX_COUNT: u32 = 3;

/// How often the watch looks.
const CHECK_EVERY: Duration = Duration::from_millis(250);

/// Calls that waited when the target began to leave are still handed to it for this long.
const LEAVE_QUEUE_MAX: Duration = Duration::from_millis(1_000);

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It is the newest and was taken.
    Accepted,
    /// A newer one was taken before.
    Stale,
}

/// Newest start and announcement that were taken.
#[derive(Clone, Debug, Default)]
struct Newest {
    instance: String,
    started_at_ms: u64,
    sequence: u64,
    left: bool,
}

#[derive(Default)]
struct Watched {
    newest: Newest,
    announced_until: Option<Instant>,
    leaving_since: Option<Instant>,
}

/// Last announcement of the target.
pub(crate) struct TargetWatch {
    watched: Mutex<Watched>,
    announce_every: Duration,
}

impl TargetWatch {
    /// Expects an announcement each `announce_every`.
    pub(crate) fn new(announce_every: Duration) -> Self {
        Self {
            watched: Mutex::default(),
            announce_every,
        }
    }

    /// Takes in an announcement, unless a newer one came before, and spreads what changed.
    pub(crate) fn record_announcement(
        &self,
        mesh: &Mesh,
        announcement: &Announcement,
    ) -> AnnounceOutcome {
        let now = Instant::now();
        let target = &announcement.target;
        let mut watched = self.watched.lock().expect("no holder panics");
        if !watched.newest.is_before(announcement) {
            log::info!(
                "announcement ignored instance={} started_at_ms={} sequence={} known_instance={} \
                 known_started_at_ms={} known_sequence={}",
                target.instance,
                announcement.started_at_ms,
                announcement.sequence,
                watched.newest.instance,
                watched.newest.started_at_ms,
                watched.newest.sequence,
            );
            return AnnounceOutcome::Stale;
        }
        watched.newest = Newest {
            instance: target.instance.clone(),
            started_at_ms: announcement.started_at_ms,
            sequence: announcement.sequence,
            left: false,
        };
        watched.announced_until = Some(now + self.announce_every * MISSED_MAX_COUNT);
        watched.leaving_since = match (target.draining, watched.leaving_since) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            (true, None) => Some(now),
        };
        drop(watched);
        set_own_target(mesh, Some(target), "announced");
        AnnounceOutcome::Accepted
    }

    /// Takes in that a start of the target leaves for good. A start that began before the newest one
    /// has left already.
    pub(crate) fn record_departure(&self, mesh: &Mesh, instance: &str, started_at_ms: u64) {
        let mut watched = self.watched.lock().expect("no holder panics");
        let other = watched.newest.instance != instance && !watched.newest.instance.is_empty();
        let earlier = started_at_ms != 0 && started_at_ms < watched.newest.started_at_ms;
        if other || earlier {
            log::info!(
                "departure ignored instance={instance} known_instance={}",
                watched.newest.instance
            );
            return;
        }
        watched.newest.instance = instance.to_owned();
        // This node may have started after the target, so that it leaves before it was announced here.
        watched.newest.started_at_ms = watched.newest.started_at_ms.max(started_at_ms);
        watched.newest.left = true;
        watched.announced_until = None;
        watched.leaving_since.get_or_insert(Instant::now());
        drop(watched);
        set_own_target(mesh, None, "departed");
    }

    /// Notes that the target is gone before its announcement runs out.
    pub(crate) fn mark_lost(&self, mesh: &Mesh, why: &str) {
        self.watched
            .lock()
            .expect("no holder panics")
            .announced_until = None;
        set_own_target(mesh, None, why);
    }

    /// Returns whether the target is leaving for longer than calls that waited are handed to it.
    pub(crate) fn rejects_queued_calls(&self, now: Instant) -> bool {
        let watched = self.watched.lock().expect("no holder panics");
        watched
            .leaving_since
            .is_some_and(|since| since + LEAVE_QUEUE_MAX <= now)
    }

    /// Marks the target as gone when it stops announcing itself.
    pub(crate) async fn watch(&self, mesh: &Arc<Mesh>) {
        loop {
            tokio::time::sleep(CHECK_EVERY).await;
            let announced_until = self
                .watched
                .lock()
                .expect("no holder panics")
                .announced_until;
            if announced_until.is_some_and(|until| until <= Instant::now()) {
                self.mark_lost(mesh, "it announces itself no more");
            }
        }
    }
}

impl Newest {
    /// Returns whether the announcement is newer than what was taken. A start that left stays gone.
    fn is_before(&self, announcement: &Announcement) -> bool {
        let same = announcement.target.instance == self.instance;
        if same && self.left && self.started_at_ms == 0 {
            return false;
        }
        if announcement.started_at_ms != self.started_at_ms {
            return announcement.started_at_ms > self.started_at_ms;
        }
        if announcement.started_at_ms == 0 {
            return true;
        }
        if same && self.left {
            return false;
        }
        announcement.sequence > self.sequence
    }
}

fn set_own_target(mesh: &Mesh, target: Option<&Target>, why: &str) {
    let mut members = mesh.members();
    if members.own().target.as_ref() == target {
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
        None => log::warn!("target lost why={why}"),
    }
    members.update_own(Instant::now(), |own| own.target = target.cloned());
    drop(members);
    mesh.notify_member_changes();
}
