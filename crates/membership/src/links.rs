//! Which peers a node keeps links to.

use figway_types::{
    mix,
    stable_hash,
    Member,
    MemberState,
    NodeId, //
};

/// Number of links by distance.
#[derive(Clone, Copy, Debug)]
pub struct LinkCounts {
    /// Links within the availability zone.
    pub zone_count: usize,
    /// Links to other zones of the region.
    pub region_count: usize,
    /// Links to other regions.
    pub other_region_count: usize,
}

/// Chooses the peers of `own` at random by `seed`; a new seed rotates them.
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
    let mut left = counts;
    let mut chosen = Vec::new();
    for (_, member) in ranked {
        let room = if member.zone == own.zone {
            &mut left.zone_count
        } else if member.region == own.region {
            &mut left.region_count
        } else {
            &mut left.other_region_count
        };
        if *room == 0 {
            continue;
        }
        *room -= 1;
        chosen.push(&member.node_id);
    }
    chosen
}
