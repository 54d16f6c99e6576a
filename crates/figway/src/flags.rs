//! Command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Distributes profiles to every proxy of a service mesh.
    ///
    /// Exit codes: 0 done; 1 could not be done; 2 accepted, but not in force everywhere in time;
    /// 3 refused, because another operator was first or the input is bad.
    cmd figway {
        /// Runs the node beside a target.
        cmd node {
            /// Settings of the node, in YAML; the file that FIGWAY_BOOT names if absent.
            optional --settings path: PathBuf
        }
        /// Publishes a new version of a profile.
        cmd publish {
            /// Name of the profile, like steady.
            required profile: String
            /// Profile in YAML.
            required file: PathBuf
            /// URL of the platform's log; FIGWAY_LOG if absent.
            optional --log url: String
            /// Call address of any node, IP:PORT; FIGWAY_NODE if absent.
            optional --node address: String
            /// Name that other operators see; USER if absent.
            optional --author name: String
            /// Returns when the version is in force wherever it is followed.
            optional --wait
            /// Longest wait, in seconds.
            optional --wait-s seconds: u64
            /// Prints the result as JSON.
            optional --json
        }
        /// Switches which profile a service picks.
        cmd switch {
            /// Name of the service.
            required service: String
            /// Name of the profile.
            required profile: String
            /// URL of the platform's log; FIGWAY_LOG if absent.
            optional --log url: String
            /// Call address of any node, IP:PORT; FIGWAY_NODE if absent.
            optional --node address: String
            /// Name that other operators see; USER if absent.
            optional --author name: String
            /// Pick that the switch replaces; the one in the log if absent.
            optional --expect offset: u64
            /// Returns when the switch is in force on every live node.
            optional --wait
            /// Longest wait, in seconds.
            optional --wait-s seconds: u64
            /// Prints the result as JSON.
            optional --json
        }
        /// Goes back to the profile that a service picked before, and waits until that is in force.
        cmd retreat {
            /// Name of the service.
            required service: String
            /// Profile to go back to; the one before if absent.
            optional --to profile: String
            /// URL of the platform's log; FIGWAY_LOG if absent.
            optional --log url: String
            /// Call address of any node, IP:PORT; FIGWAY_NODE if absent.
            optional --node address: String
            /// Name that other operators see; USER if absent.
            optional --author name: String
            /// Longest wait, in seconds.
            optional --wait-s seconds: u64
            /// Prints the result as JSON.
            optional --json
        }
        /// Shows what is picked, and whether it is in force on every node.
        cmd status {
            /// Call address of any node, IP:PORT; FIGWAY_NODE if absent.
            optional --node address: String
            /// Prints the result as JSON.
            optional --json
        }
        /// Checks settings and profiles without starting or publishing anything.
        cmd check {
            /// Settings of a node, in YAML.
            repeated --settings path: PathBuf
            /// Profile, in YAML.
            repeated --profile path: PathBuf
        }
        /// Tells what happened to one request, out of the collected logs of all nodes.
        cmd explain {
            /// Id of the request.
            required request: String
            /// Log of a node, JSON lines.
            repeated logs: PathBuf
        }
        /// Prints every change and its verdict as it comes.
        cmd watch {
            /// URL of the platform's log; FIGWAY_LOG if absent.
            optional --log url: String
            /// Prints one JSON object for each line.
            optional --json
        }
    }
}
