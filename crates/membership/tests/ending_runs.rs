//! Ending runs of targets: merging against a naive replay, and a model of nodes that are killed while
//! heartbeats arrive late and gossip is lost.
//!
//! The tests guard against a run that somebody acknowledged as leaving and that gets calls again.

use std::collections::BTreeMap;
use std::time::{
    Duration,
    Instant, //
};

use figway_membership::{
    is_replicated,
    EndingRuns,
    MemberTable, //
};
use figway_test_support::{
    fixed_seed_config,
    live_member, //
};
use figway_types::{
    EndingRun,
    FastSet,
    Member,
    MemberState,
    NodeId,
    RunStage,
    Target, //
};
use proptest::prelude::*;

/// Number of nodes in the model. The target is beside the first one.
const NODE_COUNT: usize = 4;

/// Time for which a report is kept.
const RETENTION: Duration = Duration::from_secs(1_800);

fn node_id(index: usize) -> NodeId {
    NodeId(format!("node-{index}"))
}

fn member(index: usize, generation_ms: u64) -> Member {
    let zone = if index < 2 { "east" } else { "west" };
    Member {
        generation_ms,
        ..live_member(&node_id(index).0, "land", zone)
    }
}

fn run(instance: &str, started_at_ms: u64) -> Target {
    Target {
        service: "reads".to_owned(),
        instance: instance.to_owned(),
        started_at_ms,
        address: "127.0.0.1:1".to_owned(),
        slot_count: 1,
        labels: BTreeMap::new(),
        draining: false,
    }
}

fn report(instance: &str, started_at_ms: u64, stage: RunStage) -> EndingRun {
    EndingRuns::new_report(&node_id(0), instance, started_at_ms, stage)
}

fn any_report() -> impl Strategy<Value = EndingRun> {
    (0..3_u8, 1..5_u64, prop::bool::ANY).prop_map(|(instance, started_at_ms, departed)| {
        let stage = if departed {
            RunStage::Departed
        } else {
            RunStage::Draining
        };
        report(&format!("i-{instance}"), started_at_ms, stage)
    })
}

fn stage(table: &MemberTable, target: &Target) -> Option<RunStage> {
    table.ending_runs().stage(&node_id(0), target)
}

/// Stage of a run by all reports, without any merging.
fn naive_stage(reports: &[EndingRun], target: &Target) -> Option<RunStage> {
    let mut furthest = None;
    for report in reports {
        if report.instance != target.instance || report.started_at_ms < target.started_at_ms {
            continue;
        }
        let is_superseded = report.started_at_ms > target.started_at_ms;
        let stage = if is_superseded {
            RunStage::Departed
        } else {
            report.stage
        };
        furthest = furthest.max(Some(stage));
    }
    furthest
}

#[derive(Clone, Debug)]
enum Event {
    /// The target announces that it is ready.
    Heartbeat,
    /// A heartbeat of the run that began so many starts ago, which said ready, arrives.
    LateHeartbeat(u64),
    /// The target reports a stage of its end; the report reaches the peers in the mask.
    Leave(RunStage, u8),
    /// The target starts again, under the same name or a new one.
    Return { same_name: bool },
    /// A node is killed and starts again. It hears of the others only by gossip.
    Kill(usize),
    /// Two nodes exchange what they know; the way back may be lost.
    Gossip {
        from: usize,
        to: usize,
        answered: bool,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Heartbeat),
        3 => (0..3_u64).prop_map(Event::LateHeartbeat),
        1 => (0..8_u8).prop_map(|peers| Event::Leave(RunStage::Draining, peers)),
        1 => (0..8_u8).prop_map(|peers| Event::Leave(RunStage::Departed, peers)),
        1 => prop::bool::ANY.prop_map(|same_name| Event::Return { same_name }),
        2 => (0..NODE_COUNT).prop_map(Event::Kill),
        2 => (0..NODE_COUNT, 0..NODE_COUNT, prop::bool::ANY)
            .prop_map(|(from, to, answered)| Event::Gossip { from, to, answered }),
    ]
}

struct Model {
    now: Instant,
    tables: Vec<MemberTable>,
    generation_ms: u64,
    /// All runs of the target, the current one last.
    runs: Vec<Target>,
    acknowledged: Vec<Target>,
}

impl Model {
    fn new() -> Self {
        let now = Instant::now();
        let mut model = Self {
            now,
            tables: Vec::new(),
            generation_ms: 1,
            runs: vec![run("i-1", 1)],
            acknowledged: Vec::new(),
        };
        for index in 0..NODE_COUNT {
            model.tables.push(MemberTable::new(member(index, 1), now));
        }
        model.gossip_among_all();
        model
    }

    fn play(&mut self, event: &Event) {
        match event {
            Event::Heartbeat => self.announce(self.runs.len() - 1),
            Event::LateHeartbeat(age) => {
                let index = self.runs.len().saturating_sub(1 + *age as usize);
                self.announce(index);
            }
            Event::Leave(stage, peers) => self.leave(*stage, *peers),
            Event::Return { same_name } => {
                let started_at_ms = self.runs.len() as u64 + 1;
                let current = &self.runs[self.runs.len() - 1];
                let instance = if *same_name {
                    current.instance.clone()
                } else {
                    format!("i-{started_at_ms}")
                };
                self.runs.push(run(&instance, started_at_ms));
            }
            Event::Kill(index) => {
                self.generation_ms += 1;
                let own = member(*index, self.generation_ms);
                self.tables[*index] = MemberTable::new(own, self.now);
            }
            Event::Gossip { from, to, answered } => {
                self.tell(*from, *to);
                if *answered {
                    self.tell(*to, *from);
                }
            }
        }
    }

    /// Announces a run at its node, which gives it out unless it knows that the run is ending.
    fn announce(&mut self, index: usize) {
        let target = self.runs[index].clone();
        if stage(&self.tables[0], &target).is_none() {
            self.tables[0].update_own(self.now, |own| own.target = Some(target));
        }
    }

    /// The node acknowledges the leaving only if enough peers hold it.
    fn leave(&mut self, reached: RunStage, peers: u8) {
        let target = self.runs[self.runs.len() - 1].clone();
        let ended = report(&target.instance, target.started_at_ms, reached);
        self.tables[0].merge_ending_run(&ended, self.now);
        self.tables[0].update_own(self.now, |own| own.target = None);
        let mut holders = FastSet::default();
        for index in 1..NODE_COUNT {
            if peers & (1 << (index - 1)) != 0 {
                self.tell(0, index);
                holders.insert(node_id(index));
            }
        }
        let table = &self.tables[0];
        if is_replicated(table.own(), table.members(), &holders) && !holders.is_empty() {
            self.acknowledged.push(target);
        }
    }

    fn tell(&mut self, from: usize, to: usize) {
        let members: Vec<Member> = self.tables[from].members().cloned().collect();
        let batch = self.tables[from]
            .ending_runs()
            .changes_after(0, usize::MAX, self.now);
        for update in &members {
            self.tables[to].merge(update, self.now);
        }
        for report in &batch.runs {
            self.tables[to].merge_ending_run(report, self.now);
        }
    }

    fn gossip_among_all(&mut self) {
        for _ in 0..2 {
            for index in 0..NODE_COUNT {
                let next = (index + 1) % NODE_COUNT;
                self.tell(index, next);
                self.tell(next, index);
            }
        }
    }

    /// Returns whether the node at `index` would send calls to the run.
    fn routes_to(&self, index: usize, target: &Target) -> bool {
        let table = &self.tables[index];
        let known = table.get(&node_id(0)).and_then(Member::serving_target);
        known == Some(target) && stage(table, target).is_none()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(51, 256))]

    #[test]
    fn merging_in_any_order_keeps_the_furthest_stage_of_each_run(
        reports in prop::collection::vec(any_report(), 0..30),
        seed in 0..u64::MAX,
    ) {
        let now = Instant::now();
        let mut forward = MemberTable::new(member(1, 1), now);
        for report in &reports {
            forward.merge_ending_run(report, now);
        }
        let mut shuffled = reports.clone();
        shuffled.sort_by_key(|report| {
            let key = report.started_at_ms * 2 + report.stage as u64;
            figway_types::mix(seed ^ key ^ figway_types::stable_hash(&report.instance))
        });
        let mut other = MemberTable::new(member(2, 1), now);
        for report in shuffled.iter().chain(&reports) {
            other.merge_ending_run(report, now);
        }
        for instance in ["i-0", "i-1", "i-2"] {
            for started_at_ms in 1..6 {
                let target = run(instance, started_at_ms);
                let expected = naive_stage(&reports, &target);
                prop_assert_eq!(stage(&forward, &target), expected);
                prop_assert_eq!(stage(&other, &target), expected);
            }
        }
    }

    #[test]
    fn no_node_that_hears_of_an_acknowledged_leaving_sends_calls_to_that_run(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut model = Model::new();
        let mut gossiped = true;
        for event in &events {
            // Any node may be killed in the moment of an acknowledgement. Before the next one is
            // killed, the nodes exchange what they know.
            if matches!(event, Event::Kill(_)) {
                if !gossiped {
                    model.gossip_among_all();
                }
                gossiped = false;
            }
            model.play(event);
        }
        model.gossip_among_all();
        for (index, acknowledged) in model.acknowledged.iter().enumerate() {
            for node in 0..NODE_COUNT {
                prop_assert!(
                    !model.routes_to(node, acknowledged),
                    "node {} sends calls to acknowledged run {}", node, index
                );
            }
        }
        // A later start is given out as usual.
        model.play(&Event::Return { same_name: true });
        model.play(&Event::Heartbeat);
        model.gossip_among_all();
        let current = model.runs[model.runs.len() - 1].clone();
        for node in 0..NODE_COUNT {
            prop_assert!(model.routes_to(node, &current), "node {} does not", node);
        }
    }
}

#[test]
fn reports_expire_and_are_bounded_for_each_node() {
    let now = Instant::now();
    let mut table = MemberTable::new(member(1, 1), now);
    for start in 1..=20 {
        let ended = report(&format!("i-{start}"), start, RunStage::Departed);
        table.merge_ending_run(&ended, now);
    }
    assert_eq!(table.ending_runs().count(), 8);
    assert_eq!(stage(&table, &run("i-20", 20)), Some(RunStage::Departed));
    assert_eq!(stage(&table, &run("i-1", 1)), None);
    table.expire(now + RETENTION - Duration::from_secs(1));
    assert_eq!(table.ending_runs().count(), 8);
    table.expire(now + RETENTION);
    assert_eq!(table.ending_runs().count(), 0);
}

#[test]
fn a_report_that_is_passed_on_expires_no_later_than_its_origin() {
    let now = Instant::now();
    let mut first = MemberTable::new(member(1, 1), now);
    first.merge_ending_run(&report("i-1", 1, RunStage::Departed), now);
    let later = now + RETENTION / 2;
    let passed_on = first.ending_runs().changes_after(0, 1, later);
    let mut second = MemberTable::new(member(2, 1), later);
    second.merge_ending_run(&passed_on.runs[0], later);
    second.expire(now + RETENTION);
    assert_eq!(second.ending_runs().count(), 0);
}

#[test]
fn a_member_that_left_and_was_removed_keeps_its_ending_runs() {
    let now = Instant::now();
    let mut table = MemberTable::new(member(1, 1), now);
    table.merge(&member(0, 1), now);
    table.merge_ending_run(&report("i-1", 1, RunStage::Departed), now);
    let mut left = member(0, 1);
    left.state = MemberState::Left;
    table.merge(&left, now);
    table.expire(now + Duration::from_secs(601));
    assert!(table.get(&node_id(0)).is_none(), "the member is still kept");
    // The node starts again with an earlier clock and a late heartbeat.
    let mut restarted = member(0, 0);
    restarted.target = Some(run("i-1", 1));
    table.merge(&restarted, now + Duration::from_secs(602));
    assert_eq!(stage(&table, &run("i-1", 1)), Some(RunStage::Departed));
}

#[test]
fn a_batch_that_is_full_ends_at_its_last_report() {
    let now = Instant::now();
    let mut table = MemberTable::new(member(1, 1), now);
    for start in 1..=3 {
        let ended = report(&format!("i-{start}"), start, RunStage::Departed);
        table.merge_ending_run(&ended, now);
    }
    let first = table.ending_runs().changes_after(0, 2, now);
    assert_eq!((first.runs.len(), first.last_sequence), (2, 2));
    let rest = table
        .ending_runs()
        .changes_after(first.last_sequence, 2, now);
    assert_eq!((rest.runs.len(), rest.last_sequence), (1, 3));
}

#[test]
fn an_acknowledgement_is_held_by_two_peers_one_of_them_in_another_zone() {
    let own = member(0, 1);
    let mut members: Vec<Member> = (0..NODE_COUNT).map(|index| member(index, 1)).collect();
    let is_held = |members: &[Member], indexes: &[usize]| {
        let mut holders = FastSet::default();
        for index in indexes {
            holders.insert(node_id(*index));
        }
        is_replicated(&own, members.iter(), &holders)
    };
    assert!(!is_held(&members, &[]));
    assert!(!is_held(&members, &[1]));
    assert!(!is_held(&members, &[2]));
    assert!(is_held(&members, &[1, 2]));
    assert!(is_held(&members, &[2, 3]));
    // A node that is cut off does not promise alone.
    for member in &mut members[1..] {
        member.state = MemberState::Suspect;
    }
    assert!(!is_held(&members, &[]));
    // Where there is nobody else, there is nobody to ask.
    assert!(is_held(&members[..1], &[]));
}
