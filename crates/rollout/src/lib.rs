//! Rollouts of new versions of a service: which share of the calls the new version gets, what its
//! answers show, and when the rollout is completed or rolled back.
//!
//! The crate has no network and no clock of its own. Callers pass the time and carry [`RolloutState`] and
//! [`EvidenceReport`] between nodes.

mod book;
mod cusum;
mod evidence;
mod excluded;
mod order;
mod phase;
mod probe;
mod rollout;
mod slow;
mod state;
mod status;
mod tally;
mod versions;
mod waiting;

pub use book::{
    RolloutBook,
    StateBatch, //
};
pub use evidence::{
    EvidenceReport,
    RouteEvidence,
    RunCounter,
    RunSample, //
};
pub use excluded::ExcludedVersions;
pub use order::{
    ExposureLimits,
    OrderError,
    RolloutOrder, //
};
pub use phase::Phase;
pub use probe::{
    Probe,
    Trial, //
};
pub use rollout::Rollout;
pub use state::RolloutState;
pub use status::{
    needs_status,
    plan_status,
    RolloutStatus,
    StatusRecord,
    StatusState,
    StatusStep, //
};
pub use tally::{
    Tally,
    Verdict,
    OWN_STOP_LEVEL,
    STOP_LEVEL, //
};
pub use versions::{
    ServiceVersions,
    VersionMask, //
};
pub use waiting::{
    WaitingOrder,
    WaitingOrders, //
};
