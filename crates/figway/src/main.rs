//! `figway`: the node of a service mesh, and the operator's commands.

mod change_log;
mod cmd;
mod control_plane;
mod data_plane;
mod flags;
mod line_queue;
mod logger;
mod memory;
mod node_client;
mod report;

use std::process::ExitCode;

use crate::cmd::Run;

#[ntex::main]
async fn main() -> ExitCode {
    let flags = flags::Figway::from_env_or_exit();
    match flags.run().await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("figway: {error:#}");
            ExitCode::FAILURE
        }
    }
}
