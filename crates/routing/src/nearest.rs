//! Stable share of a large service's targets, so that connections don't grow with both fleets.

use figway_types::{
    rendezvous_weight,
    NodeId, //
};

use crate::picker::Candidate;

/// Keeps at most `max_count` of `candidates` for `own`: the nearest first, among equals by
/// rendezvous hash, so that a target that comes or goes changes one place of few nodes' shares.
/// 0 keeps all. The result is sorted by distance.
pub fn keep_nearest(own: &NodeId, candidates: &mut Vec<Candidate<'_>>, max_count: u32) {
    candidates.sort_by_cached_key(|candidate| {
        let weight = rendezvous_weight(&own.0, &candidate.node_id.0);
        (candidate.distance, u64::MAX - weight)
    });
    if max_count > 0 {
        candidates.truncate(max_count as usize);
    }
}
