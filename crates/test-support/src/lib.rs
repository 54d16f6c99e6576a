//! Shared configuration of the differential tests, which compare an implementation with a simple
//! reference. Not part of any shipped program.

use proptest::test_runner::{
    Config,
    RngSeed, //
};

/// Environment variable that overrides the number of cases of every differential test.
const CASES_VARIABLE: &str = "FIGWAY_CASES";

/// Returns a proptest configuration that generates the same cases in every run: `case_count` cases,
/// unless `FIGWAY_CASES` overrides the number, drawn from `seed`.
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
