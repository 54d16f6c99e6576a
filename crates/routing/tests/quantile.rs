//! A quantile estimate is close to the quantile as soon as it is used, whatever the first samples
//! were.

use std::time::Duration;

use figway_routing::LatencyQuantile;
use figway_types::mix;

/// Number of samples after which an estimate must be usable.
const SAMPLE_COUNT: u64 = 50;

#[test]
fn a_p95_estimate_of_few_samples_is_rarely_far_too_low() {
    let mut low_count = 0;
    for seed in 0..200_u64 {
        let mut quantile = LatencyQuantile::new(0.95);
        let mut state = mix(seed + 1);
        for _ in 0..SAMPLE_COUNT {
            state = mix(state);
            // Uniform between 50 and 150 ms.
            let sample_ms = 50 + state % 101;
            quantile.record(Duration::from_millis(sample_ms));
        }
        let estimate = quantile.estimate().expect("there are enough samples");
        assert!(estimate < Duration::from_millis(250), "{estimate:?}");
        // A tenth of the samples is above 140 ms, a quarter above 125 ms.
        low_count += u32::from(estimate < Duration::from_millis(125));
    }
    assert!(
        low_count <= 20,
        "{low_count} of 200 estimates are far too low"
    );
}
