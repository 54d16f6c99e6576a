//! Shared configuration of the differential tests, which compare an implementation with a simple
//! reference, and the members that tests build on. Not part of any shipped program.

use figway_types::{
    Member,
    MemberState,
    NodeId, //
};
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

/// Returns a live member without a target. Its control address is empty, so that a control plane fills
/// in that of its listener.
pub fn live_member(name: &str, region: &str, zone: &str) -> Member {
    Member {
        node_id: NodeId(name.to_owned()),
        generation_ms: 1,
        incarnation: 0,
        state: MemberState::Live,
        region: region.to_owned(),
        zone: zone.to_owned(),
        control_address: String::new(),
        call_address: "127.0.0.1:1".to_owned(),
        log_round_trip_ms: 0,
        link_mbps: 0,
        target: None,
    }
}
