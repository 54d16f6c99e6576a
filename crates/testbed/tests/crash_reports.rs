//! Spreading of crash reports between nodes.
//!
//! The tests guard against a request that keeps crashing targets because some nodes never learn of
//! its crashes. This happens when many requests were at work at the crashes, so that there are more
//! reports than one message holds.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::deployment::VERBAND;
use figway_testbed::mesh_farm::Farm;
use figway_types::Fingerprint;

use crate::common::start_farm;

/// Number of nodes, as in the largest zone group of a grown site.
const NODE_COUNT: usize = 68;

/// Requests at work at one crash.
const AT_WORK_COUNT: u64 = 18;

/// Time within which all nodes must refuse a request after its second crash.
const QUARANTINED_MAX: Duration = Duration::from_millis(3_000);

/// Records at the node `index` a crash at which the culprit and other requests were at work.
fn record_crash(farm: &Farm, index: usize, crash: u64, culprit: Fingerprint) {
    let mesh = &farm.meshes[index];
    for other in 1..AT_WORK_COUNT {
        let witness = 1_000 * crash + other;
        mesh.record_crash(Fingerprint(witness), witness);
    }
    mesh.record_crash(culprit, 1_000_000 + crash);
}

async fn wait_quarantined(farm: &Farm, culprit: Fingerprint) {
    let deadline = Instant::now() + QUARANTINED_MAX;
    loop {
        let now = Instant::now();
        let open_count = farm
            .meshes
            .iter()
            .filter(|mesh| !mesh.quarantine().is_quarantined(culprit, now))
            .count();
        if open_count == 0 {
            return;
        }
        assert!(
            now < deadline,
            "{open_count} of {NODE_COUNT} nodes pass {culprit:?} on"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[ntex::test]
async fn a_crashing_request_is_quarantined_everywhere_however_many_requests_were_at_work() {
    let (_log, farm) = start_farm(NODE_COUNT, &VERBAND.zones).await;
    for round in 0..8 {
        let culprit = Fingerprint(500 + round);
        let first = (7 * round as usize) % NODE_COUNT;
        record_crash(&farm, first, 2 * round, culprit);
        record_crash(&farm, (first + 31) % NODE_COUNT, 2 * round + 1, culprit);
        wait_quarantined(&farm, culprit).await;
    }
}
