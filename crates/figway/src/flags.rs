//! Definition of the command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Distributes profiles to every proxy of a service mesh.
    ///
    /// Exit codes: 0 success; 1 failure; 2 accepted, but not in force everywhere in time;
    /// 3 refused, because another operator was first or the input is invalid.
    cmd figway {
        /// Runs a node beside a target.
        cmd node {
            /// Settings of the node, in YAML; the file named by FIGWAY_BOOT if absent.
            optional --settings path: PathBuf
        }
        /// Publishes a new version of a profile.
        cmd publish {
            /// Name of the profile, such as steady.
            required profile: String
            /// Profile file, in YAML.
            required file: PathBuf
            /// URL of the platform's log; FIGWAY_LOG if absent.
            optional --log url: String
            /// Call address of any node, IP:PORT; FIGWAY_NODE if absent.
            optional --node address: String
            /// Author of the change, shown to other operators; USER if absent.
            optional --author name: String
            /// Waits until the version is in force for every service that picks the profile.
            optional --wait
            /// Longest wait for each service, in seconds; 30 if absent.
            optional --wait-s seconds: u64
            /// Prints the result as JSON.
            optional --json
        }
        /// Switches a service to another profile.
        cmd switch {
            /// Name of the service.
            required service: String
            /// Name of the profile.
            required profile: String
            /// URL of the platform's log; FIGWAY_LOG if absent.
            optional --log url: String
            /// Call address of any node, IP:PORT; FIGWAY_NODE if absent.
            optional --node address: String
            /// Author of the change, shown to other operators; USER if absent.
            optional --author name: String
            /// Offset of the pick that the switch replaces; the current one in the log if absent.
            optional --expect offset: u64
            /// Waits until the switch is in force on every live node.
            optional --wait
            /// Longest wait, in seconds; 30 if absent.
            optional --wait-s seconds: u64
            /// Prints the result as JSON.
            optional --json
        }
        /// Switches a service back to its previous profile and waits until that is in force.
        cmd retreat {
            /// Name of the service.
            required service: String
            /// Profile to switch back to; the previous one if absent.
            optional --to profile: String
            /// URL of the platform's log; FIGWAY_LOG if absent.
            optional --log url: String
            /// Call address of any node, IP:PORT; FIGWAY_NODE if absent.
            optional --node address: String
            /// Author of the change, shown to other operators; USER if absent.
            optional --author name: String
            /// Longest wait, in seconds; 30 if absent.
            optional --wait-s seconds: u64
            /// Prints the result as JSON.
            optional --json
        }
        /// Shows the profile of each service and whether it is in force on every node.
        cmd status {
            /// Call address of any node, IP:PORT; FIGWAY_NODE if absent.
            optional --node address: String
            /// Prints the result as JSON.
            optional --json
        }
        /// Checks settings and profiles without starting or publishing anything.
        cmd check {
            /// Settings file of a node, in YAML.
            repeated --settings path: PathBuf
            /// Profile file, in YAML.
            repeated --profile path: PathBuf
        }
        /// Shows what happened to one request, from the collected logs of the nodes. With --host it asks
        /// a node where a request of that path would go now, and sends nothing.
        cmd explain {
            /// Id of the request; with --host its path.
            required request: String
            /// Log file of a node, one JSON object per line.
            repeated logs: PathBuf
            /// Host that the request names.
            optional --host name: String
            /// Customer that makes the request.
            optional --customer name: String
            /// Size of the request body, in bytes; 0 if absent.
            optional --body-bytes count: u64
            /// Call address of the node that is asked, IP:PORT; FIGWAY_NODE if absent.
            optional --node address: String
            /// Prints the answer of the node as JSON.
            optional --json
        }
        /// Prints each change and its verdict as it is appended to the log.
        cmd watch {
            /// URL of the platform's log; FIGWAY_LOG if absent.
            optional --log url: String
            /// Prints each change as one JSON object per line.
            optional --json
        }
    }
}
