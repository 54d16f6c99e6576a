//! Choice of the peers that a node keeps links to.

use figway_types::{
    mix,
    stable_hash,
    Member,
    MemberState,
    NodeId, //
};

/// Number of links to keep, by distance.
#[derive(Clone, Copy, Debug)]
pub struct LinkCounts {
    /// Links within the availability zone.
    pub zone_count: usize,
    /// Links to other zones of the region.
    pub region_count: usize,
    /// Links to other regions.
    pub other_region_count: usize,
}

/// Chooses the peers of `own` at random, determined by `seed`; a new seed rotates the peers.
/// Members that are draining or have left are not chosen.
pub fn choose_links<'a>(
    own: &Member,
    members: impl Iterator<Item = &'a Member>,
    counts: LinkCounts,
    seed: u64,
) -> Vec<&'a NodeId> {
    let mut ranked: Vec<(u64, &Member)> = Vec::new();
    for member in members {
        if member.node_id == own.node_id || member.state > MemberState::Suspect {
            continue;
        }
        ranked.push((mix(stable_hash(&member.node_id.0) ^ seed), member));
    }
    ranked.sort_unstable_by_key(|(weight, _)| *weight);
    let mut remaining = counts;
    let mut chosen = Vec::new();
    for (_, member) in ranked {
        let quota = if member.zone == own.zone {
            &mut remaining.zone_count
        } else if member.region == own.region {
            &mut remaining.region_count
        } else {
            &mut remaining.other_region_count
        };
        if *quota == 0 {
            continue;
        }
        *quota -= 1;
        chosen.push(&member.node_id);
    }
    chosen
}
