//! A small site of the users' platform on loopback: stand-ins of the store and of back ends, real
//! nodes as processes, and callers.

pub mod backend;
pub mod caller;
pub mod store;

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

use crate::process::{
    Process,
    Programs, //
};
use crate::relay::Relay;

use self::backend::Backend;
use self::caller::Caller;
use self::store::Store;

/// Name of the host in all requests of a site.
pub const HOST_HEADER: &str = "site.example";

/// Service of the even hosts: reads, which may run twice.
pub const READS: &str = "reads";

/// Service of the odd hosts: orders, which may not.
pub const ORDERS: &str = "orders";

/// Serves `handler` on a free port until the returned sender says otherwise; returns the address.
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

/// One host: a node and the back end beside it.
pub struct Host {
    /// Name of the node.
    pub name: String,
    /// The back end.
    pub backend: Rc<Backend>,
    /// Way from the node to the store.
    pub store_link: Relay,
    /// The node's process; none while it is down.
    pub node: Option<Process>,
    /// Where callers reach the node.
    pub caller_address: String,
    /// Where the platform asks whether it is ready.
    pub readiness_address: String,
    settings_path: PathBuf,
    log_path: PathBuf,
    _ports: Ports,
}

impl Host {
    /// Starts the node's process.
    ///
    /// # Errors
    ///
    /// It is not ready.
    pub fn start_node(&mut self) -> anyhow::Result<()> {
        let settings = self.settings_path.display().to_string();
        let args = ["node", "--settings", settings.as_str()];
        self.node = Some(Process::start(
            &Programs::find()?.figway,
            &args,
            Some(&self.log_path),
        )?);
        Ok(())
    }

    /// Returns where the node's log lines go.
    pub fn log_path(&self) -> &std::path::Path {
        &self.log_path
    }

    /// Returns the log lines that the node wrote so far.
    ///
    /// # Errors
    ///
    /// The log can't be read.
    pub fn log(&self) -> anyhow::Result<String> {
        std::fs::read_to_string(&self.log_path).context("could not read the node's log")
    }
}

/// Stand-ins and nodes.
pub struct Site {
    /// The store.
    pub store: Rc<Store>,
    /// Hosts, alternately of the two services, in two zones.
    pub hosts: Vec<Host>,
}

impl Site {
    /// Starts `host_count` hosts whose files go to a folder named after `name`, and publishes the
    /// first configuration.
    ///
    /// # Errors
    ///
    /// Something does not start.
    pub async fn start(name: &str, host_count: usize) -> anyhow::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("figway-site-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start().await?;
        store.publish(&config(1, "/reads/"));
        let mut hosts = Vec::new();
        for index in 0..host_count {
            hosts.push(start_host(&folder, &store, index).await?);
        }
        Ok(Self { store, hosts })
    }

    /// Returns a caller at the host of that index.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(&self.hosts[index].caller_address)
    }
}

/// Ports below those that the system gives to outgoing connections, which would take a node's port
/// while it is down.
const PORTS: std::ops::Range<u64> = 15_000..30_000;

/// Ports of one host. Each is held by a UDP socket too, so that another site does not take it while
/// the node is down.
#[derive(Default)]
struct Ports {
    held: Vec<std::net::UdpSocket>,
}

impl Ports {
    /// Returns a port that is free.
    fn take(&mut self) -> anyhow::Result<u16> {
        loop {
            let draw = figway_types::entropy() % (PORTS.end - PORTS.start);
            let port = (PORTS.start + draw) as u16;
            let tcp = std::net::TcpListener::bind(("127.0.0.1", port));
            let udp = std::net::UdpSocket::bind(("127.0.0.1", port));
            if let (Ok(_), Ok(udp)) = (tcp, udp) {
                self.held.push(udp);
                return Ok(port);
            }
        }
    }
}

async fn start_host(folder: &std::path::Path, store: &Store, index: usize) -> anyhow::Result<Host> {
    let service = if index.is_multiple_of(2) {
        READS
    } else {
        ORDERS
    };
    let zone = if index % 4 < 2 { "east" } else { "west" };
    let store_link = Relay::start().await?;
    store_link.set_upstream(&store.address());
    let mut ports = Ports::default();
    let (call, control) = (ports.take()?, ports.take()?);
    let (callers, ready, announcements) = (ports.take()?, ports.take()?, ports.take()?);
    let backend = Backend::start(service, zone, &format!("127.0.0.1:{announcements}")).await?;
    let name = format!("node-{index}");
    let settings = format!(
        "cluster: site\nnode: {name}\nregion: land\nzone: {zone}\n\
         listen:\n  control: 127.0.0.1:{control}\n  call: 127.0.0.1:{call}\n\
         log:\n  url: http://{store}\n  region: land\n\
         platform:\n  callers: 127.0.0.1:{callers}\n  ready: 127.0.0.1:{ready}\n  \
         announcements: 127.0.0.1:{announcements}\n  store: {store}\n  service: {service}\n  \
         target: {target}\n  announce_every: 500ms\n  keep: 300s\n  grace: 6s\n  \
         retry_ratio: 0.2\n  retry_burst_count: 20\n\
         calls:\n  body_max_bytes: 16777216\n",
        store = store_link.address,
        target = backend.address(),
    );
    let settings_path = folder.join(format!("{name}.yaml"));
    std::fs::write(&settings_path, settings)?;
    let mut host = Host {
        log_path: folder.join(format!("{name}.log")),
        name,
        backend,
        store_link,
        node: None,
        caller_address: format!("127.0.0.1:{callers}"),
        readiness_address: format!("127.0.0.1:{ready}"),
        settings_path,
        _ports: ports,
    };
    host.start_node()?;
    Ok(host)
}

/// Returns a configuration as the operator writes it; reads are found below `reads_prefix`.
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
            "maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
            "headerTimeout": "3000ms", "idleTimeout": "15000ms",
        },
    })
}
