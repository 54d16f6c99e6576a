//! Limit on the targets of a large service that one node calls, so that the number of connections
//! does not grow with both the callers and the targets.

use figway_types::{
    rendezvous_weight,
    NodeId, //
};

use crate::picker::Candidate;

/// Truncates `candidates` to the `max_count` nearest for the node `own`, sorted by distance; 0
/// keeps all. Candidates at the same distance are ordered by rendezvous hash, so that a target that
/// joins or leaves replaces one candidate on a few nodes only.
pub fn keep_nearest(own: &NodeId, candidates: &mut Vec<Candidate<'_>>, max_count: u32) {
    candidates.sort_by_cached_key(|candidate| {
        let weight = rendezvous_weight(&own.0, &candidate.node_id.0);
        (candidate.distance, u64::MAX - weight)
    });
    if max_count > 0 {
        candidates.truncate(max_count as usize);
    }
}
