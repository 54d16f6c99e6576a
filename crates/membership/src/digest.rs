//! Digest of a member table by bucket, used to find the differences between two tables.

use figway_types::{
    mix,
    stable_hash,
    Member,
    MemberState,
    NodeId, //
};

/// Number of buckets over which members are distributed by the hash of their names.
pub const BUCKET_COUNT: usize = 256;

/// Hash of each bucket's members, except those that have left.
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
    /// Adds `member` to the digest, or removes it if the digest contains it; ignores a member that
    /// has left.
    pub(crate) fn toggle(&mut self, member: &Member) {
        if member.state == MemberState::Left {
            return;
        }
        let name_hash = stable_hash(&member.node_id.0);
        let state_code = member.incarnation * 8 + member.state as u64;
        let rank_hash = mix(mix(member.generation_ms).wrapping_add(state_code));
        self.buckets[bucket_of(&member.node_id)] ^= mix(name_hash.wrapping_add(rank_hash)) as u32;
    }

    /// Returns one hash over all buckets.
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

    /// Returns the indexes of the buckets whose hash differs from that in `peer_buckets`.
    pub fn differing_buckets(&self, peer_buckets: &[u32]) -> Vec<usize> {
        let mut differing = Vec::new();
        for (index, bucket) in self.buckets.iter().enumerate() {
            if peer_buckets.get(index) != Some(bucket) {
                differing.push(index);
            }
        }
        differing
    }
}

/// Returns the index of the bucket that a node belongs to.
pub(crate) fn bucket_of(node_id: &NodeId) -> usize {
    (stable_hash(&node_id.0) % BUCKET_COUNT as u64) as usize
}
