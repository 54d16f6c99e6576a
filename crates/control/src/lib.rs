//! Control plane of a node: gossip links to peers, readers of the log, snapshots, claims of
//! idempotency keys and surveys.
//!
//! Each connection and each peer has one task. The crates `profile` and `membership` make the
//! decisions; this crate transports their messages.

mod claim_agent;
mod claim_table;
mod claims;
mod codec;
mod contact;
mod dial;
mod ending_run_log;
mod lease_hub;
mod limit_reports;
mod link;
mod lost_changes;
mod mesh;
mod meter;
mod plane;
mod reach;
mod reader;
mod records;
mod rollout_agent;
mod route_history;
mod route_lease;
mod route_reader;
mod rpc;
mod server;
mod survey;
mod view;

pub use claim_agent::ClaimAgent;
pub use claim_table::{
    ClaimBatch,
    ClaimTable, //
};
pub use ending_run_log::remove_expired;
pub use link::LinkPlan;
pub use mesh::{
    Mesh,
    OutcomeSource, //
};
pub use meter::ControlMeter;
pub use plane::{
    ControlBuilder,
    ControlPlane, //
};
pub use reader::{
    newest_snapshot,
    read_fold,
    restore_from_snapshot, //
};
pub use route_lease::RouteConfirmation;
pub use rpc::{
    Claim,
    ClaimVerdict,
    KeyOutcome,
    LaggingNode,
    StoredAnswer,
    SurveyReport, //
};
pub use survey::survey_everywhere;
pub use view::{
    has_labels,
    HeldVersion,
    ServiceInForce,
    View, //
};
