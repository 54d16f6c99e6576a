//! Runs of targets that have begun to end.
//!
//! The reports stand beside the member records and not in them, since a node that starts again
//! replaces its record without knowing what it acknowledged before. Merging keeps the furthest stage
//! of the latest start of each instance, so that the order of the reports does not matter, nor how
//! often one arrives. Each change has a sequence number, so that peers can be sent exactly those that
//! they lack.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    EndingRun,
    FastMap,
    NodeId,
    RunStage,
    Target, //
};

/// Time for which a report is kept. A heartbeat that was sent before the run ended arrives long
/// before, since it is delayed by seconds.
const RETENTION: Duration = Duration::from_secs(1_800);

/// Largest number of instances of one node's target that are kept. The earliest starts are dropped
/// first.
const INSTANCE_MAX_COUNT: usize = 8;

#[derive(Clone, Debug)]
struct Entry {
    node_id: NodeId,
    instance: String,
    started_at_ms: u64,
    stage: RunStage,
    expires_at: Instant,
}

/// Batch of reports for a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndingRunBatch {
    /// The reports, in the order in which they changed.
    pub runs: Vec<EndingRun>,
    /// Sequence number of the last report that the receiver has with this batch, if it has all up to
    /// the one after which the batch begins.
    pub last_sequence: u64,
}

/// Ending runs of all nodes' targets.
#[derive(Clone, Debug, Default)]
pub struct EndingRuns {
    /// Reports by the sequence number of their last change.
    entries: BTreeMap<u64, Entry>,
    /// Sequence numbers of the reports on each node's target.
    sequences: FastMap<NodeId, Vec<u64>>,
    last_sequence: u64,
}

impl EndingRuns {
    /// Returns the stage that a run of the target beside `node_id` has reached, or `None` if it is
    /// ready or unknown. A run that started before a known one of the same instance has departed.
    pub fn stage(&self, node_id: &NodeId, target: &Target) -> Option<RunStage> {
        let entry = self.entry_of(node_id, &target.instance)?.1;
        if target.started_at_ms == 0 || target.started_at_ms > entry.started_at_ms {
            return None;
        }
        if target.started_at_ms < entry.started_at_ms {
            return Some(RunStage::Departed);
        }
        Some(entry.stage)
    }

    /// Returns a report on a run that ends now, which is kept for the whole retention period.
    pub fn new_report(
        node_id: &NodeId,
        instance: &str,
        started_at_ms: u64,
        stage: RunStage,
    ) -> EndingRun {
        EndingRun {
            node_id: node_id.clone(),
            instance: instance.to_owned(),
            started_at_ms,
            stage,
            left_ms: RETENTION.as_millis() as u64,
        }
    }

    /// Returns the number of reports.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the sequence number of the newest change; 0 if there was none yet.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the sequence number of the last change of the report on a run of the target beside
    /// `node_id`.
    pub fn sequence_of(&self, node_id: &NodeId, instance: &str) -> Option<u64> {
        Some(self.entry_of(node_id, instance)?.0)
    }

    /// Returns the reports on the target beside `node_id`.
    pub fn reports_on(&self, node_id: &NodeId, now: Instant) -> Vec<EndingRun> {
        let mut reports = Vec::new();
        for sequence in self.sequences.get(node_id).into_iter().flatten() {
            reports.push(report(&self.entries[sequence], now));
        }
        reports
    }

    /// Returns the oldest changes after a sequence number, up to `max_count`.
    pub fn changes_after(&self, sequence: u64, max_count: usize, now: Instant) -> EndingRunBatch {
        let mut runs = Vec::new();
        let mut last_sequence = sequence;
        let after = (Bound::Excluded(sequence), Bound::Unbounded);
        for (changed, entry) in self.entries.range(after) {
            if runs.len() >= max_count {
                return EndingRunBatch {
                    runs,
                    last_sequence,
                };
            }
            runs.push(report(entry, now));
            last_sequence = *changed;
        }
        EndingRunBatch {
            runs,
            last_sequence: self.last_sequence,
        }
    }

    /// Merges a report. Returns whether it tells more than was known.
    pub(crate) fn merge(&mut self, report: &EndingRun, now: Instant) -> bool {
        let expires_at = now + Duration::from_millis(report.left_ms).min(RETENTION);
        // A target that names neither can't be told from its next run.
        let is_identified = !report.instance.is_empty() && report.started_at_ms > 0;
        if expires_at <= now || !is_identified {
            return false;
        }
        if let Some((sequence, known)) = self.entry_of(&report.node_id, &report.instance) {
            let known_end = (known.started_at_ms, known.stage);
            if known_end >= (report.started_at_ms, report.stage) {
                return false;
            }
            self.remove(sequence);
        }
        self.last_sequence += 1;
        let entry = Entry {
            node_id: report.node_id.clone(),
            instance: report.instance.clone(),
            started_at_ms: report.started_at_ms,
            stage: report.stage,
            expires_at,
        };
        self.entries.insert(self.last_sequence, entry);
        let sequences = self.sequences.entry(report.node_id.clone()).or_default();
        sequences.push(self.last_sequence);
        self.drop_earliest(&report.node_id);
        true
    }

    /// Removes the reports that have expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (sequence, entry) in &self.entries {
            if entry.expires_at <= now {
                expired.push(*sequence);
            }
        }
        for sequence in expired {
            self.remove(sequence);
        }
    }

    fn entry_of(&self, node_id: &NodeId, instance: &str) -> Option<(u64, &Entry)> {
        for sequence in self.sequences.get(node_id)? {
            let entry = &self.entries[sequence];
            if entry.instance == instance {
                return Some((*sequence, entry));
            }
        }
        None
    }

    /// Drops the report on the earliest start at `node_id` if there are too many.
    fn drop_earliest(&mut self, node_id: &NodeId) {
        let sequences = &self.sequences[node_id];
        if sequences.len() <= INSTANCE_MAX_COUNT {
            return;
        }
        let earliest = sequences
            .iter()
            .min_by_key(|sequence| self.entries[sequence].started_at_ms);
        if let Some(earliest) = earliest.copied() {
            self.remove(earliest);
        }
    }

    fn remove(&mut self, sequence: u64) {
        let Some(entry) = self.entries.remove(&sequence) else {
            return;
        };
        let Some(sequences) = self.sequences.get_mut(&entry.node_id) else {
            return;
        };
        sequences.retain(|known| *known != sequence);
        if sequences.is_empty() {
            self.sequences.remove(&entry.node_id);
        }
    }
}

fn report(entry: &Entry, now: Instant) -> EndingRun {
    EndingRun {
        node_id: entry.node_id.clone(),
        instance: entry.instance.clone(),
        started_at_ms: entry.started_at_ms,
        stage: entry.stage,
        left_ms: entry.expires_at.saturating_duration_since(now).as_millis() as u64,
    }
}
