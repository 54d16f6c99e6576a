//! Test bed of figway: stand-ins for the platform's log and for targets, a load generator, the demo
//! and the experiments. Never shipped.

pub mod deployment;
pub mod fleet;
pub mod http;
pub mod load;
pub mod load_clients;
pub mod log_server;
pub mod mesh_farm;
pub mod ports;
pub mod process;
pub mod relay;
pub mod site;
pub mod soak;
pub mod target_server;
