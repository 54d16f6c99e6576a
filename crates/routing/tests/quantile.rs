//! The estimate of a quantile is near it as soon as it is used, whatever the first samples were.

use std::time::Duration;

use figway_routing::LatencyQuantile;
use figway_types::mix;

/// Samples after which an estimate is to be of use.
const SAMPLE_COUNT: u64 = 50;

#[test]
fn the_95th_of_few_samples_lies_above_most_of_them() {
    let mut low_count = 0;
    for seed in 0..200_u64 {
        let mut quantile = LatencyQuantile::new(0.95);
        let mut state = mix(seed + 1);
        for _ in 0..SAMPLE_COUNT {
            state = mix(state);
            // Evenly between 50 and 150 ms.
            let sample_ms = 50 + state % 101;
            quantile.record(Duration::from_millis(sample_ms));
        }
        let estimate = quantile.estimate().expect("there are samples enough");
        assert!(estimate < Duration::from_millis(250), "{estimate:?}");
        // A tenth of the samples lies above 140 ms, a quarter above 125 ms.
        low_count += u32::from(estimate < Duration::from_millis(125));
    }
    assert!(
        low_count <= 20,
        "{low_count} of 200 estimates are far too low"
    );
}
