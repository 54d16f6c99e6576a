//! Commands of the test bed, one file each.

mod convergence;
mod demo;
mod experiment;
mod latency;
mod log;
mod slopes;
mod soak;
mod target;

use std::path::PathBuf;

xflags::xflags! {
    /// Stand-ins of the platform and experiments with figway.
    cmd testbed {
        /// Runs the stand-in of the platform's log.
        cmd log {
            /// Where to listen; a free port of the loopback if absent.
            optional --listen address: String
        }
        /// Runs the stand-in of a target.
        cmd target {
            /// Name that its answers bear.
            required --name name: String
            /// Service that it runs.
            required --service service: String
            /// Requests that it runs at a time.
            required --slots count: u32
            /// Call address of the node beside it.
            required --node address: String
            /// Where to listen; a free port of the loopback if absent.
            optional --listen address: String
            /// Label like track=stable.
            repeated --label label: String
        }
        /// Runs a whole deployment here, with a switch and a retreat under load.
        cmd demo {
            /// Folder of the profiles.
            required profiles: PathBuf
        }
        /// Measures policy under load, figway and a baseline side by side.
        cmd experiment {
            /// Folder `deploy/`.
            required profiles: PathBuf
            /// al-ramla or verband; verband if absent.
            optional --deployment name: String
            /// crest, head-of-line, slowed or churn; all if absent.
            optional --case name: String
            /// figway or baseline; both if absent.
            optional --way name: String
            /// Start of all random draws.
            optional --seed number: u64
        }
        /// Measures how fast a change is in force everywhere, and what control costs.
        cmd convergence {
            /// Nodes, all in this process.
            required nodes: usize
        }
        /// Plays a small site of the users' platform with random faults and checks the promises.
        cmd soak {
            /// First seed; drawn if absent.
            optional --seed number: u64
            /// Seeds to play; 1 if absent.
            optional --count number: u64
            /// Length of each, in seconds; 20 if absent.
            optional --seconds number: u64
        }
        /// Measures state, bytes and processor time of control by services and members.
        cmd slopes {}
        /// Measures what figway adds to a call, against calling the target directly.
        cmd latency {
            /// Folder of the profiles.
            required profiles: PathBuf
            /// Rounds of alternating phases for each number of connections.
            optional --rounds count: usize
            /// Log level of the nodes.
            optional --level level: String
        }
    }
}

/// A command.
pub(crate) trait Run {
    /// Runs the command to its end.
    async fn run(&self) -> anyhow::Result<()>;
}

impl Run for Testbed {
    async fn run(&self) -> anyhow::Result<()> {
        match &self.subcommand {
            TestbedCmd::Demo(command) => command.run().await,
            TestbedCmd::Experiment(command) => command.run().await,
            TestbedCmd::Convergence(command) => command.run().await,
            TestbedCmd::Latency(command) => command.run().await,
            TestbedCmd::Slopes(command) => command.run().await,
            TestbedCmd::Soak(command) => command.run().await,
            TestbedCmd::Log(command) => command.run().await,
            TestbedCmd::Target(command) => command.run().await,
        }
    }
}
