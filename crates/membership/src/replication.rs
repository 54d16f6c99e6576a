//! Decides whether enough peers hold what this node has acknowledged, so that its own end loses
//! nothing.

use figway_types::{
    FastSet,
    Member,
    MemberState,
    NodeId, //
};

/// Number of peers that should hold it.
const REPLICA_COUNT: usize = 2;

/// Returns whether `holders` are as many peers of `own` as asked for, at least one of them in another
/// availability zone. If fewer peers are known, or no other zone has a live one, as many as there are.
pub fn is_replicated<'a>(
    own: &Member,
    members: impl Iterator<Item = &'a Member>,
    holders: &FastSet<NodeId>,
) -> bool {
    let (mut peer_count, mut holder_count) = (0, 0);
    let (mut other_zone_live, mut other_zone_holds) = (false, false);
    for member in members {
        if member.node_id == own.node_id {
            continue;
        }
        // Peers that are out of reach count, so that a node that is cut off does not promise alone
        // what they don't know.
        let is_known = member.state <= MemberState::Suspect;
        let holds = holders.contains(&member.node_id);
        peer_count += usize::from(is_known);
        holder_count += usize::from(holds);
        if member.zone != own.zone {
            other_zone_live |= member.state == MemberState::Live;
            other_zone_holds |= holds;
        }
    }
    holder_count >= REPLICA_COUNT.min(peer_count) && (other_zone_holds || !other_zone_live)
}
