//! Reports on requests that may crash targets, as nodes exchange them.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::Fingerprint;
use serde::{
    Deserialize,
    Serialize, //
};

/// Time after which a report expires.
pub(crate) const REPORT_TTL: Duration = Duration::from_secs(300);

/// Report that a target crashed while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Id of the crash and the request, see [`run_id`].
    pub crash_id: u64,
    /// Time until the report expires, in milliseconds; the receiver stores it as a deadline.
    pub left_ms: u64,
}

/// Report that a run of a target answered requests whose fingerprint has crash reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivalReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Id of the target's run and the request, see [`run_id`].
    pub run_id: u64,
    /// Number of answers; earlier builds tell of one.
    #[serde(default = "one")]
    pub answer_count: u32,
    /// Time until the report expires, in milliseconds; the receiver stores it as a deadline.
    pub left_ms: u64,
}

fn one() -> u32 {
    1
}

/// Returns the id of a request at one run of a target. It is the same on every node, so that a
/// crash or a survival counts once, however many requests with the fingerprint were at work.
pub fn run_id(fingerprint: Fingerprint, instance: &str, started_at_ms: u64) -> u64 {
    let run = figway_types::stable_hash(instance) ^ figway_types::mix(started_at_ms);
    figway_types::mix(run ^ fingerprint.0.rotate_left(23))
}

/// Batch of reports for a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportBatch {
    /// Reports of crashes.
    pub crashes: Vec<CrashReport>,
    /// Reports of survivals.
    pub survivals: Vec<SurvivalReport>,
    /// Crashes that were taken back.
    pub withdrawals: Vec<CrashReport>,
    /// Sequence number of the last report that the receiver has with this batch, if it has all up to
    /// the one after which the batch begins.
    pub last_sequence: u64,
}

/// Returns the time at which a peer's report expires.
pub(crate) fn expiry(left_ms: u64, now: Instant) -> Instant {
    now + Duration::from_millis(left_ms).min(REPORT_TTL)
}
