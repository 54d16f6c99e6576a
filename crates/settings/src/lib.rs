//! Settings of a node, read from one YAML file.

mod read;

use std::net::SocketAddr;

pub use read::{
    parse_settings,
    MEMORY_RANGE_MB, //
};

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the mesh. Nodes of a mesh with another name are rejected.
    pub cluster: String,
    /// Name of the node, unique in the mesh.
    pub node: String,
    /// Region that contains the availability zone.
    pub region: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Address on which the control plane listens for peers.
    pub control_address: SocketAddr,
    /// Address on which the node listens for callers, forwarded calls, targets and operators.
    pub call_address: SocketAddr,
    /// Address of the control plane that is announced to peers, as `ip:port`; `control_address` if
    /// absent.
    pub advertised_control_address: Option<String>,
    /// Connection to the platform's log.
    pub log: LogSettings,
    /// Control addresses of the peers to contact first, as `ip:port`.
    pub peers: Vec<String>,
    /// Links to peers.
    pub links: LinkSettings,
    /// Claims of idempotency keys.
    pub claims: ClaimSettings,
    /// Limits of the data plane.
    pub calls: CallSettings,
    /// Prices of bytes between zones and regions.
    pub prices: PriceSettings,
    /// Output of log lines.
    pub output: OutputSettings,
    /// Address on which metrics are served as text; not served if absent.
    pub metrics_address: Option<SocketAddr>,
    /// Settings for the users' platform; absent if the node does not run there.
    pub platform: Option<PlatformSettings>,
}

/// Settings of a node that runs on the users' platform. Durations are kept in the platform's text
/// format; its adapter parses them.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address on which the node listens for callers on its host.
    pub caller_address: SocketAddr,
    /// Address on which the node serves the platform's readiness checks.
    pub ready_address: SocketAddr,
    /// Address on which the node listens for the target's announcements.
    pub announce_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Service of the target on this host.
    pub service: String,
    /// `ip:port` of the target on this host.
    pub target_address: String,
    /// Interval between a target's announcements, such as `1500ms`.
    pub announce_every: String,
    /// Retention time of records in the store, such as `300s`.
    pub keep: String,
    /// Announcement addresses of other nodes, used to find first peers.
    pub seeds: Vec<String>,
    /// Time between SIGTERM and SIGKILL, such as `6s`.
    pub grace: Option<String>,
    /// Whether all nodes of the mesh start for the first time.
    pub first_start: bool,
    /// Bandwidth of the host's link, in megabits per second; 0 if unknown.
    pub link_mbps: u32,
    /// Retries allowed for all nodes together, as a ratio of requests.
    pub retry_ratio: Option<f64>,
    /// Retries allowed beyond that ratio in any window, for all nodes together.
    pub retry_burst_count: Option<f64>,
    /// Window in which the requests of a customer are summed against its limit, such as `5s`.
    pub quota_window: Option<String>,
    /// Requests allowed above the limit of a customer in a window, as a ratio of it.
    pub quota_overrun: Option<f64>,
    /// Requests allowed beyond that ratio in any window.
    pub quota_slack: Option<f64>,
    /// Largest share of a service's requests that a bad version may get during its rollout.
    pub expose_share: Option<f64>,
    /// Requests that a bad version may get beyond that share.
    pub expose_slack_count: Option<u64>,
    /// Time after the 50th bad answer of a version until it gets no more requests, such as `5000ms`.
    pub rollback: Option<String>,
}

/// Connection to the platform's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Base URL of the log service.
    pub url: String,
    /// Region of the log. Live nodes of this region are preferred for batching claims.
    pub region: String,
    /// Retention time of records in the log, in milliseconds.
    pub retention_ms: u64,
}

/// Number of links to peers by distance, and their ping period.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkSettings {
    /// Number of links within the availability zone.
    pub zone_count: usize,
    /// Number of links to other zones of the region.
    pub region_count: usize,
    /// Number of links to other regions.
    pub other_region_count: usize,
    /// Interval between pings over a link, in milliseconds.
    pub ping_period_ms: u64,
}

/// Claims of idempotency keys.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimSettings {
    /// Number of log streams across which keys are partitioned; must be the same on every node.
    pub partition_count: u32,
    /// Time for which a claimed key is remembered, in milliseconds.
    pub remember_ms: u64,
}

/// Limits of the data plane.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSettings {
    /// Largest accepted body of a request or response, in bytes.
    pub body_max_bytes: usize,
    /// Memory that the process may take, in megabytes, if it is set.
    pub memory_max_mb: Option<usize>,
    /// Largest number of idle connections kept to each peer or target.
    pub connection_max_count: usize,
}

/// Prices of bytes between zones and regions, as fractions of one call's worth per kilobyte. The data
/// plane has its own price for one that is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PriceSettings {
    /// Price between zones of one region.
    pub region_per_kb: Option<f64>,
    /// Price between regions.
    pub far_per_kb: Option<f64>,
}

/// Output of log lines.
#[derive(Clone, Debug, PartialEq)]
pub struct OutputSettings {
    /// Least severe level that is written.
    pub level: String,
}
