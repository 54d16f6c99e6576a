//! Which ending runs the platform's log holds, so that they outlast the end of all nodes at once.
//!
//! The log is asked twice: the end of a run of the own target is recorded before it is acknowledged,
//! and a process that starts reads what was recorded before.

use std::sync::Mutex;
use std::time::Instant;

use figway_log_client::EndingRunPage;
use figway_types::{
    EndingRun,
    FastMap,
    LogEra, //
};
use tokio::sync::watch;

use super::Mesh;

/// What this node knows of the records in the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunLogState {
    /// The deployment has no log of ending runs.
    Absent,
    /// The records were not read since the process started.
    Unread,
    /// The records were read, or there were none before the process started.
    Read,
}

/// Run of the own target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RunKey {
    instance: String,
    started_at_ms: u64,
}

/// Ending runs of the own target that the log holds.
pub(super) struct RunRecords {
    log_state: Mutex<RunLogState>,
    /// Era of the log in which each run was recorded. A log that goes back to an older copy may lose
    /// the record, and is then of a later era.
    recorded: Mutex<FastMap<RunKey, LogEra>>,
    /// Changes whenever the log was read or a run was recorded.
    changes: watch::Sender<u64>,
    /// Changes whenever there may be a run to record.
    wanted: watch::Sender<u64>,
}

impl Default for RunRecords {
    fn default() -> Self {
        Self {
            log_state: Mutex::new(RunLogState::Absent),
            recorded: Mutex::default(),
            changes: watch::Sender::new(0),
            wanted: watch::Sender::new(0),
        }
    }
}

impl RunRecords {
    pub(super) fn log_state(&self) -> RunLogState {
        *self.log_state.lock().expect("no holder panics")
    }

    /// Returns a watch that changes whenever the log was read or a run was recorded.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Wakes the task that records runs.
    pub(super) fn request(&self) {
        self.wanted.send_modify(|count| *count += 1);
    }

    fn holds(&self, run: &EndingRun, era: LogEra) -> bool {
        let recorded = self.recorded.lock().expect("no holder panics");
        let recorded_era = recorded.get(&key_of(run));
        recorded_era.is_some_and(|recorded_era| *recorded_era >= era)
    }

    fn insert(&self, runs: &[EndingRun], era: LogEra) {
        let mut recorded = self.recorded.lock().expect("no holder panics");
        for run in runs {
            recorded.insert(key_of(run), era);
        }
        drop(recorded);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Forgets all runs but `kept`.
    fn retain(&self, kept: &[EndingRun]) {
        let mut recorded = self.recorded.lock().expect("no holder panics");
        recorded.retain(|key, _| kept.iter().any(|run| key_of(run) == *key));
    }
}

fn key_of(run: &EndingRun) -> RunKey {
    RunKey {
        instance: run.instance.clone(),
        started_at_ms: run.started_at_ms,
    }
}

impl Mesh {
    /// Sets that the deployment has a log of ending runs, and whether it may hold some from before the
    /// start of this process.
    pub fn set_run_log(&self, has_earlier_records: bool) {
        let state = match has_earlier_records {
            true => RunLogState::Unread,
            false => RunLogState::Read,
        };
        *self.run_records.log_state.lock().expect("no holder panics") = state;
    }

    /// Returns whether this node knows all ends of runs that were acknowledged before it started, as
    /// far as the deployment has a log of them.
    pub(crate) fn knows_recorded_runs(&self) -> bool {
        self.run_records.log_state() != RunLogState::Unread
    }

    /// Merges the records in the log, which were read for the first time since the process started.
    pub fn restore_ending_runs(&self, page: &EndingRunPage) {
        let own_id = self.members().own().node_id.clone();
        self.merge_ending_runs(&own_id, &page.runs);
        let is_own = |run: &&EndingRun| run.node_id == own_id;
        let own_runs: Vec<_> = page.runs.iter().filter(is_own).cloned().collect();
        log::info!(
            "ending runs read from the log count={} own_count={}",
            page.runs.len(),
            own_runs.len()
        );
        *self.run_records.log_state.lock().expect("no holder panics") = RunLogState::Read;
        self.run_records.insert(&own_runs, page.era);
    }

    /// Returns the ending runs of the own target that the log may lack.
    pub fn unrecorded_runs(&self) -> Vec<EndingRun> {
        let era = self.applied_offset().era();
        let members = self.members();
        let own_id = &members.own().node_id;
        let mut runs = members.ending_runs().reports_on(own_id, Instant::now());
        drop(members);
        self.run_records.retain(&runs);
        runs.retain(|run| !self.run_records.holds(run, era));
        runs
    }

    /// Records that the log of `era` holds the ends of runs of the own target.
    pub fn mark_recorded(&self, runs: &[EndingRun], era: LogEra) {
        self.run_records.insert(runs, era);
    }

    /// Returns a watch that changes whenever there may be a run to record.
    pub(crate) fn watch_unrecorded_runs(&self) -> watch::Receiver<u64> {
        self.run_records.wanted.subscribe()
    }

    /// Waits until the log holds what is known of the end of the instance beside this node. Returns
    /// whether it does at the deadline, or the deployment has no log.
    pub async fn wait_until_recorded(&self, instance: &str, deadline: Instant) -> bool {
        let mut changes = self.run_records.watch();
        loop {
            changes.borrow_and_update();
            if self.is_recorded(instance) {
                return true;
            }
            let changed = tokio::time::timeout_at(deadline.into(), changes.changed()).await;
            if changed.is_err() {
                return self.is_recorded(instance);
            }
        }
    }

    fn is_recorded(&self, instance: &str) -> bool {
        if self.run_records.log_state() == RunLogState::Absent {
            return true;
        }
        let unrecorded = self.unrecorded_runs();
        unrecorded.iter().all(|run| run.instance != instance)
    }
}
