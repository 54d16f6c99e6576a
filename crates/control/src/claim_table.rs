//! Table of claimed keys, a fold over one partition's stream: the first claim by offset holds a
//! key.

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

/// Claims in one record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Random id of the batch.
    pub batch_id: u64,
    /// Claims in the order of their arrival.
    pub claims: Vec<Claim>,
}

#[derive(Clone, Debug)]
struct Holder {
    claim: Claim,
    expires_at_ms: u64,
}

/// Holders of the keys of one partition.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    holders: FastMap<String, Holder>,
    next_offset: Offset,
    remember_ms: u64,
    cleanup_at_ms: u64,
}

impl ClaimTable {
    /// Creates an empty table at the beginning of the stream. A claim holds its key for
    /// `remember_ms` by the log's clock.
    pub fn new(remember_ms: u64) -> Self {
        Self {
            holders: FastMap::default(),
            next_offset: Offset(1),
            remember_ms,
            cleanup_at_ms: 0,
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the number of keys with a holder, including expired holders that are not removed
    /// yet.
    pub fn key_count(&self) -> usize {
        self.holders.len()
    }

    /// Returns the claims of this table whose keys have no holder in `other`.
    pub fn claims_missing_from(&self, other: &ClaimTable) -> Vec<Claim> {
        let mut missing = Vec::new();
        for (key, holder) in &self.holders {
            if !other.holders.contains_key(key) {
                missing.push(holder.claim.clone());
            }
        }
        missing
    }

    /// Skips the records before `first_offset`, which have expired. Never goes back to an earlier
    /// offset.
    pub fn skip_to(&mut self, first_offset: Offset) {
        self.next_offset = self.next_offset.max(first_offset);
    }

    /// Applies the batch at `offset`. A batch that was applied before is ignored.
    pub fn apply(&mut self, offset: Offset, appended_at_ms: u64, batch: &ClaimBatch) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset.next();
        for claim in &batch.claims {
            self.apply_claim(claim, appended_at_ms);
        }
        self.remove_expired(appended_at_ms);
    }

    /// Returns whether `claim` holds its key, or `None` if the key has no holder.
    pub fn verdict(&self, claim: &Claim) -> Option<ClaimVerdict> {
        let holder = self.holders.get(&claim.key)?;
        if holder.claim.attempt_id == claim.attempt_id {
            return Some(ClaimVerdict::Won);
        }
        Some(ClaimVerdict::Lost(Box::new(holder.claim.clone())))
    }

    fn apply_claim(&mut self, claim: &Claim, appended_at_ms: u64) {
        if let Some(holder) = self.holders.get(&claim.key) {
            let replaces_holder = claim.after_attempt_id == Some(holder.claim.attempt_id);
            if holder.expires_at_ms > appended_at_ms && !replaces_holder {
                return;
            }
        }
        let holder = Holder {
            claim: claim.clone(),
            expires_at_ms: appended_at_ms + self.remember_ms,
        };
        self.holders.insert(claim.key.clone(), holder);
    }

    fn remove_expired(&mut self, now_ms: u64) {
        if now_ms < self.cleanup_at_ms {
            return;
        }
        self.holders
            .retain(|_, holder| holder.expires_at_ms > now_ms);
        self.cleanup_at_ms = now_ms + self.remember_ms / 16 + 1;
    }
}
