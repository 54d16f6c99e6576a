//! Small deployment on loopback: a store, machines with a node process and a back end each, and calls.

use std::fs::File;
use std::io::Write as _;
use std::net::{Ipv4Addr, TcpListener};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::http::{request, Connection, Message};
use crate::relay::Relay;
use crate::store::Store;

const HOST: &str = "shop.example";
const MEMORY_MAX_MB: u64 = 260;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
const SIGKILL: u64 = 9;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Writes what happened to `record.txt`, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn new() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "/dev/stdout".to_owned());
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Mutex::new(file),
            started_at: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        writeln!(file, "{at:8.3} {text}").ok();
    }
}

pub struct Machine {
    pub name: String,
    zone: String,
    service: String,
    pub callers: String,
    ready: String,
    control: String,
    settings: PathBuf,
    log: PathBuf,
    pub backend: Arc<Backend>,
    node: Option<Child>,
    peer_control: String,
    inbound: String,
    metrics: String,
    target: String,
    /// Whether the whole system starts for the first time.
    first_start: bool,
    /// Address of the store in the settings.
    pub store: String,
}

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

fn free_port(ip: Ipv4Addr) -> (TcpListener, String) {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

impl Machine {
    /// Writes the settings, as `deploy/node.yaml.template` lays them out.
    pub fn write_settings(&self) {
        let text = format!(
            "cluster: figway\nnode: {}\nregion: land\nzone: {}\n\
             listen:\n  control: {}\n  call: {}\n\
             log:\n  url: http://{store}\n  region: land\n\
             platform:\n  callers: {}\n  ready: {}\n  announcements: {}\n  store: {store}\n  \
             service: \"{}\"\n  target: {}\n  announce_every: {}ms\n  keep: 300s\n  seeds: []\n  \
             first_start: {}\n  link_mbps: 1000.0\n  grace: 6s\n  retry_ratio: 0.2\n  retry_burst_count: 58\n\
             calls:\n  body_max_bytes: 16777216\nmetrics:\n  address: {}\noutput:\n  level: info\n",
            self.name, self.zone, self.peer_control, self.inbound, self.callers, self.ready, self.control,
            self.service, self.target, HEARTBEAT.as_millis(), self.first_start, self.metrics, store = self.store
        );
        // The platform replaces the file as a whole.
        let partial = self.settings.with_extension("new");
        std::fs::write(&partial, text).expect("the settings can be written");
        std::fs::rename(partial, &self.settings).expect("the settings can be replaced");
    }

    /// Starts the node with the command of the deploy file.
    pub fn start_node(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can be opened");
        let mut command = Command::new("target/release/figway");
        // SAFETY: the closure makes one system call and touches no memory of this process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .arg("node")
            .env("FIGWAY_BOOT", &self.settings)
            .env("FIGWAY_MEMORY_MAX_MB", MEMORY_MAX_MB.to_string())
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log can be opened twice"))
            .stdout(log)
            .spawn()
            .expect("the node starts");
        self.node = Some(child);
    }

    /// Starts the node again after its end.
    pub fn restart_node(&mut self) {
        self.first_start = false;
        self.write_settings();
        self.start_node();
    }

    pub fn signal(&self, signal: i32) {
        if let Some(node) = &self.node {
            // SAFETY: the process is a child of this one and was not waited for.
            unsafe { kill(node.id() as i32, signal) };
        }
    }

    /// Kills the node and waits for its end.
    pub fn kill_node(&mut self) {
        if let Some(mut node) = self.node.take() {
            node.kill().ok();
            node.wait().ok();
        }
    }

    /// Returns the exit status text if the node has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.node.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }
}

pub struct World {
    folder: PathBuf,
    pub store: Arc<Store>,
    /// Address at which nodes reach the store at first.
    pub store_link: Arc<Relay>,
    pub machines: Vec<Machine>,
    pub record: Arc<Record>,
}

impl World {
    /// Starts a store and one machine for each service and zone; the first service is idempotent, the
    /// second is not.
    pub fn start(zones: &[&str], services: &[&str], timeout_ms: u64) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start();
        let store_link = Relay::start(&store.address);
        store.write_config(&config(1, services, timeout_ms));
        let mut machines = Vec::new();
        for (place, zone) in zones.iter().enumerate() {
            for (index, service) in services.iter().enumerate() {
                let ip = Ipv4Addr::new(127, 43, place as u8 + 1, index as u8 + 1);
                let (target_listener, target) = free_port(ip);
                let mut held = Vec::new();
                let mut port = || {
                    let (listener, address) = free_port(ip);
                    held.push(listener);
                    address
                };
                let (callers, ready, control) = (port(), port(), port());
                let (peer_control, inbound, metrics) = (port(), port(), port());
                drop(held);
                let name = format!("sidecar-{zone}-{}", index + 1);
                let backend = Backend::start(
                    target_listener,
                    service,
                    zone,
                    &format!("i-{place}{index}"),
                    &control,
                    HEARTBEAT,
                );
                let mut machine = Machine {
                    first_start: true,
                    settings: folder.join(format!("{name}.yaml")),
                    log: folder.join(format!("{name}.log")),
                    zone: (*zone).to_owned(),
                    service: (*service).to_owned(),
                    store: store_link.address.clone(),
                    node: None,
                    name,
                    callers,
                    ready,
                    control,
                    backend,
                    peer_control,
                    inbound,
                    metrics,
                    target,
                };
                machine.write_settings();
                machine.start_node();
                machines.push(machine);
            }
        }
        Self {
            folder,
            store,
            store_link,
            machines,
            record: Arc::new(Record::new()),
        }
    }

    /// Waits until each service is served at each machine.
    pub fn wait_ready(&self, services: &[&str]) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for machine in &self.machines {
            for (index, service) in services.iter().enumerate() {
                let method = if index == 0 { "GET" } else { "POST" };
                loop {
                    let id = next_id();
                    if call(
                        &machine.callers,
                        method,
                        &format!("/{service}/ready"),
                        &id,
                        1_000,
                        b"",
                    )
                    .status
                        == 200
                    {
                        break;
                    }
                    if Instant::now() > deadline {
                        return Err(format!("{} does not serve {service}", machine.name));
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        }
        self.record.line("all machines serve all services");
        Ok(())
    }
}

impl World {
    /// Records each request that a back end began to run, with the time since `since`.
    pub fn record_runs(&self, since: Instant) {
        for machine in &self.machines {
            for run in machine
                .backend
                .runs
                .lock()
                .expect("no holder panics")
                .iter()
            {
                let at = run.at.saturating_duration_since(since);
                self.record.line(&format!(
                    "ran {} at {}, {} ms after the start of the judged time",
                    run.id,
                    machine.backend.id,
                    at.as_millis()
                ));
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill_node();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Configuration with a route for each service, `/NAME/`.
pub fn config(version: u32, services: &[&str], timeout_ms: u64) -> String {
    let mut routes = Vec::new();
    let mut limits = Vec::new();
    for (index, service) in services.iter().enumerate() {
        let kind = if index == 0 {
            "idempotent"
        } else {
            "non_idempotent"
        };
        routes.push(format!(
            "\"r-{service}\":{{\"host\":\"{HOST}\",\"pathPrefix\":\"/{service}/\",\"kind\":\"{kind}\",\"timeout\":\"{timeout_ms}ms\",\
             \"targetLatency\":\"300ms\",\"priority\":{index},\"service\":\"{service}\",\"maxAttempts\":2}}"
        ));
        limits.push(format!(
            "\"{service}\":{{\"healthPath\":\"/health\",\"maxConnections\":110}}"
        ));
    }
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":1048576,\"headerTimeout\":\"3s\",\"idleTimeout\":\"15s\"}}}}",
        routes.join(","),
        limits.join(",")
    )
}

/// Returns a new id of a client attempt.
pub fn next_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed) + 1;
    let mut mixed = count
        .wrapping_add(u64::from(std::process::id()) << 32)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ mixed >> 31).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    format!("{:016x}", mixed ^ mixed >> 29)
}

/// Result of a client attempt. The status is 0 if there was no complete answer.
#[derive(Clone, Debug, Default)]
pub struct Called {
    pub status: u16,
    pub took: Duration,
}

fn headers_of(id: &str, deadline_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("host", HOST.to_owned()),
        ("x-figway-attempt-id", id.to_owned()),
        ("x-figway-deadline-ms", deadline_ms.to_string()),
    ]
}

/// Makes one client attempt on a new connection.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Called {
    let started_at = Instant::now();
    let Ok(mut connection) = Connection::open(address, Duration::from_secs(1)) else {
        return Called {
            took: started_at.elapsed(),
            ..Called::default()
        };
    };
    call_on(&mut connection, method, path, id, deadline_ms, body)
}

/// Makes one client attempt on a connection.
fn call_on(
    connection: &mut Connection,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Called {
    let started_at = Instant::now();
    let deadline = started_at + Duration::from_millis(deadline_ms);
    let sent = connection.send(&request(method, path, &headers_of(id, deadline_ms), body));
    let answer = if sent {
        connection.receive(Some(deadline))
    } else {
        None
    };
    Called {
        status: answer.as_ref().map_or(0, Message::status),
        took: started_at.elapsed(),
    }
}
