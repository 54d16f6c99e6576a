//! Compares merging of updates with a naive last-writer-wins table.

use std::collections::BTreeMap;
use std::time::{
    Duration,
    Instant, //
};

use figway_membership::{
    choose_links,
    LinkCounts,
    MemberTable,
    MergeOutcome, //
};
use figway_test_support::fixed_seed_config;
use figway_types::{
    Member,
    MemberState,
    NodeId, //
};
use proptest::prelude::*;

const STATES: [MemberState; 4] = [
    MemberState::Live,
    MemberState::Suspect,
    MemberState::Draining,
    MemberState::Left,
];

fn member(name: u8, generation_ms: u64, incarnation: u64, state: MemberState) -> Member {
    let zone = ["lausanne", "geneve", "zuerich", "basel"][usize::from(name) % 4];
    Member {
        node_id: NodeId(format!("node-{name}")),
        generation_ms,
        incarnation,
        state,
        region: if name % 4 < 2 {
            "westschweiz"
        } else {
            "nordschweiz"
        }
        .to_owned(),
        zone: zone.to_owned(),
        control_address: format!("127.0.0.1:{}", 1_000 + u16::from(name)),
        call_address: format!("127.0.0.1:{}", 2_000 + u16::from(name)),
        log_round_trip_ms: 0,
        link_mbps: 0,
        target: None,
    }
}

fn update() -> impl Strategy<Value = Member> {
    (1..8_u8, 0..3_u64, 0..4_u64, 0..4_usize).prop_map(
        |(name, generation_ms, incarnation, state)| {
            member(name, generation_ms, incarnation, STATES[state])
        },
    )
}

fn table(now: Instant) -> MemberTable {
    MemberTable::new(member(0, 1, 0, MemberState::Live), now)
}

fn other_members(table: &MemberTable) -> BTreeMap<String, Member> {
    let mut map = BTreeMap::new();
    for member in table.members() {
        if member.node_id != table.own().node_id {
            map.insert(member.node_id.0.clone(), member.clone());
        }
    }
    map
}

proptest! {
    #![proptest_config(fixed_seed_config(44, 256))]

    #[test]
    fn merging_in_any_order_keeps_the_last_writer(
        updates in prop::collection::vec(update(), 0..60),
        seed in 0..u64::MAX,
    ) {
        let now = Instant::now();
        let mut naive: BTreeMap<String, Member> = BTreeMap::new();
        for update in &updates {
            let known = naive.get(&update.node_id.0);
            if known.is_none_or(|known| known.rank() < update.rank()) {
                naive.insert(update.node_id.0.clone(), update.clone());
            }
        }
        let mut forward = table(now);
        for update in &updates {
            forward.merge(update, now);
        }
        let mut shuffled = updates.clone();
        shuffled.sort_by_key(|update| {
            figway_types::mix(
                seed ^ update.generation_ms ^ figway_types::stable_hash(&update.node_id.0),
            )
        });
        let mut other = table(now);
        for update in shuffled.iter().chain(&updates) {
            other.merge(update, now);
        }
        prop_assert_eq!(&other_members(&forward), &naive);
        prop_assert_eq!(&other_members(&other), &naive);
        prop_assert_eq!(forward.digest(), other.digest());
    }

    #[test]
    fn exchanging_differing_buckets_makes_two_tables_equal(
        first in prop::collection::vec(update(), 0..40),
        second in prop::collection::vec(update(), 0..40),
    ) {
        let now = Instant::now();
        let (mut left, mut right) = (table(now), table(now));
        for update in &first {
            left.merge(update, now);
        }
        for update in &second {
            right.merge(update, now);
        }
        let differing = left.digest().differing_buckets(right.digest().buckets());
        for update in right.members_in_buckets(&differing) {
            left.merge(&update, now);
        }
        for update in left.members_in_buckets(&differing) {
            right.merge(&update, now);
        }
        prop_assert_eq!(left.digest(), right.digest());
        // Members that have left are not in the digest; no calls are routed to them.
        let present = |table: &MemberTable| {
            let mut map = other_members(table);
            map.retain(|_, member| member.state != MemberState::Left);
            map
        };
        prop_assert_eq!(present(&left), present(&right));
    }

    #[test]
    fn a_node_refutes_an_update_that_outranks_it_with_a_higher_incarnation(
        generation_ms in 0..4_u64,
        incarnation in 0..10_u64,
        state in 0..4_usize,
    ) {
        let now = Instant::now();
        let mut members = table(now);
        let suspicion = member(0, generation_ms, incarnation, STATES[state]);
        let outranked = suspicion.rank() > members.own().rank();
        let merge = members.merge(&suspicion, now);
        prop_assert_eq!(merge == MergeOutcome::Refuted, outranked);
        prop_assert_eq!(members.own().state, MemberState::Live);
        prop_assert!(members.own().rank() > suspicion.rank() || !outranked);
    }
}

#[test]
fn a_suspect_of_a_reachable_zone_is_marked_left_after_the_timeout() {
    let now = Instant::now();
    let mut members = table(now);
    members.merge(&member(4, 1, 0, MemberState::Live), now);
    members.merge(&member(8, 1, 0, MemberState::Live), now);
    members.suspect(&NodeId("node-4".to_owned()), now);
    members.expire(now + Duration::from_secs(4));
    assert_eq!(
        members.get(&NodeId("node-4".to_owned())).unwrap().state,
        MemberState::Suspect
    );
    members.expire(now + Duration::from_secs(6));
    assert_eq!(
        members.get(&NodeId("node-4".to_owned())).unwrap().state,
        MemberState::Left
    );
}

#[test]
fn suspects_of_a_zone_without_live_members_are_kept_for_an_hour() {
    let now = Instant::now();
    let mut members = table(now);
    for name in [2, 6] {
        members.merge(&member(name, 1, 0, MemberState::Live), now);
        members.suspect(&NodeId(format!("node-{name}")), now);
    }
    members.expire(now + Duration::from_secs(3_600));
    assert_eq!(
        members.get(&NodeId("node-2".to_owned())).unwrap().state,
        MemberState::Suspect
    );
}

#[test]
fn an_update_that_suspects_its_receiver_comes_first() {
    let now = Instant::now();
    let mut members = table(now);
    let suspected = NodeId("node-1".to_owned());
    members.merge(&member(1, 1, 0, MemberState::Live), now);
    members.suspect(&suspected, now);
    for name in 2..30 {
        members.merge(&member(name, 1, 0, MemberState::Live), now);
    }
    assert_eq!(
        members.take_pending_updates(&suspected, None, 4)[0].node_id,
        suspected
    );
}

#[test]
fn the_number_of_links_does_not_grow_with_the_mesh() {
    let now = Instant::now();
    let mut members = table(now);
    for name in 1..=200 {
        members.merge(&member(name, 1, 0, MemberState::Live), now);
    }
    let counts = LinkCounts {
        zone_count: 3,
        region_count: 2,
        other_region_count: 1,
    };
    for seed in 0..20 {
        assert_eq!(
            choose_links(members.own(), members.members(), counts, seed).len(),
            6
        );
    }
}
