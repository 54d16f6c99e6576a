//! Claims of keys as a fold over one partition's stream: the first claim by offset holds a key.

use figway_types::{
    FastMap,
    Offset, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::rpc::{
    Claim,
    ClaimVerdict, //
};

/// Claims that one record of the stream carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Random id of the batch, by which its writer finds it after a lost answer.
    pub batch_id: u64,
    /// Claims in the order in which they came.
    pub claims: Vec<Claim>,
}

#[derive(Clone, Debug)]
struct Holder {
    claim: Claim,
    expires_at_ms: u64,
}

/// Who holds which key.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    holders: FastMap<String, Holder>,
    next_offset: Offset,
    remember_ms: u64,
    forget_at_ms: u64,
}

impl ClaimTable {
    /// Starts empty at the beginning of the stream. A holder is remembered for `remember_ms` of the
    /// log's clock.
    pub fn new(remember_ms: u64) -> Self {
        Self {
            holders: FastMap::default(),
            next_offset: Offset(1),
            remember_ms,
            forget_at_ms: 0,
        }
    }

    /// Returns the offset of the record that is to be folded next.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the number of keys that are remembered.
    pub fn key_count(&self) -> usize {
        self.holders.len()
    }

    /// Goes on at `first_offset` after older records have expired.
    pub fn skip_to(&mut self, first_offset: Offset) {
        self.next_offset = self.next_offset.max(first_offset);
    }

    /// Folds the batch at `offset`; one that was folded before is ignored.
    pub fn apply(&mut self, offset: Offset, appended_at_ms: u64, batch: &ClaimBatch) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset.next();
        for claim in &batch.claims {
            self.take(claim, appended_at_ms);
        }
        self.forget(appended_at_ms);
    }

    /// Returns whether `claim` holds its key. `None` means that no claim of the key is known.
    pub fn verdict(&self, claim: &Claim) -> Option<ClaimVerdict> {
        let holder = self.holders.get(&claim.key)?;
        if holder.claim.attempt_id == claim.attempt_id {
            return Some(ClaimVerdict::Won);
        }
        Some(ClaimVerdict::Lost(Box::new(holder.claim.clone())))
    }

    fn take(&mut self, claim: &Claim, appended_at_ms: u64) {
        if let Some(holder) = self.holders.get(&claim.key) {
            let follows = claim.after_attempt_id == Some(holder.claim.attempt_id);
            if holder.expires_at_ms > appended_at_ms && !follows {
                return;
            }
        }
        let holder = Holder {
            claim: claim.clone(),
            expires_at_ms: appended_at_ms + self.remember_ms,
        };
        self.holders.insert(claim.key.clone(), holder);
    }

    fn forget(&mut self, now_ms: u64) {
        if now_ms < self.forget_at_ms {
            return;
        }
        self.holders
            .retain(|_, holder| holder.expires_at_ms > now_ms);
        self.forget_at_ms = now_ms + self.remember_ms / 16 + 1;
    }
}
