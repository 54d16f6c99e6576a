//! Data plane of a node: accepts calls from callers, picks a target for each, and admits calls that
//! peers forward to the local target.
//!
//! The `routing` and `admission` crates make the decisions. [`Interface`] is the boundary to the
//! wire format of callers and targets, [`figway_http::Transport`] the boundary to the HTTP client.

mod admit;
mod attempt;
mod attempts;
mod builder;
mod call;
mod caller;
mod candidates;
mod crashes;
mod entry;
mod evidence;
mod explain;
mod front;
mod gate;
mod gauges;
mod headers;
mod in_flight;
mod interface;
mod keyed;
mod keyed_outcomes;
mod limits;
mod local_target;
mod metrics;
mod native;
mod offers;
mod operator;
mod overload;
mod parent;
mod peer_targets;
mod peers;
mod pick;
mod plane;
mod proxy;
mod rank;
mod record;
mod refusal_log;
mod retry;
mod routed;
mod run_log;
mod run_probe;
mod run_watch;
mod running_calls;
mod stall_watch;
mod steps;
mod target_state;
mod target_watch;
mod trace;
mod worker;

pub use builder::DataPlaneBuilder;
pub use call::{
    Outcome,
    DEADLINE_EXCEEDED, //
};
pub use front::{
    CallerFront,
    MetricsFront,
    NodeFront, //
};
pub use interface::{
    Addressing,
    ForwardContext,
    Interface,
    Reply,
    StatedRateLimit,
    TargetNotice, //
};
pub use native::NativeInterface;
pub use plane::DataPlane;
pub use target_watch::AnnounceOutcome;
pub use worker::Worker;
