//! What is assumed of a target whose load is not known.

use std::time::{
    Duration,
    Instant, //
};

use figway_routing::{
    LoadBook,
    Spent, //
};
use figway_types::NodeId;

const SPENT: Spent = Spent {
    took_ms: 400.0,
    waited_ms: 300.0,
    ran_ms: 100.0,
    way_ms: 0.0,
};

#[test]
fn a_target_of_unknown_load_is_taken_to_be_as_busy_as_the_others() {
    let now = Instant::now();
    let (known, unknown) = (NodeId("known".to_owned()), NodeId("unknown".to_owned()));
    let mut loads = LoadBook::default();
    for _ in 0..20 {
        loads.note_spent(&known, "lookup", SPENT, 1_000, now);
    }
    let wait_ms = loads.wait_ms(&unknown, "lookup", 4, 100.0, now);
    assert!(wait_ms > 200.0, "{wait_ms}");
    // Calls of another kind tell nothing, and what was met long ago tells little.
    assert_eq!(loads.wait_ms(&unknown, "order", 4, 100.0, now), 0.0);
    let later = now + Duration::from_secs(5);
    let wait_ms = loads.wait_ms(&unknown, "lookup", 4, 100.0, later);
    assert!(wait_ms < 5.0, "{wait_ms}");
}
