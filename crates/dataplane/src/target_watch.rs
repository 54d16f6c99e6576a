//! The target beside the node: its announcements, and their absence.

use std::sync::{
    Arc,
    Mutex, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_control::Mesh;
use figway_types::Target;

/// How long an announcement counts.
const ANNOUNCED_FOR: Duration = Duration::from_secs(5);

/// How often the watch looks.
const CHECK_EVERY: Duration = Duration::from_millis(250);

/// Last announcement of the target.
#[derive(Default)]
pub(crate) struct TargetWatch {
    announced_until: Mutex<Option<Instant>>,
}

impl TargetWatch {
    /// Takes in an announcement and spreads what changed.
    pub(crate) fn announce(&self, mesh: &Mesh, target: &Target) {
        let now = Instant::now();
        *self.announced_until.lock().expect("no holder panics") = Some(now + ANNOUNCED_FOR);
        let mut members = mesh.members();
        if members.own().target.as_ref() == Some(target) {
            return;
        }
        log::info!(
            "target announced service={} address={} slots={} draining={}",
            target.service,
            target.address,
            target.slot_count,
            target.draining,
        );
        members.update_own(now, |own| own.target = Some(target.clone()));
        drop(members);
        mesh.note_member_changes();
    }

    /// Notes that the target is gone before its announcement runs out.
    pub(crate) fn lose(&self, mesh: &Mesh, why: &str) {
        *self.announced_until.lock().expect("no holder panics") = None;
        let mut members = mesh.members();
        if members.own().target.is_none() {
            return;
        }
        log::warn!("target lost why={why}");
        members.update_own(Instant::now(), |own| own.target = None);
        drop(members);
        mesh.note_member_changes();
    }

    /// Marks the target as gone when it stops announcing itself.
    pub(crate) async fn watch(&self, mesh: &Arc<Mesh>) {
        loop {
            tokio::time::sleep(CHECK_EVERY).await;
            let announced_until = *self.announced_until.lock().expect("no holder panics");
            if announced_until.is_some_and(|until| until <= Instant::now()) {
                self.lose(mesh, "it announces itself no more");
            }
        }
    }
}
