//! Estimates for targets without a recent load report.

use std::time::{
    Duration,
    Instant, //
};

use figway_routing::{
    CallContext,
    CallTimings,
    Candidate,
    Distance,
    LeastLoss,
    LoadReport,
    LoadTracker,
    TransitPrices, //
};
use figway_types::NodeId;

const TIMINGS: CallTimings = CallTimings {
    took_ms: 400.0,
    waited_ms: 300.0,
    ran_ms: 100.0,
    mean_ran_ms: None,
    round_trip_ms: 0.0,
};

#[test]
fn a_target_of_unknown_load_is_assumed_to_be_as_busy_as_the_others() {
    let now = Instant::now();
    let (known, unknown) = (NodeId("known".to_owned()), NodeId("unknown".to_owned()));
    let mut loads = LoadTracker::default();
    for _ in 0..20 {
        loads.record_timings(&known, "lookup", TIMINGS, 1_000, now);
    }
    let wait_ms = loads.wait_ms(&unknown, "lookup", 4.0, 100.0, now);
    assert!(wait_ms > 200.0, "{wait_ms}");
    // Samples of another kind do not count, and old samples have decayed.
    assert_eq!(loads.wait_ms(&unknown, "order", 4.0, 100.0, now), 0.0);
    let later = now + Duration::from_secs(5);
    let wait_ms = loads.wait_ms(&unknown, "lookup", 4.0, 100.0, later);
    assert!(wait_ms < 5.0, "{wait_ms}");
}

#[test]
fn a_target_that_fails_calls_fast_is_avoided_until_its_report_decays() {
    let now = Instant::now();
    let (good, bad) = (NodeId("good".to_owned()), NodeId("bad".to_owned()));
    let mut loads = LoadTracker::default();
    for (target, failed_ratio) in [(&good, 0.0), (&bad, 0.6)] {
        let report = LoadReport {
            failed_ratio,
            ..LoadReport::default()
        };
        loads.record_report(target, report, now);
    }
    let candidate = |node_id| Candidate {
        node_id,
        slot_count: 4,
        rate_limit: None,
        distance: Distance::Zone,
        round_trip_us: 200.0,
        suspect: false,
    };
    let call = CallContext {
        kind: "lookup",
        prompt_left: Duration::from_millis(500),
        deadline_left: Duration::from_millis(1_000),
    };
    let prices = TransitPrices {
        region_per_kb: 0.0,
        far_per_kb: 0.0,
    };
    let picker = LeastLoss::new(prices, 1);
    let loss = |node_id, now| picker.loss(&call, &candidate(node_id), &loads, now);
    assert!(loss(&bad, now) > loss(&good, now) + 0.2);
    // The old report has decayed, so that the target is tried again.
    let later = now + Duration::from_secs(15);
    assert!(loss(&bad, later) < loss(&good, later) + 0.02);
}
