//! What follows from the end of a run of the local target: reports of what it had at work, and which
//! requests are refused for such reports.

use std::time::Instant;

use figway_types::{
    Fingerprint,
    Target, //
};

use crate::plane::DataPlane;
use crate::run_watch::{
    EndedRun,
    RunEndEvidence,
    RunKey, //
};

impl DataPlane {
    /// Returns the identity of the target's run. A target that names no instance is identified by its
    /// host and by how often it was announced anew.
    pub(crate) fn run_key(&self, target: &Target) -> RunKey {
        if target.is_identified() {
            return RunKey {
                instance: target.instance.clone(),
                started_at_ms: target.started_at_ms,
            };
        }
        RunKey {
            instance: self.mesh.members().own().node_id.0.clone(),
            started_at_ms: self.target_watch.run_count(),
        }
    }

    /// Returns whether requests with the fingerprint are refused because they crash targets, and counts
    /// the one that is.
    pub(crate) fn refuses_as_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let is_quarantined = self
            .mesh
            .quarantine()
            .is_quarantined(fingerprint, Instant::now());
        if is_quarantined {
            self.metrics.count("quarantined");
        }
        is_quarantined
    }

    /// Records that the run of the target with this number has ended. If that was not planned, what
    /// it had at work is reported.
    pub(crate) fn record_run_end(&self, run_number: u64, evidence: RunEndEvidence) {
        let Some(ended) = self.run_watch.end(run_number, Instant::now()) else {
            return;
        };
        self.target_watch.mark_lost(&self.mesh, evidence.name());
        self.report_run_end(&ended, evidence);
    }

    /// Reports what an ended run had at work, unless its end was planned.
    pub(crate) fn report_run_end(&self, ended: &EndedRun, evidence: RunEndEvidence) {
        if ended.adds_nothing() {
            return;
        }
        let target = &ended.target;
        let planned = target.draining || self.mesh.own_run_stage(target).is_some();
        log::warn!(
            "target run ended instance={} started_at_ms={} evidence={} planned={planned} \
             suspects={} requests={}",
            target.instance,
            target.started_at_ms,
            evidence.name(),
            ended.suspects.len(),
            ended.format_requests(),
        );
        if planned {
            self.run_watch.forget_crash();
            return;
        }
        for suspect in &ended.suspects {
            let crash_id = ended.crash_id(suspect.fingerprint);
            self.mesh.record_crash(suspect.fingerprint, crash_id);
        }
    }

    /// Takes the crash reports of the present run back, if a call sent to it since answered.
    pub(crate) fn withdraw_crashes(&self, run_number: u64) {
        let Some(revived) = self.run_watch.take_revived(run_number) else {
            return;
        };
        for suspect in &revived.suspects {
            let crash_id = revived.crash_id(suspect.fingerprint);
            self.mesh.withdraw_crash(suspect.fingerprint, crash_id);
        }
    }
}
