//! Merging of reports against a last-writer table.

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

fn report() -> impl Strategy<Value = Member> {
    (1..8_u8, 0..3_u64, 0..4_u64, 0..4_usize).prop_map(
        |(name, generation_ms, incarnation, state)| {
            member(name, generation_ms, incarnation, STATES[state])
        },
    )
}

fn table(now: Instant) -> MemberTable {
    MemberTable::new(member(0, 1, 0, MemberState::Live), now)
}

fn others(table: &MemberTable) -> BTreeMap<String, Member> {
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
    fn tables_equal_the_last_writer_in_any_order(
        reports in prop::collection::vec(report(), 0..60),
        seed in 0..u64::MAX,
    ) {
        let now = Instant::now();
        let mut naive: BTreeMap<String, Member> = BTreeMap::new();
        for report in &reports {
            let known = naive.get(&report.node_id.0);
            if known.is_none_or(|known| known.rank() < report.rank()) {
                naive.insert(report.node_id.0.clone(), report.clone());
            }
        }
        let mut forward = table(now);
        for report in &reports {
            forward.merge(report, now);
        }
        let mut shuffled = reports.clone();
        shuffled.sort_by_key(|report| {
            figway_types::mix(seed ^ report.generation_ms ^ figway_types::stable_hash(&report.node_id.0))
        });
        let mut other = table(now);
        for report in shuffled.iter().chain(&reports) {
            other.merge(report, now);
        }
        prop_assert_eq!(&others(&forward), &naive);
        prop_assert_eq!(&others(&other), &naive);
        prop_assert_eq!(forward.digest(), other.digest());
    }

    #[test]
    fn differing_buckets_even_two_tables_out(
        first in prop::collection::vec(report(), 0..40),
        second in prop::collection::vec(report(), 0..40),
    ) {
        let now = Instant::now();
        let (mut left, mut right) = (table(now), table(now));
        for report in &first {
            left.merge(report, now);
        }
        for report in &second {
            right.merge(report, now);
        }
        let differing = left.digest().differing_buckets(right.digest().buckets());
        for report in right.members_in_buckets(&differing) {
            left.merge(&report, now);
        }
        for report in left.members_in_buckets(&differing) {
            right.merge(&report, now);
        }
        prop_assert_eq!(left.digest(), right.digest());
        // Those that left are no part of the digest; nobody routes to them.
        let present = |table: &MemberTable| {
            let mut map = others(table);
            map.retain(|_, member| member.state != MemberState::Left);
            map
        };
        prop_assert_eq!(present(&left), present(&right));
    }

    #[test]
    fn a_doubted_node_refutes_with_a_higher_incarnation(
        generation_ms in 0..4_u64,
        incarnation in 0..10_u64,
        state in 0..4_usize,
    ) {
        let now = Instant::now();
        let mut own = table(now);
        let doubt = member(0, generation_ms, incarnation, STATES[state]);
        let outranked = doubt.rank() > own.own().rank();
        let merge = own.merge(&doubt, now);
        prop_assert_eq!(merge == MergeOutcome::Refuted, outranked);
        prop_assert_eq!(own.own().state, MemberState::Live);
        prop_assert!(own.own().rank() > doubt.rank() || !outranked);
    }
}

#[test]
fn a_suspect_of_a_reachable_zone_leaves_after_its_hold() {
    let now = Instant::now();
    let mut own = table(now);
    own.merge(&member(4, 1, 0, MemberState::Live), now);
    own.merge(&member(8, 1, 0, MemberState::Live), now);
    own.suspect(&NodeId("node-4".to_owned()), now);
    own.expire(now + Duration::from_secs(4));
    assert_eq!(
        own.get(&NodeId("node-4".to_owned())).unwrap().state,
        MemberState::Suspect
    );
    own.expire(now + Duration::from_secs(6));
    assert_eq!(
        own.get(&NodeId("node-4".to_owned())).unwrap().state,
        MemberState::Left
    );
}

#[test]
fn suspects_of_a_zone_that_is_cut_off_are_held_for_an_hour() {
    let now = Instant::now();
    let mut own = table(now);
    for name in [2, 6] {
        own.merge(&member(name, 1, 0, MemberState::Live), now);
        own.suspect(&NodeId(format!("node-{name}")), now);
    }
    own.expire(now + Duration::from_secs(3_600));
    assert_eq!(
        own.get(&NodeId("node-2".to_owned())).unwrap().state,
        MemberState::Suspect
    );
}

#[test]
fn a_rumour_that_doubts_its_receiver_comes_first() {
    let now = Instant::now();
    let mut own = table(now);
    let doubted = NodeId("node-1".to_owned());
    own.merge(&member(1, 1, 0, MemberState::Live), now);
    own.suspect(&doubted, now);
    for name in 2..30 {
        own.merge(&member(name, 1, 0, MemberState::Live), now);
    }
    assert_eq!(
        own.take_pending_updates(&doubted, None, 4)[0].node_id,
        doubted
    );
}

#[test]
fn links_stay_bounded_whatever_the_size() {
    let now = Instant::now();
    let mut own = table(now);
    for name in 1..=200 {
        own.merge(&member(name, 1, 0, MemberState::Live), now);
    }
    let counts = LinkCounts {
        zone_count: 3,
        region_count: 2,
        other_region_count: 1,
    };
    for seed in 0..20 {
        assert_eq!(
            choose_links(own.own(), own.members(), counts, seed).len(),
            6
        );
    }
}
