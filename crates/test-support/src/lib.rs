//! What the differential tests share; never shipped.

use proptest::test_runner::{
    Config,
    RngSeed, //
};

/// Variable that sets the number of cases of every differential test.
const CASES_VARIABLE: &str = "FIGWAY_CASES";

/// Returns a configuration that draws the same cases every run.
pub fn fixed_seed_config(seed: u64, case_count: u32) -> Config {
    let cases = std::env::var(CASES_VARIABLE).ok();
    Config {
        cases: cases
            .and_then(|text| text.parse().ok())
            .unwrap_or(case_count),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
