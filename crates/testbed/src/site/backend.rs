//! Stand-in of a back end: it announces itself, runs requests, and keeps a journal of what it ran.

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
    Outbound,
    Request,
    ServerLimits,
    ServerPhase,
    Transport as _, //
};
use futures::future::LocalBoxFuture;
use serde_json::json;
use tokio::sync::watch;

use super::serve_on_free_port;

/// How often it announces itself.
const BEAT_EVERY: Duration = Duration::from_millis(500);

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(15);

/// A request that it began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Service on whose host it began, as it was told.
    pub origin: String,
    /// Start of the back end that ran it, from 1.
    pub generation: u64,
    /// Method and path.
    pub request_line: String,
    /// When it began.
    pub started_at: Instant,
}

/// The back end.
pub struct Backend {
    service: String,
    zone: String,
    control: String,
    address: RefCell<String>,
    generation: Cell<u64>,
    sequence: Cell<u64>,
    draining: Cell<bool>,
    /// One in this many answers is lost after the run; 0 for none.
    pub drop_answer_one_in: Cell<u64>,
    /// Answers each request with a failure after it ran.
    pub fails: Cell<bool>,
    /// Says nothing of itself but what is asked for.
    pub heartbeat_paused: Cell<bool>,
    /// Adds to the time of each request, in milliseconds.
    pub slow_ms: Cell<u64>,
    runs: RefCell<Vec<Run>>,
    client: HttpClient,
    phase: RefCell<Option<watch::Sender<ServerPhase>>>,
}

impl Backend {
    /// Starts a back end of `service` that announces itself at `control`.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start(service: &str, zone: &str, control: &str) -> anyhow::Result<Rc<Self>> {
        let backend = Rc::new(Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            control: control.to_owned(),
            address: RefCell::default(),
            generation: Cell::new(1),
            sequence: Cell::new(0),
            draining: Cell::new(false),
            drop_answer_one_in: Cell::new(0),
            fails: Cell::new(false),
            heartbeat_paused: Cell::new(false),
            slow_ms: Cell::new(0),
            runs: RefCell::default(),
            client: HttpClient::new(ClientLimits {
                idle_max_count: 2,
                idle_max_ms: 1_000,
                unsafe_idle_max_ms: 1_000,
                connect_max_ms: 300,
                body_max_bytes: 4_096,
                from: None,
            }),
            phase: RefCell::default(),
        });
        let (address, phase) = serve_on_free_port(backend.clone()).await?;
        *backend.address.borrow_mut() = address;
        *backend.phase.borrow_mut() = Some(phase);
        tokio::task::spawn_local(Rc::clone(&backend).announce());
        Ok(backend)
    }

    /// Returns where it listens.
    pub fn address(&self) -> String {
        self.address.borrow().clone()
    }

    /// Returns all that it began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.borrow().clone()
    }

    /// Crashes and starts again under a new id: what it runs is never answered.
    pub fn restart(&self) {
        self.generation.set(self.generation.get() + 1);
        self.sequence.set(0);
        self.draining.set(false);
    }

    /// Returns the start that serves now.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Asks for no new work, or for work again under a new id; returns whether that was
    /// acknowledged.
    pub async fn set_draining(&self, draining: bool) -> bool {
        if !draining {
            self.restart();
        }
        self.draining.set(draining);
        self.send_heartbeat().await
    }

    fn instance(&self) -> String {
        format!(
            "i-{}-{}",
            self.address().replace([':', '.'], "-"),
            self.generation.get()
        )
    }

    async fn announce(self: Rc<Self>) {
        loop {
            if !self.heartbeat_paused.get() {
                self.send_heartbeat().await;
            }
            tokio::time::sleep(BEAT_EVERY).await;
        }
    }

    /// Leaves without draining; returns whether that was acknowledged.
    pub async fn deregister(&self) -> bool {
        let body = json!({ "born": self.born_ms() });
        self.say("deregister", &body).await
    }

    /// Announces itself once; returns whether that was acknowledged.
    pub async fn send_heartbeat(&self) -> bool {
        self.sequence.set(self.sequence.get() + 1);
        let body = json!({
            "service": self.service, "address": self.address(), "zone": self.zone,
            "version": "v1", "slots": 12, "coldLeft": "0ms", "sequence": self.sequence.get(),
            "state": if self.draining.get() { "draining" } else { "ready" },
            "born": self.born_ms(),
        });
        self.say("heartbeat", &body).await
    }

    fn born_ms(&self) -> u64 {
        let born_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        // The start's time need not be exact, but must grow with each start.
        born_ms / 1_000_000_000 * 1_000_000_000 + self.generation.get()
    }

    async fn say(&self, what: &str, body: &serde_json::Value) -> bool {
        let outbound = Outbound {
            address: &self.control,
            method: "POST",
            path: &format!("/instances/{}/{what}", self.instance()),
            headers: &Headers::default(),
            body: &body.to_string().into(),
            deadline: Instant::now() + Duration::from_secs(1),
            echo: None,
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
        if expected != self.instance() {
            return refusal;
        }
        let generation = self.generation.get();
        self.runs.borrow_mut().push(Run {
            id: id.clone(),
            origin: header("x-figway-caller-service"),
            generation,
            request_line: format!("{} {}", request.method, request.path),
            started_at: Instant::now(),
        });
        let run_count = self.runs.borrow().len() as u64;
        tokio::time::sleep(WORK + Duration::from_millis(self.slow_ms.get())).await;
        let drop_answer_one_in = self.drop_answer_one_in.get();
        let lost = drop_answer_one_in > 0 && run_count.is_multiple_of(drop_answer_one_in);
        if lost || generation != self.generation.get() {
            std::future::pending::<()>().await;
        }
        let mut answer = Answer::of_status(if self.fails.get() { 500 } else { 200 });
        answer.headers.push("x-figway-attempt-id", id.as_str());
        answer
            .headers
            .push("x-figway-response-seal", format!("seal-{id}"));
        answer.body = format!("{id} {}", String::from_utf8_lossy(&request.body)).into();
        answer
    }
}

impl Handler for Backend {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        Box::pin(self.run(request))
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            head_max_bytes: 16 * 1_024,
            body_max_bytes: 16 * 1_024 * 1_024,
            request_max_ms: 5_000,
            idle_max_ms: 4_000,
        }
    }
}
