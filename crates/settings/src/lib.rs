//! Settings of a node, read in one place from one YAML file.

mod read;

use std::net::SocketAddr;

pub use read::parse_settings;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the mesh; nodes of another mesh are refused.
    pub cluster: String,
    /// Name of the node, unique in the mesh.
    pub node: String,
    /// Region of the availability zone.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Where peers reach the node's control.
    pub control_address: SocketAddr,
    /// Where callers, peers' calls, targets and operators reach the node.
    pub call_address: SocketAddr,
    /// Where peers are told to reach the control, if not at `control_address`, `ip:port`.
    pub advertised_control_address: Option<String>,
    /// Platform's log.
    pub log: LogSettings,
    /// Control addresses to try first, `ip:port`.
    pub peers: Vec<String>,
    /// Links that the node keeps.
    pub links: LinkSettings,
    /// Claims of keys.
    pub claims: ClaimSettings,
    /// Limits of the data plane.
    pub calls: CallSettings,
    /// Log lines.
    pub output: OutputSettings,
    /// Where counters and histograms are served as text; nowhere when absent.
    pub metrics_address: Option<SocketAddr>,
    /// The users' platform, where the node runs there.
    pub platform: Option<PlatformSettings>,
}

/// What the users' platform says of a node. Texts keep the platform's form; its adapter reads them.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Where the host's callers reach the node.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub ready_address: SocketAddr,
    /// Where the target announces itself.
    pub announce_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Service of the target on this host.
    pub service: String,
    /// `ip:port` of the target on this host.
    pub target_address: String,
    /// How often a target announces itself, like `1500ms`.
    pub announce_every: String,
    /// How long the store keeps records, like `300s`.
    pub keep: String,
    /// Addresses of other nodes for targets' announcements.
    pub seeds: Vec<String>,
    /// Time between SIGTERM and SIGKILL, like `6s`.
    pub grace: Option<String>,
    /// Whether all nodes start for the first time.
    pub first_start: bool,
    /// Width of the host's link, in megabits a second; 0 if it is not known.
    pub link_mbps: u32,
    /// Retries that all nodes together may make, as a share of requests.
    pub retry_ratio: Option<f64>,
    /// Retries beyond that share in any window, over all nodes.
    pub retry_burst_count: Option<f64>,
}

/// How the platform's log is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Base URL of the log service.
    pub url: String,
    /// Region of the log; nodes there batch claims.
    pub region: String,
    /// How long the log keeps a record.
    pub retention_ms: u64,
}

/// Number of links by distance.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkSettings {
    /// Links within the availability zone.
    pub zone_count: usize,
    /// Links to other zones of the region.
    pub region_count: usize,
    /// Links to other regions.
    pub other_region_count: usize,
    /// Period of pings over the links.
    pub ping_period_ms: u64,
}

/// How keys are claimed.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimSettings {
    /// Streams that keys are spread over; the same on every node.
    pub partition_count: u32,
    /// How long a key is remembered.
    pub remember_ms: u64,
}

/// Limits of the data plane.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSettings {
    /// Largest request or answer body.
    pub body_max_bytes: usize,
    /// Connections kept to each peer or target.
    pub connection_max_count: usize,
}

/// Which log lines are written.
#[derive(Clone, Debug, PartialEq)]
pub struct OutputSettings {
    /// Least level that is written.
    pub level: String,
}
