//! Crash reports: what this node observed, and which reports each peer has.

use std::time::Instant;

use figway_admission::ReportBatch;
use figway_types::{
    Fingerprint,
    NodeId, //
};

use super::feed::FeedProgress;
use super::Mesh;
use crate::rpc::{
    FeedAck,
    FeedRange,
    Gossip, //
};

/// Largest number of reports in one message.
const REPORT_MAX_COUNT: usize = 64;

/// Reports for a peer, with their place among this node's reports.
#[derive(Debug, Default)]
pub(super) struct ReportNews {
    pub(super) batch: ReportBatch,
    pub(super) range: Option<FeedRange>,
    pub(super) ack: Option<FeedAck>,
}

impl Mesh {
    /// Records that a target crashed while it ran a request with the fingerprint, as this node or the
    /// node beside the target observed. Peers are told at once.
    pub fn record_crash(&self, fingerprint: Fingerprint, crash_id: u64) {
        let now = Instant::now();
        let mut quarantine = self.quarantine();
        if !quarantine.record_crash(fingerprint, crash_id, now) {
            return;
        }
        let sequence = quarantine.own_sequence();
        let quarantined = quarantine.is_quarantined(fingerprint, now);
        drop(quarantine);
        log::info!(
            "crash reported fingerprint={:016x} crash={crash_id:016x} sequence={sequence} \
             quarantined={quarantined}",
            fingerprint.0
        );
        self.publish_own_report(sequence);
    }

    /// Takes a crash back, since the run that was taken for ended answered again. Peers are told at
    /// once.
    pub fn withdraw_crash(&self, fingerprint: Fingerprint, crash_id: u64) {
        let mut quarantine = self.quarantine();
        if !quarantine.withdraw_crash(fingerprint, crash_id, Instant::now()) {
            return;
        }
        let sequence = quarantine.last_sequence();
        drop(quarantine);
        log::info!(
            "crash report withdrawn fingerprint={:016x} crash={crash_id:016x} sequence={sequence}",
            fingerprint.0
        );
        self.publish_own_report(sequence);
    }

    /// Records that the target beside this node answered a request with the fingerprint. Peers are
    /// told if crashes are reported of it.
    pub fn record_answer(&self, fingerprint: Fingerprint, run_id: u64) {
        let mut quarantine = self.quarantine();
        if !quarantine.record_answer(fingerprint, run_id, Instant::now()) {
            return;
        }
        let sequence = quarantine.own_sequence();
        drop(quarantine);
        log::info!(
            "survival reported fingerprint={:016x} sequence={sequence}",
            fingerprint.0
        );
        self.publish_own_report(sequence);
    }

    /// Returns the reports for a peer, and counts them as sent.
    pub(super) fn reports_for(&self, receiver: &NodeId) -> ReportNews {
        let quarantine = self.quarantine();
        let mut all = self.report_progress.lock().expect("no holder panics");
        let progress = all.entry(receiver.clone()).or_default();
        let ack = progress.ack();
        if progress.acked() >= quarantine.last_sequence() {
            return ReportNews {
                ack,
                ..ReportNews::default()
            };
        }
        let batch = quarantine.reports_after(progress.acked(), REPORT_MAX_COUNT, Instant::now());
        ReportNews {
            range: Some(progress.send_up_to(self.feed_epoch, batch.last_sequence)),
            batch,
            ack,
        }
    }

    /// Merges the crash reports in a peer's gossip, and what it acknowledges of this node's.
    pub(super) fn merge_reports(&self, sender: &NodeId, gossip: &Gossip) {
        let now = Instant::now();
        let mut quarantine = self.quarantine();
        let own_sequence = quarantine.own_sequence();
        let mut new_count = 0;
        for report in &gossip.crashes {
            new_count += usize::from(quarantine.merge_crash(report, now));
        }
        for report in &gossip.survivals {
            new_count += usize::from(quarantine.merge_survival(report, now));
        }
        for report in &gossip.withdrawals {
            new_count += usize::from(quarantine.merge_withdrawal(report, now));
        }
        let last_sequence = quarantine.last_sequence();
        // A peer's report of a crash brings out what this node has counted of the request.
        let made_sequence = quarantine.own_sequence();
        drop(quarantine);
        if made_sequence > own_sequence {
            self.publish_own_report(made_sequence);
        }
        let mut all = self.report_progress.lock().expect("no holder panics");
        let progress = all.entry(sender.clone()).or_default();
        progress.receive(self.feed_epoch, gossip.report_ack, gossip.report_range);
        drop(all);
        if new_count > 0 {
            log::info!("crash reports merged from={sender} new={new_count} last={last_sequence}");
            self.notify_gossip();
        }
    }

    /// Returns whether there are reports that were not sent to the peer yet.
    pub(super) fn has_reports_for(&self, peer: &NodeId) -> bool {
        let last_sequence = self.quarantine().last_sequence();
        self.reports_sent_to(peer) < last_sequence
    }

    /// Returns whether there are reports that this node observed itself and has not sent to the peer
    /// yet.
    pub(super) fn has_own_reports_for(&self, peer: &NodeId) -> bool {
        let own_sequence = *self.own_report.lock().expect("no holder panics");
        self.reports_sent_to(peer) < own_sequence
    }

    fn reports_sent_to(&self, peer: &NodeId) -> u64 {
        let all = self.report_progress.lock().expect("no holder panics");
        all.get(peer).map_or(0, FeedProgress::sent)
    }

    fn publish_own_report(&self, sequence: u64) {
        let mut own_sequence = self.own_report.lock().expect("no holder panics");
        *own_sequence = (*own_sequence).max(sequence);
        drop(own_sequence);
        self.notify_gossip();
    }
}
