//! Compares the picks of targets with a simple full scan of all candidates.

use std::time::{
    Duration,
    Instant, //
};

use figway_routing::{
    keep_nearest,
    CallContext,
    Candidate,
    Distance,
    LoadReport,
    LoadTracker,
    TargetPicker,
    TwoChoices, //
};
use figway_test_support::fixed_seed_config;
use figway_types::NodeId;
use proptest::prelude::*;

const CALL: CallContext<'static> = CallContext {
    kind: "lookup",
    prompt_left: Duration::from_millis(250),
    deadline_left: Duration::from_millis(600),
};

#[derive(Clone, Debug)]
struct TargetSpec {
    distance: u8,
    suspect: bool,
    refused: bool,
    excluded: bool,
    in_flight_count: u32,
    latency_ms: u64,
}

fn spec() -> impl Strategy<Value = TargetSpec> {
    (
        0..4_u8,
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.2),
        0..12_u32,
        0..50_u64,
    )
        .prop_map(
            |(distance, suspect, refused, excluded, in_flight_count, latency_ms)| TargetSpec {
                distance,
                suspect,
                refused,
                excluded,
                in_flight_count,
                latency_ms,
            },
        )
}

struct Fixture {
    ids: Vec<NodeId>,
    specs: Vec<TargetSpec>,
    loads: LoadTracker,
    now: Instant,
}

impl Fixture {
    fn new(mut specs: Vec<TargetSpec>) -> Self {
        specs.sort_by_key(|spec| spec.distance);
        let now = Instant::now();
        let mut loads = LoadTracker::default();
        let mut ids = Vec::new();
        for (index, spec) in specs.iter().enumerate() {
            let id = NodeId(format!("node-{index}"));
            for _ in 0..spec.in_flight_count {
                loads.begin(&id, now);
            }
            if spec.latency_ms > 0 {
                loads.record_latency(&id, Duration::from_millis(spec.latency_ms), now);
            }
            if spec.refused {
                loads.record_refusal(&id, now);
            }
            ids.push(id);
        }
        Self {
            ids,
            specs,
            loads,
            now,
        }
    }

    fn candidates(&self) -> Vec<Candidate<'_>> {
        let mut candidates = Vec::new();
        for (id, spec) in self.ids.iter().zip(&self.specs) {
            candidates.push(Candidate {
                node_id: id,
                slot_count: 4,
                rate_limit: None,
                distance: distance(spec.distance),
                round_trip_us: distance(spec.distance).assumed_round_trip_us(),
                suspect: spec.suspect,
            });
        }
        candidates
    }

    fn excluded(&self) -> Vec<&NodeId> {
        let mut excluded = Vec::new();
        for (id, spec) in self.ids.iter().zip(&self.specs) {
            if spec.excluded {
                excluded.push(id);
            }
        }
        excluded
    }

    /// Returns the indexes of the usable candidates, found by a scan of all.
    fn usable(&self) -> Vec<usize> {
        let allowed = |spec: &TargetSpec| !spec.excluded;
        let good = |spec: &TargetSpec| allowed(spec) && !spec.suspect && !spec.refused;
        let scan = |wanted: &dyn Fn(&TargetSpec) -> bool| -> Vec<usize> {
            (0..self.specs.len())
                .filter(|index| wanted(&self.specs[*index]))
                .collect()
        };
        let good = scan(&good);
        if good.is_empty() {
            return scan(&allowed);
        }
        good
    }
}

fn distance(code: u8) -> Distance {
    [
        Distance::Host,
        Distance::Zone,
        Distance::Region,
        Distance::Far,
    ][code as usize]
}

proptest! {
    #![proptest_config(fixed_seed_config(42, 512))]

    #[test]
    fn a_pick_is_usable_according_to_a_full_scan(
        specs in prop::collection::vec(spec(), 0..12),
        seed in 0..u64::MAX,
    ) {
        let fixture = Fixture::new(specs);
        let mut picker = TwoChoices::new(seed);
        let candidates = fixture.candidates();
        let usable = fixture.usable();
        for _ in 0..20 {
            let picked = picker.pick(
                &CALL,
                &candidates,
                &fixture.excluded(),
                &fixture.loads,
                fixture.now,
            );
            match picked {
                Some(picked) => prop_assert!(usable.contains(&picked.index)),
                None => prop_assert!(usable.is_empty()),
            }
        }
    }

    #[test]
    fn a_pick_of_two_has_the_least_cost(
        specs in prop::collection::vec(spec(), 2..=2),
        seed in 0..u64::MAX,
    ) {
        let mut specs = specs;
        for spec in &mut specs {
            spec.distance = 1;
            spec.suspect = false;
            spec.refused = false;
            spec.excluded = false;
        }
        let fixture = Fixture::new(specs);
        let cost = |index: usize| {
            let spec = &fixture.specs[index];
            let latency_ms = (spec.latency_ms as f64).max(1.0);
            latency_ms * (1.0 + f64::from(spec.in_flight_count) / 4.0)
        };
        let best = cost(0).min(cost(1));
        let mut picker = TwoChoices::new(seed);
        let picked = picker
            .pick(&CALL, &fixture.candidates(), &[], &fixture.loads, fixture.now)
            .unwrap();
        prop_assert!((cost(picked.index) - best).abs() < 1e-6);
    }

    #[test]
    fn an_idle_near_target_is_preferred_to_a_far_one(
        specs in prop::collection::vec(spec(), 1..10),
        seed in 0..u64::MAX,
    ) {
        let mut specs = specs;
        for spec in &mut specs {
            spec.in_flight_count = 0;
            spec.latency_ms = 5;
        }
        let fixture = Fixture::new(specs);
        let usable = fixture.usable();
        let nearest = usable.iter().map(|index| fixture.specs[*index].distance).min();
        let mut picker = TwoChoices::new(seed);
        let picked = picker.pick(
            &CALL,
            &fixture.candidates(),
            &fixture.excluded(),
            &fixture.loads,
            fixture.now,
        );
        let distance = picked.map(|picked| fixture.specs[picked.index].distance);
        prop_assert_eq!(distance, nearest);
    }

    #[test]
    fn removing_a_target_replaces_at_most_one_kept_target(
        count in 10..200_usize,
        max_count in 1..40_u32,
        removed in 0..200_usize,
    ) {
        let own = NodeId("own".to_owned());
        let ids: Vec<NodeId> = (0..count).map(|index| NodeId(format!("node-{index}"))).collect();
        let candidate = |node_id| Candidate {
            node_id,
            slot_count: 1,
            rate_limit: None,
            distance: Distance::Zone,
            round_trip_us: 200.0,
            suspect: false,
        };
        let kept_without = |without: Option<usize>| {
            let mut candidates = Vec::new();
            for (index, id) in ids.iter().enumerate() {
                if Some(index) != without {
                    candidates.push(candidate(id));
                }
            }
            keep_nearest(&own, &mut candidates, max_count);
            candidates.iter().map(|candidate| candidate.node_id).collect::<Vec<_>>()
        };
        let before = kept_without(None);
        let after = kept_without(Some(removed % count));
        let kept = before.iter().filter(|id| after.contains(id)).count();
        prop_assert!(kept + 1 >= before.len());
    }
}

#[test]
fn a_slow_target_is_avoided_and_tried_again_later() {
    let now = Instant::now();
    let ids = [NodeId("slow".to_owned()), NodeId("well".to_owned())];
    let candidates: Vec<Candidate<'_>> = ids
        .iter()
        .map(|node_id| Candidate {
            node_id,
            slot_count: 8,
            rate_limit: None,
            distance: Distance::Zone,
            round_trip_us: 200.0,
            suspect: false,
        })
        .collect();
    let mut loads = LoadTracker::default();
    for _ in 0..10 {
        loads.record_latency(&ids[0], Duration::from_millis(200), now);
        loads.record_latency(&ids[1], Duration::from_millis(10), now);
    }
    // The load report of the slow target still shows free slots.
    loads.record_report(
        &ids[0],
        LoadReport {
            failed_ratio: 0.0,
            busy_ratio: 0.0,
            wait_ms: 0.0,
        },
        now,
    );
    let mut picker = TwoChoices::new(1);
    for _ in 0..50 {
        assert_eq!(
            picker
                .pick(&CALL, &candidates, &[], &loads, now)
                .unwrap()
                .index,
            1
        );
    }
    // Its estimate decays without samples, while the other target gets new ones.
    let later = now + Duration::from_secs(8);
    loads.record_latency(&ids[1], Duration::from_millis(10), later);
    loads.record_latency(&ids[1], Duration::from_millis(10), later);
    let is_tried_again = (0..50).any(|_| {
        picker
            .pick(&CALL, &candidates, &[], &loads, later)
            .unwrap()
            .index
            == 0
    });
    assert!(is_tried_again);
}
