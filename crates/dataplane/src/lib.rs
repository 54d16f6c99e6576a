//! Data plane of a node: takes calls, picks a target, and admits calls of peers to the target
//! beside it.
//!
//! Decisions are taken by the crates `routing` and `admission`; [`Interface`] is the border to the
//! wire of callers and targets, and [`figway_http::Transport`] the one to the HTTP client.

mod admit;
mod attempt;
mod attempts;
mod builder;
mod call;
mod candidates;
mod front;
mod gate;
mod headers;
mod interface;
mod keyed;
mod keyed_outcomes;
mod metrics;
mod native;
mod operator;
mod peers;
mod plane;
mod proxy;
mod retry;
mod steps;
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
    Interface,
    Onward,
    Reply, //
};
pub use native::NativeInterface;
pub use plane::DataPlane;
pub use target_watch::Heard;
pub use worker::Worker;
