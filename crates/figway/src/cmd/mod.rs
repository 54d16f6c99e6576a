//! Commands of the binary, one module each.

mod check;
mod explain;
mod explain_node;
mod node;
mod publish;
mod retreat;
mod status;
mod switch;
mod watch;

use std::process::ExitCode;

use crate::flags::{
    Figway,
    FigwayCmd, //
};

/// Exit code for a change that was accepted but is not in force everywhere in time.
pub(crate) const EXIT_NOT_IN_FORCE: u8 = 2;

/// Exit code for a change or an input that was refused.
pub(crate) const EXIT_REFUSED: u8 = 3;

/// Runs a command of the binary.
pub(crate) trait Run {
    /// Runs the command to completion and returns its exit code.
    async fn run(&self) -> anyhow::Result<ExitCode>;
}

impl Run for Figway {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        match &self.subcommand {
            FigwayCmd::Node(command) => command.run().await,
            FigwayCmd::Publish(command) => command.run().await,
            FigwayCmd::Switch(command) => command.run().await,
            FigwayCmd::Retreat(command) => command.run().await,
            FigwayCmd::Status(command) => command.run().await,
            FigwayCmd::Check(command) => command.run().await,
            FigwayCmd::Watch(command) => command.run().await,
            FigwayCmd::Explain(command) => command.run().await,
        }
    }
}
