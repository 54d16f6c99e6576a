//! Subcommands of the test bed, one file each.

mod call_cost;
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
    /// Stand-ins for the platform, and experiments with figway.
    cmd testbed {
        /// Runs the stand-in for the platform's log.
        cmd log {
            /// Address to listen on; a free loopback port if absent.
            optional --listen address: String
        }
        /// Runs the stand-in for a target and announces it to a node.
        cmd target {
            /// Name of the target, returned in its answers.
            required --name name: String
            /// Service that the target runs.
            required --service service: String
            /// Number of requests that the target runs at the same time.
            required --slots count: u32
            /// Call address of the node on the same host.
            required --node address: String
            /// Address to listen on; a free loopback port if absent.
            optional --listen address: String
            /// Label of the target, for example track=stable.
            repeated --label label: String
        }
        /// Runs a whole deployment on this machine, with a switch and a retreat under load.
        cmd demo {
            /// Folder of the profiles.
            required profiles: PathBuf
        }
        /// Compares figway with a baseline under load.
        cmd experiment {
            /// Folder `deploy/`.
            required profiles: PathBuf
            /// Deployment: al-ramla or verband; verband if absent.
            optional --deployment name: String
            /// Case: crest, head-of-line, slowed or churn; all if absent.
            optional --case name: String
            /// Way of the calls: figway or baseline; both if absent.
            optional --way name: String
            /// Seed of all random numbers; 7 if absent.
            optional --seed number: u64
        }
        /// Measures how long a change takes to be in force on every node, and the costs of the
        /// control plane.
        cmd convergence {
            /// Number of nodes, all in this process.
            required nodes: usize
        }
        /// Runs a small site of the users' platform with random faults and checks the system's
        /// guarantees.
        cmd soak {
            /// First seed; random if absent.
            optional --seed number: u64
            /// Number of consecutive seeds to run; 1 if absent.
            optional --count number: u64
            /// Duration of the run of each seed, in seconds; 20 if absent.
            optional --seconds number: u64
            /// Gives callers API keys, some of which the operator removes, and lets one customer send
            /// several times its limit.
            optional --customers
            /// Rolls out a good or a bad version of a service.
            optional --rollouts
            /// Kill all nodes at once, some times, shortly after a back end has left.
            optional --kill-all
        }
        /// Measures how state size, bytes and processor time of the control plane grow with the
        /// number of services and members.
        cmd slopes {}
        /// Measures the latency that figway adds to a call, compared with a direct call to the
        /// target.
        cmd latency {
            /// Folder of the profiles.
            required profiles: PathBuf
            /// Rounds of alternating phases for each number of connections; 8 if absent.
            optional --rounds count: usize
            /// Log level of the nodes: warn, or info for every other value; info if absent.
            optional --level level: String
        }
        /// Measures the processor time and the wake-ups of a call that passes two nodes on the
        /// users' platform.
        cmd call-cost {
            /// Seconds of calls for each number of connections; 8 if absent.
            optional --seconds seconds: u64
        }
    }
}

/// A subcommand.
pub(crate) trait Run {
    /// Runs the subcommand to its end.
    async fn run(&self) -> anyhow::Result<()>;
}

impl Run for Testbed {
    async fn run(&self) -> anyhow::Result<()> {
        match &self.subcommand {
            TestbedCmd::Demo(command) => command.run().await,
            TestbedCmd::Experiment(command) => command.run().await,
            TestbedCmd::Convergence(command) => command.run().await,
            TestbedCmd::Latency(command) => command.run().await,
            TestbedCmd::CallCost(command) => command.run().await,
            TestbedCmd::Slopes(command) => command.run().await,
            TestbedCmd::Soak(command) => command.run().await,
            TestbedCmd::Log(command) => command.run().await,
            TestbedCmd::Target(command) => command.run().await,
        }
    }
}
