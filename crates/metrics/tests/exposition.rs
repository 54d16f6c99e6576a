//! Rendering of cadence metrics as text with labels and cumulative buckets.

use std::time::Duration;

use cadence::{
    Counted as _,
    Gauged as _,
    Timed as _, //
};
use figway_metrics::Registry;

#[test]
fn counters_gauges_and_histograms_are_rendered() {
    let registry = Registry::default();
    let client = registry.client("figway");
    for outcome in ["answered", "answered", "not-run"] {
        client
            .count_with_tags("calls", 1)
            .with_tag("outcome", outcome)
            .send();
    }
    client.gauge("busy", 3_u64).unwrap();
    for took_ms in [4, 150, 9_000] {
        client
            .time_with_tags("call_time", Duration::from_millis(took_ms))
            .with_tag("kind", "lookup")
            .send();
    }
    let text = registry.render();
    for line in [
        "figway_calls{outcome=\"answered\"} 2",
        "figway_calls{outcome=\"not-run\"} 1",
        "figway_busy 3",
        "figway_call_time_bucket{kind=\"lookup\",le=\"5\"} 1",
        "figway_call_time_bucket{kind=\"lookup\",le=\"200\"} 2",
        "figway_call_time_bucket{kind=\"lookup\",le=\"+Inf\"} 3",
        "figway_call_time_sum{kind=\"lookup\"} 9154",
        "figway_call_time_count{kind=\"lookup\"} 3",
        "figway_metrics_dropped 0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in\n{text}");
    }
}

#[test]
fn series_count_is_bounded_and_drops_are_counted() {
    let registry = Registry::default();
    let client = registry.client("figway");
    for n in 0..3_000 {
        client
            .count_with_tags("calls", 1)
            .with_tag("kind", &n.to_string())
            .send();
    }
    let text = registry.render();
    assert!(text.contains("figway_metrics_dropped 1000"), "{text}");
}
