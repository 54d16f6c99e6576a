//! Looks whether the run of the local target has ended, while there is a doubt.

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_http::Reachability;

use crate::run_watch::{
    Doubt,
    DoubtCause,
    RunEndEvidence, //
};
use crate::worker::Worker;

/// Pause before the first probe of a target that a given-up call may still run on. Each further pause
/// is twice as long.
const PROBE_PAUSE_MIN: Duration = Duration::from_millis(100);

/// Longest pause between two probes.
const PROBE_PAUSE_MAX: Duration = Duration::from_millis(400);

impl Worker {
    /// Looks whether the target's run has ended while calls that were given up may be at work there,
    /// a connection could not be opened, or announcements are missing. Runs until the process ends.
    pub async fn watch_target_run(self: Rc<Self>) {
        let run_watch = &self.plane.run_watch;
        loop {
            run_watch.wait_for_doubt().await;
            let mut pause = PROBE_PAUSE_MIN;
            let mut looked_at = Instant::now();
            while let Some(doubt) = run_watch.take_doubt(Instant::now()) {
                if doubt.cause.is_none() {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(PROBE_PAUSE_MAX);
                }
                // A run that goes on answering shows its end by its other calls.
                let heard = run_watch.alive_at().is_some_and(|at| at > looked_at);
                looked_at = Instant::now();
                if doubt.cause.is_some() || !heard {
                    self.probe_run(&doubt).await;
                }
            }
        }
    }

    async fn probe_run(&self, doubt: &Doubt) {
        self.plane.metrics.count("run_probes");
        let evidence = match self.targets.probe(&doubt.address).await {
            Reachability::Accepts => return,
            Reachability::Refuses => RunEndEvidence::Refused,
            // A target that is only busy accepts no connection either, but announces itself.
            Reachability::Silent if doubt.cause == Some(DoubtCause::Missing) => {
                RunEndEvidence::Silent
            }
            Reachability::Silent => return,
        };
        self.plane.record_run_end(doubt.run_number, evidence);
    }
}
