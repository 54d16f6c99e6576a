//! Emulator of a small site of the users' platform on loopback: stand-ins for the store and for
//! back ends, real nodes as processes, and callers.

pub mod backend;
pub mod caller;
pub mod crash;
pub mod endless;
mod run;
pub mod store;
mod topic;
pub mod wire;

use std::path::PathBuf;
use std::rc::Rc;

use anyhow::Context as _;
use figway_http::{
    serve,
    Handler,
    ServerPhase, //
};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::ports::ReservedPorts;
use crate::process::{
    Process,
    Programs, //
};
use crate::relay::Relay;

use self::backend::Backend;
use self::caller::Caller;
use self::store::Store;
use self::wire::AnswerWire;

/// Value of the `Host` header of all requests, and host of all routes.
pub const HOST_HEADER: &str = "site.example";

/// Service of the hosts with an even index. Its requests are idempotent.
pub const READS: &str = "reads";

/// Service of the hosts with an odd index. Its requests must not run twice.
pub const ORDERS: &str = "orders";

/// Memory that each node may take, in megabytes.
pub const MEMORY_MAX_MB: u64 = 110;

/// Line of the settings of nodes that start for the first time, with all others.
const FIRST_START_LINE: &str = "  first_start: true\n";

/// Serves `handler` on a free loopback port. Returns the address, and a sender that controls the
/// phase of the server.
///
/// # Errors
///
/// No port is free.
pub(crate) async fn serve_on_free_port(
    handler: Rc<dyn Handler>,
) -> anyhow::Result<(String, watch::Sender<ServerPhase>)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?.to_string();
    let phase = watch::Sender::new(ServerPhase::Open);
    tokio::task::spawn_local(serve(listener, handler, phase.subscribe()));
    Ok((address, phase))
}

/// Host of a site: a node and the back end beside it.
pub struct Host {
    /// Name of the node.
    pub name: String,
    /// Back end that announces itself to the node.
    pub backend: Rc<Backend>,
    /// Connections through which the node reaches the back end.
    pub wire: Rc<AnswerWire>,
    /// Relay through which the node reaches the store.
    pub store_link: Relay,
    /// Process of the node; `None` while it is down.
    pub node: Option<Process>,
    /// Address on which the node accepts callers.
    pub caller_address: String,
    /// Address on which the node answers operators and peers.
    pub call_address: String,
    /// Address on which the node answers the platform's readiness check.
    pub readiness_address: String,
    /// Address on which the node serves its metrics.
    pub metrics_address: String,
    settings_path: PathBuf,
    log_path: PathBuf,
    /// Whether the node was started before.
    has_run: bool,
    _ports: ReservedPorts,
}

impl Host {
    /// Starts the process of the node and waits until it is ready.
    ///
    /// # Errors
    ///
    /// The process can't be started or ends before it is ready.
    pub fn start_node(&mut self) -> anyhow::Result<()> {
        if self.has_run {
            let settings = std::fs::read_to_string(&self.settings_path)?;
            let settings = settings.replace(FIRST_START_LINE, "");
            std::fs::write(&self.settings_path, settings)?;
        }
        self.has_run = true;
        let settings = self.settings_path.display().to_string();
        let args = ["node", "--settings", settings.as_str()];
        self.node = Some(Process::start(
            &Programs::find()?.figway,
            &args,
            Some(&self.log_path),
        )?);
        Ok(())
    }

    /// Returns the path of the file to which the node writes its log lines.
    pub fn log_path(&self) -> &std::path::Path {
        &self.log_path
    }

    /// Returns the log lines that the node has written so far.
    ///
    /// # Errors
    ///
    /// The log file can't be read.
    pub fn log(&self) -> anyhow::Result<String> {
        std::fs::read_to_string(&self.log_path).context("could not read the node's log")
    }
}

/// Store and hosts of an emulated site.
pub struct Site {
    folder: PathBuf,
    /// Stand-in for the platform's store.
    pub store: Rc<Store>,
    /// Hosts. The service alternates with each host, and the zone after every two hosts.
    pub hosts: Vec<Host>,
    /// Bandwidth of the hosts' links that the settings state, in megabits per second; 0 for none.
    link_mbps: u32,
}

impl Site {
    /// Starts the store, publishes the first configuration and starts `host_count` hosts. Settings
    /// and logs go to a temporary folder that is named after `name` and the process ID.
    ///
    /// # Errors
    ///
    /// A file can't be written, or the store, a back end or a node can't be started.
    pub async fn start(name: &str, host_count: usize) -> anyhow::Result<Self> {
        Self::start_on_links(name, host_count, 0).await
    }

    /// Starts a site as [`Site::start`] does, whose settings state that the hosts' links carry
    /// `link_mbps` megabits per second. Loopback carries more.
    ///
    /// # Errors
    ///
    /// As for [`Site::start`].
    pub async fn start_on_links(
        name: &str,
        host_count: usize,
        link_mbps: u32,
    ) -> anyhow::Result<Self> {
        let settings = HostSettings {
            link_mbps,
            ..HostSettings::default()
        };
        Self::start_with(name, host_count, settings).await
    }

    /// Starts a site as [`Site::start`] does, whose settings state that all nodes start for the first time.
    ///
    /// # Errors
    ///
    /// As for [`Site::start`].
    pub async fn start_first(name: &str, host_count: usize) -> anyhow::Result<Self> {
        let settings = HostSettings {
            first_start: true,
            ..HostSettings::default()
        };
        Self::start_with(name, host_count, settings).await
    }

    async fn start_with(
        name: &str,
        host_count: usize,
        settings: HostSettings<'_>,
    ) -> anyhow::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("figway-site-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start().await?;
        store.publish(&config(1, "/reads/"));
        let mut hosts = Vec::new();
        for index in 0..host_count {
            hosts.push(start_host(&folder, &store, index, settings).await?);
        }
        Ok(Self {
            folder,
            store,
            hosts,
            link_mbps: settings.link_mbps,
        })
    }

    /// Adds a host that no other host knows.
    ///
    /// # Errors
    ///
    /// As for [`Site::start`].
    pub async fn add_host(&mut self) -> anyhow::Result<()> {
        self.add_host_of("v1").await
    }

    /// Adds a host whose back end is of `version`.
    ///
    /// # Errors
    ///
    /// As for [`Site::start`].
    pub async fn add_host_of(&mut self, version: &str) -> anyhow::Result<()> {
        let index = self.hosts.len();
        let settings = HostSettings {
            link_mbps: self.link_mbps,
            version,
            ..HostSettings::default()
        };
        let host = start_host(&self.folder, &self.store, index, settings).await?;
        self.hosts.push(host);
        Ok(())
    }

    /// Returns a caller that calls the node of the host at `index`.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(&self.hosts[index].caller_address)
    }
}

/// What hosts of a site may differ in.
#[derive(Clone, Copy)]
struct HostSettings<'a> {
    /// Bandwidth of the link that the settings state, in megabits per second; 0 for none.
    link_mbps: u32,
    /// Version of the back end.
    version: &'a str,
    /// Whether the settings state that all nodes start for the first time.
    first_start: bool,
}

impl Default for HostSettings<'_> {
    fn default() -> Self {
        Self {
            link_mbps: 0,
            version: "v1",
            first_start: false,
        }
    }
}

async fn start_host(
    folder: &std::path::Path,
    store: &Store,
    index: usize,
    host_settings: HostSettings<'_>,
) -> anyhow::Result<Host> {
    let HostSettings {
        link_mbps,
        version,
        first_start,
    } = host_settings;
    let first_start_line = if first_start { FIRST_START_LINE } else { "" };
    let service = if index.is_multiple_of(2) {
        READS
    } else {
        ORDERS
    };
    let zone = if index % 4 < 2 { "east" } else { "west" };
    let store_link = Relay::start().await?;
    store_link.set_upstream(&store.address());
    let mut ports = ReservedPorts::default();
    let (call, control) = (ports.reserve(), ports.reserve());
    let (callers, ready, announcements) = (ports.reserve(), ports.reserve(), ports.reserve());
    let (metrics, target) = (ports.reserve(), ports.reserve());
    let backend = Backend::start(service, zone, &format!("127.0.0.1:{announcements}")).await?;
    *backend.version.borrow_mut() = version.to_owned();
    let wire = AnswerWire::start(&format!("127.0.0.1:{target}"), &backend.listen_address()).await?;
    backend.announce_at(&wire.address);
    let name = format!("node-{index}");
    let settings = format!(
        "cluster: site\nnode: {name}\nregion: land\nzone: {zone}\n\
         listen:\n  control: 127.0.0.1:{control}\n  call: 127.0.0.1:{call}\n\
         log:\n  url: http://{store}\n  region: land\n\
         platform:\n  callers: 127.0.0.1:{callers}\n  ready: 127.0.0.1:{ready}\n  \
         announcements: 127.0.0.1:{announcements}\n  store: {store}\n  service: {service}\n  \
         target: {target}\n  announce_every: 500ms\n  keep: 300s\n  grace: 6s\n  \
         retry_ratio: 0.2\n  retry_burst_count: 20\n  link_mbps: {link_mbps}\n{first_start_line}\
         calls:\n  body_max_bytes: 16777216\n  memory_max_mb: {MEMORY_MAX_MB}\nmetrics:\n  address: 127.0.0.1:{metrics}\n",
        store = store_link.address,
        target = wire.address,
    );
    let settings_path = folder.join(format!("{name}.yaml"));
    std::fs::write(&settings_path, settings)?;
    let mut host = Host {
        log_path: folder.join(format!("{name}.log")),
        name,
        backend,
        wire,
        store_link,
        node: None,
        caller_address: format!("127.0.0.1:{callers}"),
        call_address: format!("127.0.0.1:{call}"),
        readiness_address: format!("127.0.0.1:{ready}"),
        metrics_address: format!("127.0.0.1:{metrics}"),
        settings_path,
        has_run: false,
        _ports: ports,
    };
    host.start_node()?;
    Ok(host)
}

/// Returns a configuration in the operator's format. It routes paths below `reads_prefix` to the
/// reads service.
pub fn config(version: u32, reads_prefix: &str) -> serde_json::Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "host": HOST_HEADER, "pathPrefix": prefix, "kind": kind, "timeout": "900ms",
            "targetLatency": "300ms", "priority": 1, "service": service, "maxAttempts": 2,
        })
    };
    let service = json!({
        "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false,
    });
    json!({
        "version": format!("{version:08x}"),
        "routes": {
            "r-reads": route(reads_prefix, "idempotent", READS),
            "r-orders": route("/orders/", "non_idempotent", ORDERS),
        },
        "services": { READS: service, ORDERS: service },
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864,
            "headerTimeout": "3000ms", "idleTimeout": "15000ms",
        },
    })
}

/// Returns a configuration as [`config`] does, with customers and with a route below `/open/` whose
/// requests need no key. Requests may take `timeout_ms`.
pub fn config_with_customers(
    version: u32,
    tenants: &serde_json::Value,
    timeout_ms: u64,
) -> serde_json::Value {
    let mut config = config(version, "/reads/");
    let mut open = config["routes"]["r-orders"].clone();
    open["pathPrefix"] = json!("/open/");
    open["anonymous"] = json!(true);
    config["routes"]["r-open"] = open;
    for name in ["r-reads", "r-orders", "r-open"] {
        config["routes"][name]["timeout"] = json!(format!("{timeout_ms}ms"));
        // Overload control refuses calls that would be late, so that none counts as late here.
        config["routes"][name]["targetLatency"] = json!(format!("{timeout_ms}ms"));
    }
    config["tenants"] = tenants.clone();
    config
}
