//! Evidence about versions: how the runs at the target beside this node end.

use std::sync::Mutex;
use std::time::{
    Duration,
    Instant, //
};

use figway_rollout::RunSample;
use figway_types::{
    deadline_after_ms,
    Announcement,
    Target, //
};

use crate::call::{
    Outcome,
    DEADLINE_EXCEEDED, //
};
use crate::plane::DataPlane;

/// Time until which the local target is slow, since it has just started.
#[derive(Debug, Default)]
pub(crate) struct ColdStart {
    until: Mutex<Option<Instant>>,
}

impl ColdStart {
    /// Records what the target announced.
    pub(crate) fn record(&self, announcement: &Announcement) {
        let left_ms = announcement.cold_start_remaining_ms;
        let until = (left_ms > 0).then(|| deadline_after_ms(Instant::now(), left_ms));
        *self.until.lock().expect("no holder panics") = until;
    }

    /// Returns whether a run that began at `started_at` began during the cold start.
    fn includes(&self, started_at: Instant) -> bool {
        let until = *self.until.lock().expect("no holder panics");
        until.is_some_and(|until| started_at < until)
    }
}

/// Counts a run at the local target that ended with `outcome`, or was given up if there is none.
pub(crate) fn record_run(
    plane: &DataPlane,
    target: &Target,
    route: &str,
    started_at: Instant,
    outcome: Option<&Outcome>,
) {
    let Some(sample) = sample_of(outcome, started_at.elapsed()) else {
        return;
    };
    let is_cold = plane.cold_start.includes(started_at);
    plane.mesh.record_run(target, route, sample, is_cold);
}

fn sample_of(outcome: Option<&Outcome>, ran: Duration) -> Option<RunSample> {
    match outcome {
        Some(outcome) if outcome.is_success() => Some(RunSample::Answered { ran }),
        Some(Outcome::Answered(_)) => Some(RunSample::Failed),
        Some(Outcome::NotRun(_) | Outcome::Unknown("answer-too-large")) => None,
        Some(Outcome::Unknown(DEADLINE_EXCEEDED)) | None => Some(RunSample::GivenUp { after: ran }),
        Some(Outcome::Unknown(_)) => Some(RunSample::Failed),
    }
}

/// Sets the gauges of rollouts.
pub(crate) fn set_rollout_gauges(plane: &DataPlane) {
    let book = plane.mesh.rollouts();
    let mut open_count = 0;
    let mut new_run_count = 0;
    let mut new_failed_count = 0;
    let mut highest_level: f64 = 0.0;
    for rollout in book.open() {
        let tally = rollout.tally();
        open_count += 1;
        new_run_count += tally.new_run_count();
        new_failed_count += tally.new_failed_count();
        highest_level = highest_level.max(tally.verdict().level);
    }
    drop(book);
    let metrics = &plane.metrics;
    metrics.set_gauge("rollouts_open", open_count);
    metrics.set_gauge("rollout_new_runs", new_run_count);
    metrics.set_gauge("rollout_new_failures", new_failed_count);
    metrics.set_gauge("rollout_evidence_percent", (highest_level * 100.0) as u64);
}
