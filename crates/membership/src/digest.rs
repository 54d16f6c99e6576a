//! Digest of a member table in buckets, so that two tables find what differs.

use figway_types::{
    mix,
    stable_hash,
    Member,
    MemberState,
    NodeId, //
};

/// Buckets that members are spread over by their names.
pub const BUCKET_COUNT: usize = 256;

/// Hash per bucket of the members that have not left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    buckets: Vec<u32>,
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            buckets: vec![0; BUCKET_COUNT],
        }
    }
}

impl Digest {
    /// Takes `member` in, or out if it is in.
    pub(crate) fn toggle(&mut self, member: &Member) {
        if member.state == MemberState::Left {
            return;
        }
        let name_hash = stable_hash(&member.node_id.0);
        let state_code = member.incarnation * 8 + member.state as u64;
        let rank_hash = mix(mix(member.generation_ms).wrapping_add(state_code));
        self.buckets[bucket_of(&member.node_id)] ^= mix(name_hash.wrapping_add(rank_hash)) as u32;
    }

    /// Returns one hash of all buckets.
    pub fn total(&self) -> u64 {
        let mut total = 0;
        for bucket in &self.buckets {
            total = mix(total ^ u64::from(*bucket));
        }
        total
    }

    /// Returns the hash of each bucket.
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// Returns the buckets whose hash differs from `theirs`.
    pub fn differing_buckets(&self, theirs: &[u32]) -> Vec<usize> {
        let mut differing = Vec::new();
        for (index, bucket) in self.buckets.iter().enumerate() {
            if theirs.get(index) != Some(bucket) {
                differing.push(index);
            }
        }
        differing
    }
}

/// Returns the bucket of a node.
pub(crate) fn bucket_of(node_id: &NodeId) -> usize {
    (stable_hash(&node_id.0) % BUCKET_COUNT as u64) as usize
}
