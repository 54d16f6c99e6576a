//! Progress of a numbered feed between this node and one peer.
//!
//! Each node numbers what it has to tell. A message to a peer holds what comes after the number that
//! the peer acknowledged, so that all of it arrives, however much there is and in whatever order nodes
//! learn of it. Numbers are valid in the epoch of one process.

use crate::rpc::{
    FeedAck,
    FeedRange, //
};

/// What was exchanged with one peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FeedProgress {
    /// Number of this node's last item that the peer acknowledged.
    acked: u64,
    /// Number of this node's last item that was sent to the peer.
    sent: u64,
    /// What this node merged from the peer.
    merged: FeedAck,
}

impl FeedProgress {
    /// Returns the number of the last item that the peer acknowledged.
    pub(super) fn acked(&self) -> u64 {
        self.acked
    }

    /// Returns the number of the last item that was sent to the peer.
    pub(super) fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns what to acknowledge to the peer, if anything was merged.
    pub(super) fn ack(&self) -> Option<FeedAck> {
        Some(self.merged).filter(|merged| *merged != FeedAck::default())
    }

    /// Counts the items up to `last` as sent and returns their place in the feed of `epoch`.
    pub(super) fn send_up_to(&mut self, epoch: u64, last: u64) -> FeedRange {
        self.sent = last;
        FeedRange {
            epoch,
            after: self.acked,
            last,
        }
    }

    /// Records what the peer acknowledged of the feed of `epoch`, and the place of its own items that
    /// were merged.
    pub(super) fn receive(&mut self, epoch: u64, ack: Option<FeedAck>, range: Option<FeedRange>) {
        // A peer that restarted acknowledges nothing, or an epoch that it still has from before.
        self.acked = match ack {
            Some(ack) if ack.epoch == epoch => ack.last,
            Some(_) | None => 0,
        };
        if let Some(range) = range {
            self.merged.extend(range);
        }
    }
}
