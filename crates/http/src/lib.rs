//! HTTP/1.1 server with one task for each connection, and pooled HTTP/1.1 client.
//!
//! Code that answers requests implements [`Handler`], and code that sends requests does so through
//! [`Transport`]. Bodies aren't streamed: each is read to its end before the message is passed on. The
//! memory for them comes out of a [`MemoryBudget`].

mod answer_stream;
mod body;
mod burst;
mod busy;
mod client;
mod header_names;
mod headers;
mod idle_connections;
mod memory;
mod message;
mod outbound;
mod paced_body;
mod pipeline;
mod receive;
mod server;
mod socket;

pub use busy::BusyConnections;
pub use client::{
    ClientLimits,
    HttpClient, //
};
pub use headers::Headers;
pub use hyper::body::Bytes;
pub use memory::MemoryBudget;
pub use message::{
    Answer,
    OutboundRequest,
    Reachability,
    Request,
    SendFailure,
    Transport, //
};
pub use server::{
    serve,
    Handler,
    ServerLimits,
    ServerPhase, //
};
pub use socket::{
    connect,
    set_socket_options, //
};
