//! Control plane of a node: links to peers, readers of the log, snapshots, claims and surveys.
//!
//! Every connection and every peer has one task. Decisions are taken by the crates `profile` and
//! `membership`; this crate carries their messages.

mod claim_agent;
mod claim_book;
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
pub use claim_book::{
    ClaimBatch,
    ClaimBook, //
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
    jump_to_snapshot,
    newest_snapshot,
    read_fold, //
};
pub use rpc::{
    Claim,
    ClaimVerdict,
    KeptAnswer,
    KeyOutcome,
    Laggard,
    SurveyReport, //
};
pub use survey::survey_everywhere;
pub use view::{
    has_labels,
    HeldMove,
    ServiceInForce,
    View, //
};
