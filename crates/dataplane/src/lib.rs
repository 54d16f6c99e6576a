//! Data plane of a node: takes calls, picks a target, and admits calls of peers to the target
//! beside it.
//!
//! Decisions are taken by the crates `routing` and `admission`; [`Transport`] is the border to the
//! HTTP client, and the modules `front` and `wire` alone know the HTTP server.

mod admit;
mod attempt;
mod call;
mod candidates;
mod front;
mod headers;
mod keyed;
mod metrics;
mod operator;
mod outcomes;
mod plane;
mod proxy;
mod retry;
mod target_watch;
mod transport;
mod wire;

pub use front::serve;
pub use plane::{
    DataPlane,
    DataPlaneBuilder, //
};
pub use transport::{
    Answer,
    Outbound,
    SendFailure,
    Transport, //
};
