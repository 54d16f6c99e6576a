//! HTTP/1.1 connections: a server with one task for each connection, and a pooled client.
//!
//! [`Handler`] is the border to whoever answers requests, [`Transport`] the border to whoever sends
//! them. Messages are whole: a body is read to its end before it goes on.

mod client;
mod message;
mod server;
mod socket;

pub use client::{
    ClientLimits,
    HttpClient, //
};
pub use message::{
    Answer,
    Headers,
    OutboundRequest,
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
