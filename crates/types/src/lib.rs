//! Core types shared by every figway crate.
//!
//! This crate depends on no protocol and no networking library: the decision crates build on these
//! types alone.

mod backoff;
mod boot_instant;
mod change;
mod ending_run;
mod finding;
mod member;
mod outcome;
mod rate;
mod request;

pub use backoff::Backoff;
pub use boot_instant::BootInstant;
pub use change::{
    ChangeId,
    LogEra,
    LogRecord,
    Offset, //
};
pub use ending_run::{
    EndingRun,
    RunStage, //
};
pub use finding::{
    Finding,
    Findings,
    Location, //
};
pub use member::{
    Announcement,
    Member,
    MemberState,
    NodeId,
    Target,
    VERSION_LABEL, //
};
pub use outcome::{
    KeyRefusal,
    NotRunReason, //
};
pub use rate::{
    RateLimit,
    RateLimitError, //
};
pub use request::{
    Fingerprint,
    RequestView, //
};

/// Hash map with a fast, non-cryptographic hasher, for keys that come from inside the system.
pub type FastMap<K, V> = std::collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// Hash set with a fast, non-cryptographic hasher, for keys that come from inside the system.
pub type FastSet<K> = std::collections::HashSet<K, rustc_hash::FxBuildHasher>;

/// Longest time that a message can set a deadline ahead. Longer times count as this one.
const DEADLINE_MAX: std::time::Duration = std::time::Duration::from_secs(365 * 24 * 3_600);

/// Returns the deadline `left_ms` milliseconds after `now`. The time may come from a message, so that
/// it can be of any size.
pub fn deadline_after_ms(now: std::time::Instant, left_ms: u64) -> std::time::Instant {
    now + std::time::Duration::from_millis(left_ms).min(DEADLINE_MAX)
}

/// Returns a hash of `value` that is the same in every process of one release.
pub fn stable_hash(value: &str) -> u64 {
    use std::hash::Hasher;

    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(value.as_bytes());
    mix(hasher.finish())
}

/// Mixes the bits of `value` evenly with the finalizer of SplitMix64.
pub fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the weight of `candidate` for `key` in rendezvous hashing; the highest weight wins.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    mix(stable_hash(key) ^ stable_hash(candidate).rotate_left(17))
}

/// Returns a random number derived from the system's random source.
pub fn entropy() -> u64 {
    use std::hash::{
        BuildHasher,
        Hasher, //
    };

    let state = std::collections::hash_map::RandomState::new();
    mix(state.build_hasher().finish())
}
