//! Stand-in for a back end: sends heartbeats, runs requests and records what it ran.

use std::net::{Shutdown, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{answer, request, Connection, Message};

/// Time that each request runs.
const WORK_TIME: Duration = Duration::from_millis(20);

/// Request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

/// What a back end does with a request that it ran, in place of its usual answer. Returns whether the
/// connection stays open.
pub type Misbehaviour = dyn Fn(&Message, &mut Connection) -> bool + Send + Sync;

pub struct Backend {
    pub service: String,
    pub zone: String,
    pub id: String,
    pub born_ms: u64,
    pub address: String,
    pub control: String,
    pub heartbeat_every: Duration,
    pub sequence: AtomicU64,
    /// Whether periodic heartbeats are sent.
    pub beats: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    pub misbehaviour: Mutex<Option<Arc<Misbehaviour>>>,
}

impl Backend {
    pub fn start(
        listener: TcpListener,
        service: &str,
        zone: &str,
        id: &str,
        control: &str,
        heartbeat_every: Duration,
    ) -> Arc<Self> {
        let address = listener.local_addr().expect("an address").to_string();
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a clock after 1970");
        let backend = Arc::new(Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            id: id.to_owned(),
            born_ms: since.as_millis() as u64,
            address,
            control: control.to_owned(),
            heartbeat_every,
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            runs: Mutex::default(),
            misbehaviour: Mutex::default(),
        });
        let beating = Arc::clone(&backend);
        std::thread::spawn(move || loop {
            if beating.beats.load(Ordering::Relaxed) {
                beating.heartbeat();
            }
            std::thread::sleep(beating.heartbeat_every);
        });
        let serving = Arc::clone(&backend);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = Arc::clone(&serving);
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Some(request) = connection.receive(None) {
                        if !backend.serve(&request, &mut connection) {
                            connection.stream.shutdown(Shutdown::Both).ok();
                            return;
                        }
                    }
                });
            }
        });
        backend
    }

    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub fn heartbeat(&self) -> bool {
        let sequence = self.next_sequence();
        self.heartbeat_of(sequence)
    }

    /// Sends the heartbeat with this number, which may be late. Returns whether it was acknowledged.
    pub fn heartbeat_of(&self, sequence: u64) -> bool {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":15,\
             \"state\":\"ready\",\"coldLeft\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        );
        self.post("heartbeat", &body)
    }

    /// Deregisters. Returns whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        let body = format!("{{\"born\":{}}}", self.born_ms);
        self.post("deregister", &body)
    }

    fn post(&self, action: &str, body: &str) -> bool {
        let deadline = Instant::now() + Duration::from_secs(1);
        let Ok(mut connection) = Connection::open(&self.control, Duration::from_secs(1)) else {
            return false;
        };
        let headers = [
            ("host", self.control.clone()),
            ("content-type", "application/json".to_owned()),
        ];
        let path = format!("/instances/{}/{action}", self.id);
        connection.send(&request("POST", &path, &headers, body.as_bytes()))
            && connection
                .receive(Some(deadline))
                .is_some_and(|answer| answer.status() / 100 == 2)
    }

    fn serve(&self, request: &Message, connection: &mut Connection) -> bool {
        let id = request
            .header("x-figway-attempt-id")
            .unwrap_or("")
            .to_owned();
        let echo = ("x-figway-attempt-id", id.clone());
        if request.path() == "/health" {
            return connection.send(&answer(
                200,
                &[("x-figway-instance-id", self.id.clone())],
                b"ok",
            ));
        }
        let expected = request.header("x-figway-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return connection.send(&answer(421, &[echo], b""));
        }
        self.runs.lock().expect("no holder panics").push(Run {
            id: id.clone(),
            at: Instant::now(),
        });
        std::thread::sleep(WORK_TIME);
        let misbehaviour = self.misbehaviour.lock().expect("no holder panics").clone();
        if let Some(misbehaviour) = misbehaviour {
            return misbehaviour(request, connection);
        }
        connection.send(&self.usual_answer(request))
    }

    fn usual_answer(&self, request: &Message) -> Vec<u8> {
        let id = request
            .header("x-figway-attempt-id")
            .unwrap_or("")
            .to_owned();
        let body = format!("{id} by {}", self.id).into_bytes();
        let seal = format!("{}.{id}.{}", self.id, body.len());
        answer(
            200,
            &[
                ("x-figway-attempt-id", id),
                ("x-figway-response-seal", seal),
            ],
            &body,
        )
    }
}
