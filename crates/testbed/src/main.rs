//! The `testbed` binary: stand-ins for the platform, the demo and the experiments.

mod cmd;

use std::process::ExitCode;

use crate::cmd::Run;

#[ntex::main]
async fn main() -> ExitCode {
    let flags = cmd::Testbed::from_env_or_exit();
    match flags.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("testbed: {error:#}");
            ExitCode::FAILURE
        }
    }
}
