//! Guards against a node that grants itself too large a share of a limit, since it counts too few nodes.

use std::time::{
    Duration,
    Instant, //
};

use figway_rate_limit::Roster;
use figway_types::{
    Member,
    MemberState,
    NodeId, //
};

fn member(index: usize, state: MemberState) -> Member {
    Member {
        node_id: NodeId(format!("node-{index}")),
        generation_ms: 1,
        incarnation: 1,
        state,
        region: "land".to_owned(),
        zone: "east".to_owned(),
        control_address: String::new(),
        call_address: String::new(),
        log_round_trip_ms: 0,
        link_mbps: 0,
        target: None,
    }
}

fn live(count: usize) -> Vec<Member> {
    (0..count)
        .map(|index| member(index, MemberState::Live))
        .collect()
}

/// Guards against a started node that takes the whole limit for itself.
#[test]
fn a_node_that_has_just_started_assumes_many_others_until_it_has_met_them() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut roster = Roster::of_started_node(now + 60 * second);
    roster.update(live(1).iter(), now);
    assert_eq!(roster.count(now + 30 * second), 128);
    roster.update(live(2).iter(), now + 30 * second);
    assert_eq!(roster.count(now + 30 * second), 128);
    roster.update(live(6).iter(), now + 31 * second);
    assert_eq!(roster.count(now + 32 * second), 6);
}

/// Guards against a single node that grants itself only a small share forever.
#[test]
fn a_node_that_meets_no_other_is_alone_in_the_end() {
    let now = Instant::now();
    let mut roster = Roster::of_started_node(now + Duration::from_secs(3));
    roster.update(live(1).iter(), now);
    assert_eq!(roster.count(now + Duration::from_secs(4)), 1);
}

/// Guards against a cut off member whose share is granted to others, and against shares held for members
/// that have left.
#[test]
fn a_lost_member_counts_for_a_minute_and_one_that_left_as_planned_does_not() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let mut members = live(4);
    members[2].state = MemberState::Draining;
    roster.update(members.iter(), now);
    assert_eq!(roster.count(now), 4);
    members[2].state = MemberState::Left;
    members[3].state = MemberState::Left;
    let later = now + Duration::from_secs(59);
    roster.update(members.iter(), now);
    roster.update(members.iter(), later);
    assert_eq!(roster.count(later), 3);
    let expired = now + Duration::from_secs(61);
    roster.update(members.iter(), expired);
    assert_eq!(roster.count(expired), 2);
}
