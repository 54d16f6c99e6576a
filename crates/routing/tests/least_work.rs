//! Picks by likely cost and remaining work.

use std::time::{
    Duration,
    Instant, //
};

use figway_cost::RequestClass;
use figway_routing::{
    CallContext,
    CallTimings,
    Candidate,
    Distance,
    LeastWork,
    LoadReport,
    LoadTracker,
    TargetPicker as _,
    TransitPrices, //
};
use figway_types::NodeId;

const CALL: CallContext<'static> = CallContext {
    kind: "upload",
    prompt_left: Duration::from_millis(1_000),
    deadline_left: Duration::from_millis(3_000),
};

fn class(kind: &str, body_bytes: usize) -> RequestClass<'_> {
    RequestClass {
        kind,
        body_bytes,
        customer: None,
    }
}

fn node(name: &str) -> NodeId {
    NodeId(name.to_owned())
}

fn candidate(node_id: &NodeId, distance: Distance) -> Candidate<'_> {
    Candidate {
        node_id,
        slot_count: 6,
        rate_limit: None,
        distance,
        round_trip_us: distance.assumed_round_trip_us(),
        suspect: false,
    }
}

fn timings(ran_ms: f64) -> CallTimings {
    CallTimings {
        took_ms: ran_ms,
        waited_ms: 0.0,
        ran_ms,
        mean_ran_ms: None,
        round_trip_ms: 0.0,
    }
}

fn picks(
    loads: &LoadTracker,
    class: &RequestClass<'_>,
    candidates: &[Candidate<'_>],
    now: Instant,
) -> Vec<usize> {
    let mut picker = LeastWork::new(TransitPrices::default(), 91);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1_000 {
        let picked = picker.pick_for_class(&CALL, class, candidates, &[], loads, now);
        counts[picked.unwrap().index] += 1;
    }
    counts
}

/// Guards against large bodies that cross zones to save a wait worth less than their bytes.
#[test]
fn large_bodies_stay_in_their_zone_and_small_ones_leave_a_loaded_one() {
    let now = Instant::now();
    let (near, other, far) = (node("near"), node("other"), node("far"));
    let mut loads = LoadTracker::default();
    loads.record_run(&near, &class("upload", 360_000), &timings(160.0), now);
    let report = LoadReport {
        busy_ratio: 3.0,
        wait_ms: 600.0,
        failed_ratio: 0.0,
    };
    loads.record_report(&near, report, now);
    let candidates = [
        candidate(&near, Distance::Zone),
        candidate(&other, Distance::Region),
        candidate(&far, Distance::Far),
    ];
    // Both sizes are of one kind, whose mean body is not known yet.
    let large = picks(&loads, &class("upload", 360_000), &candidates, now);
    assert_eq!(large, [1_000, 0, 0]);
    let small = picks(&loads, &class("upload", 100), &candidates, now);
    assert!(small[1] > 900, "{small:?}");
}

/// Guards against a node that must call each target with each kind before it knows which one is slow.
#[test]
fn answers_of_one_kind_tell_how_fast_a_target_is_for_all_kinds() {
    let now = Instant::now();
    let ids: Vec<NodeId> = (0..8).map(|index| node(&format!("t{index}"))).collect();
    let mut loads = LoadTracker::default();
    for _ in 0..100 {
        for (index, id) in ids.iter().enumerate() {
            let factor = if index == 0 { 3.0 } else { 1.0 };
            loads.record_run(id, &class("read", 0), &timings(40.0 * factor), now);
        }
    }
    let candidates: Vec<Candidate<'_>> =
        ids.iter().map(|id| candidate(id, Distance::Zone)).collect();
    let counts = picks(&loads, &class("upload", 0), &candidates, now);
    assert!(counts[0] < 80, "{counts:?}");
    for count in &counts[1..] {
        assert!((80..220).contains(count), "{counts:?}");
    }
}

/// Guards against picks of targets that were tried, refused a call or are suspect while others are there,
/// and against none while only such targets are left.
#[test]
fn doubtful_targets_are_picked_only_if_there_are_no_others() {
    let now = Instant::now();
    let ids: Vec<NodeId> = (0..75).map(|index| node(&format!("t{index}"))).collect();
    let mut loads = LoadTracker::default();
    let mut candidates = Vec::new();
    for (index, id) in ids.iter().enumerate() {
        let mut candidate = candidate(id, Distance::Zone);
        candidate.suspect = index % 2 == 0;
        candidates.push(candidate);
        if index % 2 == 1 && index != 33 {
            loads.record_refusal(id, now);
        }
    }
    let counts = picks(&loads, &class("upload", 0), &candidates, now);
    assert_eq!(counts[33], 1_000);
    let mut picker = LeastWork::new(TransitPrices::default(), 92);
    let excluded = [&ids[33]];
    let picked = picker.pick(&CALL, &candidates, &excluded, &loads, now);
    assert_ne!(picked.unwrap().index, 33);
    let all: Vec<&NodeId> = ids.iter().collect();
    assert_eq!(picker.pick(&CALL, &candidates, &all, &loads, now), None);
    assert_eq!(picker.pick(&CALL, &[], &[], &loads, now), None);
}

/// Prints the processor time of a pick and of learning from an answer at 75 targets. Times depend on the
/// host, so that they are not compared with a bound.
#[test]
fn the_time_of_a_pick_is_printed() {
    let start = Instant::now();
    let ids: Vec<NodeId> = (0..75)
        .map(|index| node(&format!("node-{index}.zone")))
        .collect();
    let mut loads = LoadTracker::default();
    for id in &ids {
        for _ in 0..20 {
            loads.record_run(id, &class("upload", 0), &timings(40.0), start);
            loads.record_timings(id, "upload", timings(40.0), 2_000, start);
        }
    }
    let mut candidates = Vec::new();
    for (index, id) in ids.iter().enumerate() {
        let distance = match index {
            0 => Distance::Host,
            1..=18 => Distance::Zone,
            19..=37 => Distance::Region,
            _ => Distance::Far,
        };
        candidates.push(candidate(id, distance));
    }
    let prices = TransitPrices::default();
    let pickers: [(&str, Box<dyn figway_routing::TargetPicker>); 2] = [
        (
            "least loss",
            Box::new(figway_routing::LeastLoss::new(prices, 93)),
        ),
        ("least work", Box::new(LeastWork::new(prices, 93))),
    ];
    const COUNT: u32 = 20_000;
    for (name, mut picker) in pickers {
        let began = Instant::now();
        for _ in 0..COUNT {
            let class = class("upload", 0);
            let picked = picker.pick_for_class(&CALL, &class, &candidates, &[], &loads, start);
            assert!(picked.is_some());
        }
        println!("{name}: {:?} a pick", began.elapsed() / COUNT);
    }
    let began = Instant::now();
    for index in 0..COUNT as usize {
        loads.record_run(&ids[index % 75], &class("upload", 0), &timings(40.0), start);
    }
    println!("learning: {:?} an answer", began.elapsed() / COUNT);
}
