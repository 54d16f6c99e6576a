//! Stand-in for a back end: it announces itself to its node, runs requests and records the requests
//! that it ran.

use std::cell::{
    Cell,
    RefCell, //
};
use std::rc::Rc;
use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use figway_http::{
    Answer,
    ClientLimits,
    Handler,
    Headers,
    HttpClient,
    OutboundRequest,
    Request,
    ServerLimits,
    ServerPhase,
    Transport as _, //
};
use futures::future::LocalBoxFuture;
use serde_json::json;
use tokio::sync::watch;

pub use super::run::Run;
use super::serve_on_free_port;

/// Pause between two heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Time that each request runs without injected delay.
const SERVICE_TIME: Duration = Duration::from_millis(15);

/// Beginning of the paths of requests that run until the back end ends, and are never answered.
pub const HANGING_PREFIX: &str = "/reads/hanging";

/// Back end that answers as the users' platform expects and can inject faults.
pub struct Backend {
    service: String,
    zone: String,
    announce_address: String,
    listen_address: RefCell<String>,
    /// Address that heartbeats name.
    announced_address: RefCell<String>,
    /// Version that heartbeats name.
    pub version: RefCell<String>,
    /// Number of starts, from 1; a part of the instance's name.
    generation: Cell<u64>,
    /// Name of an earlier generation under which this one runs.
    kept_name: RefCell<Option<String>>,
    /// Sequence number of the last heartbeat of this generation.
    sequence: Cell<u64>,
    draining: Cell<bool>,
    /// Every n-th request that runs is never answered, where n is this value; 0 disables the fault.
    pub drop_answer_one_in: Cell<u64>,
    /// Whether each request is answered with 500 after it ran.
    pub fails: Cell<bool>,
    /// Whether each request is refused, so that it does not run.
    pub refuses: Cell<bool>,
    /// Whether each request is refused after the delay of `slow_ms`, so that it does not run.
    pub refuses_late: Cell<bool>,
    /// Number of requests that were refused late.
    pub late_refusal_count: Cell<usize>,
    /// Headers that are added to each answer.
    pub extra_headers: RefCell<Headers>,
    /// Number of bytes of a request's body that its answer repeats at most.
    pub echo_max_bytes: Cell<usize>,
    /// Size of a filler that is added to the body of each answer, in bytes.
    pub filler_bytes: Cell<usize>,
    /// Whether periodic heartbeats are paused; explicit calls still announce the back end.
    pub heartbeat_paused: Cell<bool>,
    /// Rate limit that each answer names, as text; none if absent.
    pub rate_limit: RefCell<Option<String>>,
    /// Whether each answer states that the back end is leaving.
    pub leaving: Cell<bool>,
    /// Delay that is added to the service time of each request, in milliseconds.
    pub slow_ms: Cell<u64>,
    /// IDs of the requests whose connection closed while they ran, with the time at which it did.
    cut_runs: RefCell<Vec<(String, Instant)>>,
    runs: RefCell<Vec<Run>>,
    client: HttpClient,
    phase: RefCell<Option<watch::Sender<ServerPhase>>>,
}

impl Backend {
    /// Starts a back end of `service` that announces itself at `announce_address`.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start(
        service: &str,
        zone: &str,
        announce_address: &str,
    ) -> anyhow::Result<Rc<Self>> {
        let backend = Rc::new(Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            announce_address: announce_address.to_owned(),
            listen_address: RefCell::default(),
            announced_address: RefCell::default(),
            version: RefCell::new("v1".to_owned()),
            generation: Cell::new(1),
            kept_name: RefCell::default(),
            sequence: Cell::new(0),
            draining: Cell::new(false),
            drop_answer_one_in: Cell::new(0),
            fails: Cell::new(false),
            refuses: Cell::new(false),
            refuses_late: Cell::new(false),
            late_refusal_count: Cell::new(0),
            extra_headers: RefCell::default(),
            echo_max_bytes: Cell::new(usize::MAX),
            filler_bytes: Cell::new(0),
            heartbeat_paused: Cell::new(false),
            rate_limit: RefCell::default(),
            leaving: Cell::new(false),
            slow_ms: Cell::new(0),
            cut_runs: RefCell::default(),
            runs: RefCell::default(),
            client: HttpClient::new(ClientLimits {
                idle_max_count: 2,
                idle_max_ms: 1_000,
                non_idempotent_idle_max_ms: 1_000,
                connect_max_ms: 300,
                body_max_bytes: 4_096,
                local_ip: None,
            }),
            phase: RefCell::default(),
        });
        let (address, phase) = serve_on_free_port(backend.clone()).await?;
        *backend.announced_address.borrow_mut() = address.clone();
        *backend.listen_address.borrow_mut() = address;
        *backend.phase.borrow_mut() = Some(phase);
        tokio::task::spawn_local(Rc::clone(&backend).send_heartbeats());
        Ok(backend)
    }

    /// Returns the service that heartbeats name.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns the address on which the back end listens.
    pub fn listen_address(&self) -> String {
        self.listen_address.borrow().clone()
    }

    /// Returns the address to which the back end sends its heartbeats.
    pub fn announce_address(&self) -> &str {
        &self.announce_address
    }

    /// Sets the address that heartbeats name, from which requests reach the back end.
    pub fn announce_at(&self, address: &str) {
        *self.announced_address.borrow_mut() = address.to_owned();
    }

    /// Returns all requests that the back end has started to run, in all generations.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.borrow().clone()
    }

    /// Returns the request that was the `index`-th one to start, from 0.
    pub fn run_at(&self, index: usize) -> Option<Run> {
        self.runs.borrow().get(index).cloned()
    }

    /// Returns how many requests have started, in all generations.
    pub fn run_count(&self) -> usize {
        self.runs.borrow().len()
    }

    /// Returns when the connection of the request closed while it ran, if it did.
    pub fn cut_at(&self, id: &str) -> Option<Instant> {
        let cut_runs = self.cut_runs.borrow();
        cut_runs
            .iter()
            .find(|(cut, _)| cut == id)
            .map(|(_, at)| *at)
    }

    /// Simulates a crash and a restart under a new instance name. Requests that are running are
    /// never answered.
    pub fn restart(&self) {
        self.generation.set(self.generation.get() + 1);
        self.sequence.set(0);
        self.draining.set(false);
        *self.rate_limit.borrow_mut() = None;
        *self.kept_name.borrow_mut() = None;
        self.leaving.set(false);
    }

    /// Sets the rate limit that answers name.
    pub fn set_rate_limit(&self, limit: &str) {
        *self.rate_limit.borrow_mut() = Some(limit.to_owned());
    }

    /// Simulates a restart under the same instance name. The start is later, and sequence numbers
    /// begin anew.
    pub fn restart_under_same_name(&self) {
        let name = self.instance_name();
        self.restart();
        *self.kept_name.borrow_mut() = Some(name);
    }

    /// Returns the current generation: 1 at first, and one more after each restart.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Announces that the back end is draining, or restarts it under a new instance name and
    /// announces it ready. Returns whether the node acknowledged the heartbeat.
    pub async fn set_draining(&self, draining: bool) -> bool {
        if !draining {
            self.restart();
        }
        self.draining.set(draining);
        self.send_heartbeat().await
    }

    /// Returns the name under which the back end announces itself.
    pub fn instance_name(&self) -> String {
        if let Some(name) = &*self.kept_name.borrow() {
            return name.clone();
        }
        format!(
            "i-{}-{}",
            self.listen_address().replace([':', '.'], "-"),
            self.generation.get()
        )
    }

    async fn send_heartbeats(self: Rc<Self>) {
        loop {
            if !self.heartbeat_paused.get() {
                self.send_heartbeat().await;
            }
            tokio::time::sleep(HEARTBEAT_PERIOD).await;
        }
    }

    /// Deregisters the back end without draining. Returns whether the node acknowledged it.
    pub async fn deregister(&self) -> bool {
        let body = json!({ "born": self.born_ms() });
        self.post("deregister", &body).await
    }

    /// Sends one heartbeat. Returns whether the node acknowledged it.
    pub async fn send_heartbeat(&self) -> bool {
        let sequence = self.next_sequence();
        self.send_heartbeat_of(sequence, self.draining.get()).await
    }

    /// Returns the sequence number of the next heartbeat, which may be sent late.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    /// Sends a heartbeat with the given sequence number and state, such as one that was delayed.
    /// Returns whether the node acknowledged it.
    pub async fn send_heartbeat_of(&self, sequence: u64, draining: bool) -> bool {
        let body = self.heartbeat(sequence, draining);
        self.post("heartbeat", &body).await
    }

    /// Returns the body of a heartbeat with the given sequence number and state.
    pub fn heartbeat(&self, sequence: u64, draining: bool) -> serde_json::Value {
        json!({
            "service": self.service, "address": *self.announced_address.borrow(), "zone": self.zone,
            "version": *self.version.borrow(), "slots": 12, "coldLeft": "0ms", "sequence": sequence,
            "state": if draining { "draining" } else { "ready" },
            "born": self.born_ms(),
        })
    }

    fn born_ms(&self) -> u64 {
        let born_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        // The start time need not be exact, but must increase with each generation. It is rounded
        // down so that all heartbeats of a generation carry the same value.
        born_ms / 1_000_000_000 * 1_000_000_000 + self.generation.get()
    }

    /// Posts `body` to `/instances/NAME/ACTION` of the node, with the name of this instance.
    /// Returns whether the node answered 200 within 1 s.
    async fn post(&self, action: &str, body: &serde_json::Value) -> bool {
        let outbound = OutboundRequest {
            address: &self.announce_address,
            method: "POST",
            path: &format!("/instances/{}/{action}", self.instance_name()),
            headers: &Headers::default(),
            body: &body.to_string().into(),
            body_bytes_per_s: None,
            deadline: Instant::now() + Duration::from_secs(1),
            echo_header: None,
            idempotent: true,
        };
        matches!(self.client.send(&outbound).await, Ok(answer) if answer.status == 200)
    }

    async fn run(&self, request: Request) -> Answer {
        let header = |name| request.headers.get(name).unwrap_or("").to_owned();
        let id = header("x-figway-attempt-id");
        let mut refusal = Answer::of_status(421);
        refusal.headers.push("x-figway-attempt-id", id.as_str());
        let expected = header("x-figway-expected-instance");
        if expected != self.instance_name() {
            return refusal;
        }
        let refuses_late = self.refuses_late.get();
        if refuses_late {
            self.late_refusal_count
                .set(self.late_refusal_count.get() + 1);
            tokio::time::sleep(Duration::from_millis(self.slow_ms.get())).await;
        }
        if refuses_late || self.refuses.get() {
            refusal.status = 503;
            refusal.headers.push("x-figway-not-executed", "full");
            return refusal;
        }
        let generation = self.generation.get();
        self.runs.borrow_mut().push(Run {
            id: id.clone(),
            origin: header("x-figway-caller-service"),
            generation,
            request_line: format!("{} {}", request.method, request.path),
            headers: request.headers.clone(),
            started_at: Instant::now(),
        });
        let mut running = RunningRequest {
            backend: self,
            id: &id,
            ended: false,
        };
        let run_count = self.runs.borrow().len() as u64;
        tokio::time::sleep(SERVICE_TIME + Duration::from_millis(self.slow_ms.get())).await;
        let drop_answer_one_in = self.drop_answer_one_in.get();
        let lost = drop_answer_one_in > 0 && run_count.is_multiple_of(drop_answer_one_in);
        let hangs = request.path.starts_with(HANGING_PREFIX);
        if hangs || lost || generation != self.generation.get() {
            std::future::pending::<()>().await;
        }
        running.ended = true;
        let mut answer = Answer::of_status(if self.fails.get() { 500 } else { 200 });
        answer.headers.push("x-figway-attempt-id", id.as_str());
        if let Some(limit) = self.rate_limit.borrow().as_deref() {
            answer.headers.push("server-limit", limit);
        }
        if self.leaving.get() {
            answer.headers.push("server-leaving", "1");
        }
        let filler = "f".repeat(self.filler_bytes.get());
        let echo_len = request.body.len().min(self.echo_max_bytes.get());
        let request_body = String::from_utf8_lossy(&request.body[..echo_len]);
        answer.body = format!("{id} {request_body}{filler}").into();
        let seal = format!("seal-{id}-{}", answer.body.len());
        answer.headers.push("x-figway-response-seal", seal);
        for (name, value) in self.extra_headers.borrow().iter() {
            answer.headers.push(name, value);
        }
        answer
    }
}

/// Records the request as cut if it is dropped before it has ended.
struct RunningRequest<'a> {
    backend: &'a Backend,
    id: &'a str,
    ended: bool,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let mut cut_runs = self.backend.cut_runs.borrow_mut();
        cut_runs.push((self.id.to_owned(), Instant::now()));
    }
}

impl Handler for Backend {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        Box::pin(self.run(request))
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            head_max_bytes: 16 * 1_024,
            body_max_bytes: 64 * 1_024 * 1_024,
            request_max_ms: 5_000,
            idle_max_ms: 4_000,
        }
    }
}
