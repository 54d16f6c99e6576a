//! Stand-ins of a small site on loopback addresses: the platform's store, machines with a node and
//! a back end, and clients. Only the standard library is used.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// What happened, with times, for `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0 .0.elapsed().as_secs_f64();
        let _ = writeln!(self.0 .1.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }
}

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=') {
                if key == name {
                    return Some(value.to_owned());
                }
            }
        }
        None
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim().split(';').next().unwrap_or("0"), 16)
                .unwrap_or(0);
            let mut part = vec![0; len + 2];
            reader.read_exact(&mut part)?;
            if len == 0 {
                break;
            }
            message.body.extend_from_slice(&part[..len]);
        }
    } else if let Some(len) = message
        .header("content-length")
        .and_then(|v| v.parse().ok())
    {
        let mut body: Vec<u8> = vec![0; len];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves connections on `address`, each on a thread of its own. `handle` returns the bytes of the
/// answer, or `None` to close the connection without one.
pub fn serve(address: &str, handle: impl Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| panic!("{address}: {e}"));
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve_connection(stream, Arc::clone(&handle));
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handle: Arc<impl Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static>,
) {
    thread::spawn(move || {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let Some(bytes) = handle(&request) else {
                return;
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    });
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(BASE64[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Records of the store at one moment.
pub struct StoreCopy(HashMap<String, Topic>);

#[derive(Clone, Default)]
struct Topic {
    records: Vec<(Instant, Vec<u8>)>,
}

impl Topic {
    /// Returns the offset of the first record that is retained. Of a keyed topic the newest record of
    /// each key is retained too, which `newest` returns.
    fn first(&self, keep: Option<Duration>) -> usize {
        let Some(keep) = keep else { return 0 };
        let is_kept = |(at, _): &(Instant, Vec<u8>)| at.elapsed() <= keep;
        self.records
            .iter()
            .position(is_kept)
            .unwrap_or(self.records.len())
    }
}

/// The platform's store, as far as the system uses it.
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    /// Value of `Store-Era`, which rises when the store comes back from an older copy.
    era: AtomicU64,
    is_away: AtomicBool,
    /// Age from which on records expire, if they do.
    keep: Option<Duration>,
    pub address: String,
}

impl Store {
    pub fn start(address: &str, keep: Option<Duration>) -> Arc<Self> {
        let store = Arc::new(Store {
            topics: Mutex::default(),
            changed: Condvar::new(),
            era: AtomicU64::new(1),
            is_away: AtomicBool::new(false),
            keep,
            address: address.to_owned(),
        });
        let served = Arc::clone(&store);
        serve(address, move |request| served.serve_call(request));
        store
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.topics.lock().unwrap().clone())
    }

    /// Goes away: closes the connections of all calls without an answer.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Comes back from an older copy. What the operator and the back ends wrote is written again.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut topics = self.topics.lock().unwrap();
        let operator = topics.remove("keyed.op");
        *topics = copy.0;
        if let Some(operator) = operator {
            topics.insert("keyed.op".to_owned(), operator);
        }
        drop(topics);
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Answers a call, unless the store is away at its begin or its end.
    fn serve_call(&self, request: &Message) -> Option<Vec<u8>> {
        let era = self.era.load(Ordering::SeqCst);
        if self.is_away.load(Ordering::SeqCst) {
            return None;
        }
        let answer = self.handle(request);
        if self.is_away.load(Ordering::SeqCst) || self.era.load(Ordering::SeqCst) != era {
            return None;
        }
        let head_end = answer.iter().position(|byte| *byte == b'\n').unwrap_or(0) + 1;
        let mut bytes = answer[..head_end].to_vec();
        bytes.extend_from_slice(format!("Store-Era: {era}\r\n").as_bytes());
        bytes.extend_from_slice(&answer[head_end..]);
        Some(bytes)
    }

    /// Appends a record to a keyed topic, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut topics = self.topics.lock().unwrap();
        topics
            .entry(topic.to_owned())
            .or_default()
            .records
            .push((Instant::now(), record));
        drop(topics);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        let path = request.target().split('?').next().unwrap_or("");
        match (request.method(), path) {
            ("POST", "/log-append") => self.append(request, &topic),
            ("GET", "/log-read") => self.read(request, &topic),
            ("GET", "/log-newest") => self.newest(request, &topic),
            _ => answer(404, &[], b""),
        }
    }

    fn append(&self, request: &Message, topic: &str) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let records = &mut topics.entry(topic.to_owned()).or_default().records;
        let offset = records.len();
        if let Some(as_of) = request.query("asOf") {
            if as_of != offset.to_string() {
                return answer(412, &[], format!("{{\"end\":{offset}}}").as_bytes());
            }
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let len = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            records.push((Instant::now(), rest[4..4 + len].to_vec()));
            rest = &rest[4 + len..];
        }
        let end = records.len();
        drop(topics);
        self.changed.notify_all();
        thread::sleep(Duration::from_millis(4));
        answer(
            200,
            &[],
            format!("{{\"offset\":{offset},\"end\":{end}}}").as_bytes(),
        )
    }

    fn read(&self, request: &Message, topic: &str) -> Vec<u8> {
        let from: usize = request
            .query("from")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let wait: u64 = request
            .query("waitMs")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let kept = topics.entry(topic.to_owned()).or_default();
            let first = kept.first(self.keep);
            let records = &kept.records;
            if from < first || from > records.len() {
                let body = format!("{{\"first\":{first}}}");
                return answer(
                    410,
                    &[("Content-Type", "application/json")],
                    body.as_bytes(),
                );
            }
            let left = until.saturating_duration_since(Instant::now());
            let ends = left.is_zero() || self.is_away.load(Ordering::SeqCst);
            if records.len() > from || ends {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&(first as u64).to_be_bytes());
                for (_, record) in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                drop(topics);
                thread::sleep(Duration::from_millis(4));
                return answer(200, &[], &body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, _: &Message, topic: &str) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let records = &topics.entry(topic.to_owned()).or_default().records;
        let mut newest: HashMap<&[u8], (usize, &[u8])> = HashMap::new();
        for (offset, (_, record)) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(key, (offset, value));
        }
        let mut items = Vec::new();
        for (key, (offset, value)) in newest {
            if !value.is_empty() {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                items.push(format!(
                    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
                ));
            }
        }
        let end = records.len();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"end\":{end}}}",
            items.join(",")
        );
        drop(topics);
        thread::sleep(Duration::from_millis(4));
        answer(
            200,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }
}

/// Fills in the template of the settings as the platform does, for the forms that it uses.
fn fill_template(template: &str, values: &HashMap<&str, String>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        text.push_str(&rest[..at]);
        rest = &rest[at + 2..];
        let end = rest.find("}}").expect("a placeholder ends");
        let name = &rest[..end];
        rest = &rest[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let close_at = rest.find(&close).expect("a section ends");
            if values.contains_key(section) {
                text.push_str(&fill_template(&rest[..close_at], values));
            }
            rest = &rest[close_at + close.len()..];
            continue;
        }
        match name.split_once('|') {
            Some(("seeds", _)) => text.push_str("[]"),
            Some((name, _)) => text.push_str(&format!("\"{}\"", values[name])),
            None => text.push_str(values.get(name).map_or("", String::as_str)),
        }
    }
    text.push_str(rest);
    text
}

/// A run of a request at a back end.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// Value of `X-Figway-Tenant`.
    pub tenant: String,
    pub at: Instant,
}

/// A call that a back end makes of its own during each run.
#[derive(Clone, Debug)]
pub struct NestedCall {
    /// `outbound` address of the machine.
    pub outbound: String,
    pub host: String,
    pub path: String,
    /// Whether the call's id is that of the run, a dot and a number. Otherwise it has a form like any
    /// other.
    pub names_run: bool,
}

/// Requests that end the back end which runs them.
#[derive(Clone, Debug)]
pub struct CrashRule {
    pub path: String,
    /// Time from the start of the run to the end of the back end.
    pub after: Duration,
    /// Time until the back end starts again.
    pub down_for: Duration,
}

pub struct BackendState {
    pub crash_rule: Mutex<Option<CrashRule>>,
    /// When the back end has crashed.
    pub crashed_at: Mutex<Vec<Instant>>,
    is_up: AtomicBool,
    pub instance: Mutex<String>,
    pub born_ms: AtomicU64,
    pub sequence: AtomicU64,
    pub beats: AtomicBool,
    pub draining: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    pub nested_call: Mutex<Option<NestedCall>>,
    /// Ids and statuses of the nested calls.
    pub nested_statuses: Mutex<Vec<(String, u16)>>,
    pub beat_acks: AtomicU64,
}

/// A machine with a node and a back end beside it.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub backend: Arc<BackendState>,
    pub node: Option<Child>,
    bounds: Vec<(&'static str, &'static str)>,
    keep: Duration,
    dir: PathBuf,
}

/// First of the ports of a run, which are free at all its addresses.
static FIRST_PORT: OnceLock<u16> = OnceLock::new();

/// Number of ports of a run.
const PORT_COUNT: u16 = 16;

const CALL_PORT: u16 = 0;
const APP_PORT: u16 = 1;
const READY_PORT: u16 = 2;
const OUTBOUND_PORT: u16 = 4;
const CONTROL_PORT: u16 = 6;
const STORE_PORT: u16 = 9;
const PEER_PORT: u16 = 10;
const METRICS_PORT: u16 = 15;

/// Returns the address of a port, which counts from the first of the run.
fn address_of(ip: &str, port: u16) -> String {
    let first = FIRST_PORT.get().expect("the ports are chosen first");
    format!("{ip}:{}", first + port)
}

/// Returns the address of the back end at `ip`.
pub fn app_address(ip: &str) -> String {
    address_of(ip, APP_PORT)
}

/// Largest number of machines.
const MACHINE_MAX_COUNT: u8 = 10;

/// Name, availability zone, region and service of a machine.
pub type MachineSpec<'a> = (&'a str, &'a str, &'a str, &'a str);

pub struct SiteSpec<'a> {
    pub dir: &'a Path,
    /// First three numbers of all addresses.
    pub net: String,
    pub work_ms: u64,
    /// Age from which on the store's records expire, if they do.
    pub keep: Option<Duration>,
    /// Further bounds that the template of the settings takes, by their names in it.
    pub bounds: Vec<(&'static str, &'static str)>,
}

/// Returns the first three numbers of loopback addresses that no other run uses, and chooses ports that
/// are free there.
pub fn own_net() -> String {
    let id = std::process::id();
    let net = format!("127.{}.{}", 30 + id / 250 % 200, 1 + id % 250);
    let is_free = |first: &u16| {
        let mut hosts = vec![200];
        hosts.extend(1..=MACHINE_MAX_COUNT);
        hosts.iter().all(|host| {
            let mut ports = *first..first + PORT_COUNT;
            ports.all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
        })
    };
    let first = (8_300..30_000).step_by(20).find(is_free);
    let _ = FIRST_PORT.set(first.expect("there are free ports"));
    net
}

/// Ends the nodes and removes the temporary folder if this process ends before it has done so itself.
pub struct Guard(Mutex<Child>);

static GUARD: OnceLock<Guard> = OnceLock::new();

impl Guard {
    pub fn start(dir: &Path) {
        let script = "trap '' TERM INT HUP; nodes=' '; while read -r what id; do \
                      case $what in add) nodes=\"$nodes$id \";; \
                      end) nodes=$(echo \"$nodes\" | sed \"s/ $id / /\");; done) exit;; esac; done; \
                      for id in $nodes; do kill -KILL $id; done; rm -rf -- \"$1\"";
        let guard = Command::new("sh")
            .args(["-c", script, "guard"])
            .arg(dir)
            .stdin(Stdio::piped())
            .spawn()
            .expect("a shell starts");
        let _ = GUARD.set(Guard(Mutex::new(guard)));
    }

    /// Tells the guard of a node that was started (`add`), that is being ended (`end`), or that all is
    /// done.
    fn tell(line: &str) {
        if let Some(guard) = GUARD.get() {
            if let Some(input) = &mut guard.0.lock().unwrap().stdin {
                let _ = writeln!(input, "{line}");
            }
        }
    }

    pub fn end() {
        Self::tell("done 0");
        if let Some(guard) = GUARD.get() {
            let _ = guard.0.lock().unwrap().wait();
        }
    }
}

pub struct Site {
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    dir: PathBuf,
    net: String,
    work_ms: u64,
    bounds: Vec<(&'static str, &'static str)>,
}

impl Site {
    /// Starts the store and the back ends.
    pub fn start(spec: SiteSpec<'_>, machines: &[MachineSpec<'_>]) -> Self {
        let mut site = Site {
            store: Store::start(
                &address_of(&format!("{}.200", spec.net), STORE_PORT),
                spec.keep,
            ),
            machines: Vec::new(),
            dir: spec.dir.to_owned(),
            net: spec.net,
            work_ms: spec.work_ms,
            bounds: spec.bounds,
        };
        for machine in machines {
            site.add_machine(machine);
        }
        site
    }

    /// Starts the back end of another machine, and returns the machine's index.
    pub fn add_machine(&mut self, machine: &MachineSpec<'_>) -> usize {
        let (name, zone, region, service) = *machine;
        let index = self.machines.len();
        let ip = format!("{}.{}", self.net, index + 1);
        let backend = Arc::new(BackendState {
            instance: Mutex::new(format!("i-{index}{:08x}", now_ms() as u32)),
            born_ms: AtomicU64::new(now_ms()),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            runs: Mutex::default(),
            nested_call: Mutex::default(),
            crash_rule: Mutex::default(),
            crashed_at: Mutex::default(),
            is_up: AtomicBool::new(true),
            nested_statuses: Mutex::default(),
            beat_acks: AtomicU64::new(0),
        });
        start_backend(&backend, &ip, self.work_ms);
        start_beats(&backend, &ip, zone, service);
        self.machines.push(Machine {
            name: name.to_owned(),
            ip,
            zone: zone.to_owned(),
            region: region.to_owned(),
            service: service.to_owned(),
            backend,
            node: None,
            bounds: self.bounds.clone(),
            keep: self.store.keep.unwrap_or(Duration::from_secs(300)),
            dir: self.dir.clone(),
        });
        index
    }

    pub fn start_nodes(&mut self, first_start: bool) {
        let store = self.store.address.clone();
        for machine in &mut self.machines {
            machine.start_node(&store, first_start);
        }
    }

    pub fn start_node(&mut self, index: usize, first_start: bool) {
        let store = self.store.address.clone();
        self.machines[index].start_node(&store, first_start);
    }

    pub fn end(&mut self) {
        for machine in &mut self.machines {
            machine.kill_node();
        }
    }

    /// Returns all runs at all back ends.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for machine in &self.machines {
            runs.extend(machine.backend.runs.lock().unwrap().iter().cloned());
        }
        runs
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        for machine in &self.machines {
            loop {
                let address = address_of(&machine.ip, READY_PORT);
                let ready = call(
                    &address,
                    "GET",
                    "/readiness",
                    &[],
                    b"",
                    Duration::from_secs(1),
                );
                if ready.is_ok_and(|message| message.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end();
    }
}

impl Machine {
    pub fn start_node(&mut self, store: &str, first_start: bool) {
        let template = std::fs::read_to_string("deploy/node.yaml.template").expect("the template");
        let ip = &self.ip;
        let mut values: HashMap<&str, String> = HashMap::new();
        let mut set = |name, value: String| values.insert(name, value);
        set("nodeName", self.name.clone());
        set("region", self.region.clone());
        set("zone", self.zone.clone());
        set("ip", ip.clone());
        let first_port = FIRST_PORT.get().expect("the ports are chosen first");
        set("internalPorts.0", (first_port + PEER_PORT).to_string());
        set("internalPorts.1", (first_port + METRICS_PORT).to_string());
        set("listen.inbound", address_of(ip, CALL_PORT));
        set("listen.outbound", address_of(ip, OUTBOUND_PORT));
        set("listen.ready", address_of(ip, READY_PORT));
        set("listen.control", address_of(ip, CONTROL_PORT));
        set("platform.address", store.to_owned());
        set("platform.keep", format!("{}s", self.keep.as_secs()));
        set("service", self.service.clone());
        set("appAddr", address_of(ip, APP_PORT));
        set("heartbeatInterval", "1500ms".to_owned());
        set("seeds", String::new());
        set("firstStart", first_start.to_string());
        set("limits.linkMbps", "1000.0".to_owned());
        set("bounds.grace", "6s".to_owned());
        set("bounds.retryBudgetRatio", "0.2".to_owned());
        set("bounds.retryBudgetSlack", "58".to_owned());
        for (name, value) in &self.bounds {
            set(name, (*value).to_owned());
        }
        let path = self.dir.join(format!("{}.yaml", self.name));
        std::fs::write(&path, fill_template(&template, &values)).expect("settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", self.name)))
            .expect("the log can be written");
        let child = Command::new("target/release/figway")
            .arg("node")
            .env_clear()
            .env("FIGWAY_BOOT", &path)
            .env("FIGWAY_MEMORY_MAX_MB", "110")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the node starts");
        Guard::tell(&format!("add {}", child.id()));
        self.node = Some(child);
    }

    pub fn kill_node(&mut self) {
        if let Some(mut node) = self.node.take() {
            let _ = node.kill();
            Guard::tell(&format!("end {}", node.id()));
            let _ = node.wait();
        }
    }

    pub fn node_has_ended(&mut self) -> Option<String> {
        let node = self.node.as_mut()?;
        node.try_wait().ok()?.map(|status| status.to_string())
    }

    pub fn outbound(&self) -> String {
        address_of(&self.ip, OUTBOUND_PORT)
    }

    pub fn control(&self) -> String {
        address_of(&self.ip, CONTROL_PORT)
    }
}

/// Starts a back end. When it crashes, its connections end, and it starts again under another id.
fn start_backend(state: &Arc<BackendState>, ip: &str, work_ms: u64) {
    let state = Arc::clone(state);
    let address = address_of(ip, APP_PORT);
    let mut listener = TcpListener::bind(&address).unwrap_or_else(|e| panic!("{address}: {e}"));
    thread::spawn(move || loop {
        let handled = Arc::clone(&state);
        let handle = move |request: &Message| handle_at_backend(&handled, request, work_ms);
        serve_until(&listener, &state.is_up, Arc::new(handle));
        drop(listener);
        let rule = state.crash_rule.lock().unwrap().clone();
        thread::sleep(rule.map_or(Duration::from_secs(2), |rule| rule.down_for));
        let now = now_ms();
        *state.instance.lock().unwrap() = format!("i-{now:x}");
        state.born_ms.store(now, Ordering::SeqCst);
        state.sequence.store(0, Ordering::SeqCst);
        listener = TcpListener::bind(&address).unwrap_or_else(|e| panic!("{address}: {e}"));
        state.is_up.store(true, Ordering::SeqCst);
    });
}

/// Serves connections until `is_up` is false, and ends them then.
fn serve_until(
    listener: &TcpListener,
    is_up: &AtomicBool,
    handle: Arc<impl Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static>,
) {
    listener.set_nonblocking(true).expect("a socket option");
    let mut streams: Vec<TcpStream> = Vec::new();
    while is_up.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        streams.extend(stream.try_clone());
        serve_connection(stream, Arc::clone(&handle));
    }
    for stream in streams {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

fn handle_at_backend(state: &BackendState, request: &Message, work_ms: u64) -> Option<Vec<u8>> {
    let id = request
        .header("x-figway-attempt-id")
        .unwrap_or("")
        .to_owned();
    let own = state.instance.lock().unwrap().clone();
    if request.target().starts_with("/health") {
        return Some(answer(200, &[("X-Figway-Instance-Id", &own)], b""));
    }
    if id.is_empty() {
        return Some(answer(400, &[("X-Figway-Not-Executed", "1")], b""));
    }
    let echo = ("X-Figway-Attempt-Id", id.as_str());
    if request
        .header("x-figway-expected-instance")
        .is_some_and(|other| other != own)
    {
        return Some(answer(421, &[echo, ("X-Figway-Instance-Id", &own)], b""));
    }
    let tenant = request.header("x-figway-tenant").unwrap_or("").to_owned();
    let run = Run {
        id: id.clone(),
        tenant,
        at: Instant::now(),
    };
    state.runs.lock().unwrap().push(run);
    let crash_rule = state.crash_rule.lock().unwrap().clone();
    if let Some(rule) = crash_rule.filter(|rule| request.target().starts_with(&rule.path)) {
        thread::sleep(rule.after);
        if state.is_up.swap(false, Ordering::SeqCst) {
            state.crashed_at.lock().unwrap().push(Instant::now());
        }
        return None;
    }
    thread::sleep(Duration::from_millis(work_ms));
    let nested_call = state.nested_call.lock().unwrap().clone();
    if let Some(nested_call) = nested_call {
        if !make_nested_call(state, &nested_call, request) {
            let seal = format!("seal.{own}.{id}.failed");
            let headers = [echo, ("X-Figway-Response-Seal", seal.as_str())];
            return Some(answer(500, &headers, b"a call failed"));
        }
    }
    let seal = format!("seal.{own}.{id}");
    Some(answer(
        200,
        &[echo, ("X-Figway-Response-Seal", &seal)],
        b"done",
    ))
}

/// Makes a call of the back end's own, without a key, that expires when its run does. Returns whether
/// it was served.
fn make_nested_call(state: &BackendState, nested: &NestedCall, run: &Message) -> bool {
    let run_id = run.header("x-figway-attempt-id").unwrap_or("");
    let mut statuses = state.nested_statuses.lock().unwrap();
    let number = statuses.len() as u64 + 1;
    let own_start = state.born_ms.load(Ordering::Relaxed) << 16;
    let id = if nested.names_run {
        format!("{run_id}.1")
    } else {
        format!("{:016x}", 0x7c00_0000_0000_0000_u64 | (own_start + number))
    };
    // Taken as refused until there is an answer.
    let index = statuses.len();
    statuses.push((id.clone(), 0));
    drop(statuses);
    let left_ms = run.header("x-figway-deadline-ms").unwrap_or("500");
    let headers = [
        ("Host", nested.host.as_str()),
        ("X-Figway-Attempt-Id", id.as_str()),
        ("X-Figway-Deadline-Ms", left_ms),
    ];
    let limit = Duration::from_millis(left_ms.parse().unwrap_or(500));
    let sent = call(&nested.outbound, "GET", &nested.path, &headers, b"", limit);
    let status = sent.map_or(0, |message| message.status());
    state.nested_statuses.lock().unwrap()[index].1 = status;
    status == 200
}

/// Returns the body of a heartbeat.
pub fn beat_body(
    service: &str,
    address: &str,
    zone: &str,
    state: &str,
    sequence: u64,
    born_ms: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":12,\"state\":\"{state}\",\"coldLeft\":\"0ms\",\
         \"sequence\":{sequence},\"born\":{born_ms}}}"
    )
}

fn start_beats(state: &Arc<BackendState>, ip: &str, zone: &str, service: &str) {
    let state = Arc::clone(state);
    let (ip, zone, service) = (ip.to_owned(), zone.to_owned(), service.to_owned());
    thread::spawn(move || loop {
        if state.beats.load(Ordering::Relaxed) && state.is_up.load(Ordering::SeqCst) {
            let word = if state.draining.load(Ordering::Relaxed) {
                "draining"
            } else {
                "ready"
            };
            let sequence = state.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let born_ms = state.born_ms.load(Ordering::Relaxed);
            let body = beat_body(
                &service,
                &address_of(&ip, APP_PORT),
                &zone,
                word,
                sequence,
                born_ms,
            );
            let path = format!("/instances/{}/heartbeat", state.instance.lock().unwrap());
            let headers = [("Content-Type", "application/json")];
            let control = address_of(&ip, CONTROL_PORT);
            let sent = call(
                &control,
                "POST",
                &path,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            if sent.is_ok_and(|message| message.status() / 100 == 2) {
                state.beat_acks.fetch_add(1, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(1500));
                continue;
            }
        }
        thread::sleep(Duration::from_millis(500));
    });
}

/// Sends one request on a connection of its own.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Message> {
    let until = Instant::now() + limit;
    let target = address
        .parse()
        .map_err(|_| std::io::ErrorKind::InvalidInput)?;
    let stream = TcpStream::connect_timeout(&target, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let answered = read_message(&mut BufReader::new(&stream))?;
    answered.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// Returns a configuration with one route a service: `(host, prefix, kind, service)`. `more` is added
/// at its end.
pub fn config(version: u32, routes: &[(&str, &str, &str, &str)], more: &str) -> String {
    let mut route_texts = Vec::new();
    let mut services = std::collections::BTreeSet::new();
    for (index, (host, prefix, kind, service)) in routes.iter().enumerate() {
        services.insert(*service);
        route_texts.push(format!(
            "\"r-{index}\":{{\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout\":\"1000ms\",\"targetLatency\":\"300ms\",\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":2}}"
        ));
    }
    let mut service_texts = Vec::new();
    for service in services {
        service_texts.push(format!(
            "\"{service}\":{{\"healthPath\":\"/health\",\"maxConnections\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        ));
    }
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{{}}},\"services\":{{{}}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}{more}}}",
        route_texts.join(","),
        service_texts.join(",")
    )
}
