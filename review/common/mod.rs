//! Stand-ins for the scripts: the platform (store, settings, readiness, start and stop of nodes),
//! backends and raw clients. Standard library only; one thread for each connection.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "hulo84.example";
/// Path prefix of the non-idempotent route, and its service.
pub const ORDERS: (&str, &str) = ("/orders/", "orders");
/// Path prefix of the idempotent route, and its service.
pub const READS: (&str, &str) = ("/reads/", "reads");
/// Bound `drain` of the settings.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// Bound `grace` of the settings: time from SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_millis(6_000);
/// Bound `stabilityWindow` of the settings.
pub const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Slots of each backend.
pub const SLOTS: u32 = 18;
/// Interval between two heartbeats of a backend.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Returns whether the script makes its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---- record ----

/// Writes `record.txt`. Times are seconds from the start of the script.
pub struct Record {
    started_at: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create() -> Arc<Self> {
        let folder = PathBuf::from(
            std::env::args()
                .nth(1)
                .expect("the folder of the case is missing"),
        );
        let file = fs::File::create(folder.join("record.txt")).expect("could not create record.txt");
        Arc::new(Self {
            started_at: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {}", text.as_ref()).unwrap();
    }

    /// Writes the verdict and ends the script: 0 the rule held, 1 it was broken, 2 the case could
    /// not run.
    pub fn finish(&self, site: Site, code: i32, verdict: &str) -> ! {
        drop(site);
        self.line(format!("exit {code}: {verdict}"));
        println!("exit {code}: {verdict}");
        std::process::exit(code)
    }
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reader of the messages on one connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Pause after the next read, if any.
    pub pause_once: Option<Duration>,
    /// Number of bytes read so far.
    pub read_bytes: usize,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
            pause_once: None,
            read_bytes: 0,
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = vec![0; 64 * 1_024];
        let count = loop {
            match self.stream.read(&mut chunk) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => break result?,
            }
        };
        self.buffer.extend_from_slice(&chunk[..count]);
        self.read_bytes += count;
        if let Some(pause) = self.pause_once.take() {
            thread::sleep(pause);
        }
        Ok(count)
    }

    /// Reads one message. Returns the reason if the connection ends or fails first.
    pub fn read(&mut self) -> Result<Message, String> {
        let head_len = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            match self.fill() {
                Ok(0) => return Err(format!("closed after {} bytes of a head", self.buffer.len())),
                Ok(_) => {}
                Err(error) => return Err(error.to_string()),
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_len]).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let body_len: usize = message
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < head_len + body_len {
            match self.fill() {
                Ok(0) => {
                    let got = self.buffer.len() - head_len;
                    return Err(format!("closed after {got} of {body_len} bytes of a body"));
                }
                Ok(_) => {}
                Err(error) => {
                    let got = self.buffer.len() - head_len;
                    return Err(format!("{error} after {got} of {body_len} bytes of a body"));
                }
            }
        }
        message.body = self.buffer[head_len..head_len + body_len].to_vec();
        self.buffer.drain(..head_len + body_len);
        Ok(message)
    }
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        write!(head, "{name}: {value}\r\n").unwrap();
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a small request on a connection of its own and returns the answer.
pub fn exchange(
    address: &str,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Result<Message, String> {
    let address: SocketAddr = address.parse().unwrap();
    let mut stream = TcpStream::connect_timeout(&address, wait).map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(wait)).unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .map_err(|error| error.to_string())?;
    Reader::new(stream).read()
}

/// Returns the head of a client's request.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body_len: usize,
    more: &str,
) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Figway-Attempt-Id: {id}\r\n\
         X-Figway-Deadline-Ms: {deadline_ms}\r\n{more}"
    );
    if body_len > 0 {
        write!(head, "Content-Length: {body_len}\r\n").unwrap();
    }
    head.push_str("\r\n");
    head.into_bytes()
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let count = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{count:08x}", std::process::id())
}

// ---- store ----

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
}

/// Stand-in for the platform's store: a log in memory.
pub struct Store {
    pub address: String,
    topics: Mutex<BTreeMap<String, Topic>>,
    appended: Condvar,
}

fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}

impl Store {
    fn start(address: &str) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("could not bind the store");
        let store = Arc::new(Self {
            address: address.to_owned(),
            topics: Mutex::default(),
            appended: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a configuration as the operator does.
    pub fn publish(&self, config: &str) {
        let mut record = vec![6];
        record.extend_from_slice(b"config");
        record.extend_from_slice(config.as_bytes());
        self.append("keyed.op", vec![record]);
    }

    fn append(&self, name: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        topic.records.extend(records);
        let end = topic.records.len();
        self.appended.notify_all();
        (offset, end)
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.read() {
            // Each call takes 4 ms, as the sheets say.
            thread::sleep(ms(4));
            let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
            let topic = query_value(query, "topic").unwrap_or("");
            let answer = match path {
                "/log-append" => {
                    let mut records = Vec::new();
                    let mut rest = request.body.as_slice();
                    while rest.len() >= 4 {
                        let len = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                        records.push(rest[4..4 + len].to_vec());
                        rest = &rest[4 + len..];
                    }
                    let (offset, end) = self.append(topic, records);
                    response(
                        200,
                        &[],
                        format!("{{\"offset\":{offset},\"end\":{end}}}").as_bytes(),
                    )
                }
                "/log-read" => self.read(topic, query),
                "/log-newest" => self.newest(topic),
                _ => response(404, &[], b"{}"),
            };
            if out.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn read(&self, name: &str, query: &str) -> Vec<u8> {
        let number = |key| {
            query_value(query, key)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let from = number("from") as usize;
        let wait_until = Instant::now() + ms(number("waitMs"));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.get(name).map_or(&[][..], |topic| topic.records.as_slice());
            let left = wait_until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return response(200, &[], &body);
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(name).map_or(&[][..], |topic| topic.records.as_slice());
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let key_len = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=key_len]).into_owned();
            newest.insert(key, (offset, base64(&record[key_len + 1..])));
        }
        let mut items = Vec::new();
        for (key, (offset, value)) in newest {
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        );
        response(200, &[], body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(three.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index > three.len() {
                text.push('=');
            } else {
                text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            }
        }
    }
    text
}

// ---- backends ----

/// A request that a backend began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub caller_service: String,
    pub began_at: Instant,
    /// Whether the connection closed while the request ran.
    pub cut: bool,
    /// Whether the run ended and the answer was written.
    pub answered: bool,
}

/// One start of a backend.
#[derive(Clone)]
pub struct BackendStart {
    pub instance: String,
    pub born: u64,
}

impl BackendStart {
    fn new(address: &str) -> Self {
        let born = unix_ms();
        Self {
            instance: format!("i-{:010x}", (fnv(address) ^ born << 8) & 0xff_ffff_ffff),
            born,
        }
    }
}

/// Requests with this in their path crash the backend that begins to run them.
pub const CRASHING: &str = "crashing";

/// Time after which a crashed backend is back, under a new instance.
pub const CRASH_DOWN: Duration = Duration::from_millis(2_000);

/// Stand-in for an application backend.
pub struct Backend {
    pub service: String,
    pub address: String,
    control: String,
    zone: String,
    start: Mutex<BackendStart>,
    sequence: AtomicU64,
    beating: AtomicBool,
    /// Whether the backend has crashed and isn't back yet.
    down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Time that each request runs.
    pub work_ms: AtomicU64,
    /// Size of the body of each answer, in bytes.
    pub body_bytes: AtomicU64,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Backend {
    fn launch(service: &str, zone: &str, address: &str, control: &str, record: &Arc<Record>) -> Arc<Self> {
        let backend = Arc::new(Self {
            service: service.to_owned(),
            address: address.to_owned(),
            control: control.to_owned(),
            zone: zone.to_owned(),
            start: Mutex::new(BackendStart::new(address)),
            down: AtomicBool::new(false),
            connections: Mutex::default(),
            sequence: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            work_ms: AtomicU64::new(30),
            body_bytes: AtomicU64::new(400),
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&backend);
        thread::spawn(move || loop {
            accepting.accept();
            thread::sleep(CRASH_DOWN);
            *accepting.start.lock().unwrap() = BackendStart::new(&accepting.address);
            accepting.sequence.store(0, Ordering::SeqCst);
            accepting.down.store(false, Ordering::SeqCst);
        });
        let beating = Arc::clone(&backend);
        thread::spawn(move || loop {
            if beating.beating.load(Ordering::SeqCst) && !beating.down.load(Ordering::SeqCst) {
                let sequence = beating.next_sequence();
                beating.send_beat("ready", sequence);
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        });
        backend
    }

    /// Accepts connections until the backend crashes.
    fn accept(self: &Arc<Self>) {
        let listener = TcpListener::bind(&self.address).expect("could not bind a backend");
        listener.set_nonblocking(true).unwrap();
        while !self.down.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ms(1));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            self.connections.lock().unwrap().push(stream.try_clone().unwrap());
            let backend = Arc::clone(self);
            thread::spawn(move || backend.serve(stream));
        }
        drop(listener);
        for stream in self.connections.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        self.record
            .line(format!("crash of {} at {}", self.start().instance, self.address));
    }

    /// Ends the backend with all its connections.
    pub fn end(&self) {
        self.down.store(true, Ordering::SeqCst);
    }

    /// Returns the present start of the backend.
    pub fn start(&self) -> BackendStart {
        self.start.lock().unwrap().clone()
    }

    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Stops the regular heartbeats.
    pub fn stop_beating(&self) {
        self.beating.store(false, Ordering::SeqCst);
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn send_beat(&self, state: &str, sequence: u64) -> bool {
        let body =
            format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"coldLeft\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.start().born
        );
        let path = format!("/instances/{}/heartbeat", self.start().instance);
        matches!(exchange(&self.control, "POST", &path, &body, ms(1_000)), Ok(answer) if answer.status() == 200)
    }

    /// Deregisters the backend; returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        let body = format!(
            "{{\"sequence\":{},\"born\":{}}}",
            self.next_sequence(),
            self.start().born
        );
        let path = format!("/instances/{}/deregister", self.start().instance);
        matches!(exchange(&self.control, "POST", &path, &body, ms(1_000)), Ok(answer) if answer.status() == 200)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut reader = Reader::new(stream);
        let instance = self.start().instance;
        while let Ok(request) = reader.read() {
            let id = request.header("x-figway-attempt-id").unwrap_or("").to_owned();
            if request.path() == "/health" {
                out.write_all(&response(
                    200,
                    &[("x-figway-instance-id", instance.as_str())],
                    b"",
                ))
                .ok();
                continue;
            }
            let expected = request.header("x-figway-expected-instance").unwrap_or(&instance);
            if expected != instance {
                out.write_all(&response(
                    421,
                    &[("x-figway-instance-id", instance.as_str())],
                    b"",
                ))
                .ok();
                continue;
            }
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    id: id.clone(),
                    path: request.path().to_owned(),
                    caller_service: request.header("x-figway-caller-service").unwrap_or("").to_owned(),
                    began_at: Instant::now(),
                    cut: false,
                    answered: false,
                });
                runs.len() - 1
            };
            self.record.line(format!(
                "run {} {} id={id} body={} at {}",
                self.service,
                request.first_line,
                request.body.len(),
                instance
            ));
            if request.path().contains(CRASHING) {
                self.down.store(true, Ordering::SeqCst);
                return;
            }
            thread::sleep(ms(self.work_ms.load(Ordering::SeqCst)));
            let cut = is_closed(&reader.stream);
            let body = vec![b'x'; self.body_bytes.load(Ordering::SeqCst) as usize];
            let seal = format!("{id}.{}", body.len());
            let headers = [
                ("x-figway-attempt-id", id.as_str()),
                ("x-figway-response-seal", seal.as_str()),
            ];
            let written = !cut && out.write_all(&response(200, &headers, &body)).is_ok();
            self.record
                .line(format!("run ends id={id} cut={cut} answered={written}"));
            let mut runs = self.runs.lock().unwrap();
            runs[index].cut = cut;
            runs[index].answered = written;
            drop(runs);
            if cut {
                return;
            }
        }
    }
}

fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    }) >> 24
}

/// Returns whether the peer has closed or reset the connection. It sends nothing meanwhile.
pub fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    stream.set_nonblocking(false).unwrap();
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

// ---- nodes ----

/// A machine: a node as a process of its own, and the backend beside it.
pub struct Machine {
    pub name: String,
    pub outbound: String,
    pub ready: String,
    pub control: String,
    pub service: String,
    pub backend: Arc<Backend>,
    settings: PathBuf,
    log: PathBuf,
    pub node: Option<Child>,
}

/// A small deployment on loopback addresses.
pub struct Site {
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    folder: PathBuf,
    pub record: Arc<Record>,
}

impl Machine {
    /// Starts the node with the command of the deploy file.
    pub fn start_node(&mut self) {
        let root = repository();
        let deploy =
            fs::read_to_string(root.join("deploy/system.toml")).expect("could not read deploy/system.toml");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .expect("the deploy file has no run");
        let mut words = run.trim().trim_matches('"').split(' ');
        let program = root.join(words.next().unwrap());
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let mut command = Command::new(program);
        command.args(words).current_dir(&root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("FIGWAY_BOOT", &self.settings).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        self.node = Some(command.spawn().expect("could not start a node"));
    }

    pub fn node_id(&self) -> u32 {
        self.node.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the node.
    pub fn signal(&self, name: &str) {
        let id = self.node_id().to_string();
        Command::new("kill")
            .args([format!("-{name}"), id])
            .status()
            .expect("could not run kill");
    }

    /// Kills the node and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut node) = self.node.take() {
            node.kill().ok();
            node.wait().ok();
        }
    }

    /// Returns whether the node's process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.node {
            Some(node) => matches!(node.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// Asks the node for its readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        matches!(exchange(&self.ready, "GET", "/readiness", "", ms(500)), Ok(answer) if answer.status() == 200)
    }

    /// Returns the resident memory of the node's process, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.node_id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn repository() -> PathBuf {
    let folder = PathBuf::from(
        std::env::args()
            .nth(1)
            .expect("the folder of the case is missing"),
    );
    folder
        .canonicalize()
        .unwrap()
        .join("../..")
        .canonicalize()
        .unwrap()
}

/// Properties of a site that a case sets.
pub struct Plan {
    /// Service of each machine; each machine is in a zone of its own, two zones in each region.
    pub services: &'static [&'static str],
    /// `timeout` of both routes.
    pub timeout_ms: u64,
}

impl Site {
    /// Starts the store, the backends and the nodes, and waits until all of them serve requests.
    /// Returns `None` if they don't within 20 s.
    pub fn start(plan: &Plan, record: &Arc<Record>) -> Option<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("figway-review-{pid}"));
        fs::create_dir_all(&folder).unwrap();
        // Addresses of their own keep the sites of two scripts apart.
        let net = format!("127.{}.{}", 10 + pid / 250 % 200, 1 + pid % 250);
        let base = free_ports(&net, plan.services.len());
        let store = Store::start(&format!("{net}.250:{}", base + 9));
        store.publish(&config(1, plan.timeout_ms));
        let template = fs::read_to_string(repository().join("deploy/node.yaml.template")).unwrap();
        let zones = ["lausanne", "geneve", "zuerich", "basel"];
        let regions = ["westschweiz", "westschweiz", "nordschweiz", "nordschweiz"];
        let mut machines = Vec::new();
        for (index, service) in plan.services.iter().enumerate() {
            let ip = format!("{net}.{}", index + 1);
            let (zone, region) = (zones[index % 4], regions[index % 4]);
            let name = format!("sidecar-{zone}-{}", index / 4 + 1);
            let control = format!("{ip}:{}", base + 6);
            let app = format!("{ip}:{}", base + 1);
            let seeds = format!("[\"{net}.1:{port}\",\"{net}.2:{port}\"]", port = base + 6);
            let values = [
                ("{{nodeName}}", name.clone()),
                ("{{region}}", region.to_owned()),
                ("{{zone}}", zone.to_owned()),
                ("{{ip}}", ip.clone()),
                ("{{internalPorts.0}}", (base + 20).to_string()),
                ("{{internalPorts.1}}", (base + 21).to_string()),
                ("{{listen.inbound}}", format!("{ip}:{base}")),
                ("{{listen.outbound}}", format!("{ip}:{}", base + 4)),
                ("{{listen.ready}}", format!("{ip}:{}", base + 2)),
                ("{{listen.control}}", control.clone()),
                ("{{platform.address}}", store.address.clone()),
                ("{{platform.keep}}", "300s".to_owned()),
                ("{{service|json}}", format!("\"{service}\"")),
                ("{{appAddr}}", app.clone()),
                ("{{heartbeatInterval}}", "1500ms".to_owned()),
                ("{{seeds|json}}", seeds),
                ("{{firstStart}}", "true".to_owned()),
                ("{{limits.linkMbps}}", "1000.0".to_owned()),
                ("{{bounds.grace}}", "6s".to_owned()),
                ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
                ("{{bounds.retryBudgetSlack}}", "58".to_owned()),
            ];
            let mut text = template.clone();
            for (placeholder, value) in values {
                text = text.replace(placeholder, &value);
            }
            for name in ["grace", "retryBudgetRatio", "retryBudgetSlack"] {
                text = text.replace(&format!("{{{{#bounds.{name}}}}}"), "");
                text = text.replace(&format!("{{{{/bounds.{name}}}}}"), "");
            }
            assert!(
                !text.contains("{{"),
                "the template has a new placeholder:\n{text}"
            );
            let settings = folder.join(format!("{name}.yaml"));
            fs::write(&settings, text).unwrap();
            let backend = Backend::launch(service, zone, &app, &control, record);
            let mut machine = Machine {
                log: folder.join(format!("{name}.log")),
                outbound: format!("{ip}:{}", base + 4),
                ready: format!("{ip}:{}", base + 2),
                control,
                service: (*service).to_owned(),
                backend,
                settings,
                node: None,
                name,
            };
            machine.start_node();
            machines.push(machine);
        }
        let site = Self {
            store,
            machines,
            folder,
            record: Arc::clone(record),
        };
        site.wait_until_served().then_some(site)
    }

    /// Waits until each node answers a request for each service, at most for 20 s.
    fn wait_until_served(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        for machine in &self.machines {
            for (method, (prefix, service)) in [("GET", READS), ("POST", ORDERS)] {
                if !self.machines.iter().any(|machine| machine.service == service) {
                    continue;
                }
                loop {
                    let id = new_id();
                    let answer = call(
                        &machine.outbound,
                        method,
                        &format!("{prefix}start"),
                        &id,
                        1_000,
                        b"",
                    );
                    if matches!(answer, Ok(answer) if answer.status() == 200) {
                        break;
                    }
                    if until < Instant::now() {
                        return false;
                    }
                    thread::sleep(ms(100));
                }
            }
        }
        true
    }

    pub fn log_folder(&self) -> &PathBuf {
        &self.folder
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Returns the first of 30 ports that are free on all addresses of the site. They lie below the
/// ephemeral ports.
fn free_ports(net: &str, machine_count: usize) -> u16 {
    let mut base = 15_000 + (unix_ms() % 400) as u16 * 30;
    loop {
        let mut free = true;
        for host in (1..=machine_count).chain([250]) {
            for port in base..base + 30 {
                free &= TcpListener::bind(format!("{net}.{host}:{port}")).is_ok();
            }
        }
        if free {
            return base;
        }
        base = if base > 28_000 { 15_000 } else { base + 30 };
    }
}

/// Returns a configuration in the form of the pages' example, with its limits.
pub fn config(version: u32, timeout_ms: u64) -> String {
    let route = |(prefix, service): (&str, &str), kind: &str| {
        format!(
            "{{\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout\":\"{timeout_ms}ms\",\
             \"targetLatency\":\"400ms\",\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2}}"
        )
    };
    let service = "{\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}";
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"r-orders\":{},\"r-reads\":{}}},\
         \"services\":{{\"orders\":{service},\"reads\":{service}}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\"}}}}",
        route(ORDERS, "non_idempotent"),
        route(READS, "idempotent"),
    )
}

/// Sends a client's request on a connection of its own and returns the answer.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Result<Message, String> {
    let address: SocketAddr = address.parse().unwrap();
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(ms(deadline_ms))).unwrap();
    stream
        .write_all(&request_head(method, path, id, deadline_ms, body.len(), ""))
        .map_err(|error| error.to_string())?;
    stream.write_all(body).map_err(|error| error.to_string())?;
    Reader::new(stream).read()
}
