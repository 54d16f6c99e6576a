//! Control plane of a node: links to peers, readers of the log, snapshots, claims and surveys.
//!
//! Every connection and every peer has one task. Decisions are taken by the crates `profile` and
//! `membership`; this crate carries their messages.

mod claim_agent;
mod claim_table;
mod claims;
mod codec;
mod contact;
mod dial;
mod link;
mod mesh;
mod meter;
mod plane;
mod reach;
mod reader;
mod records;
mod route_book;
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
    read_fold, //
    restore_from_snapshot,
};
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
