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
    OutboundRequest,
    Request,
    ServerLimits,
    ServerPhase,
    Transport as _, //
};
use futures::future::LocalBoxFuture;
use serde_json::json;
use tokio::sync::watch;

use super::serve_free;

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
    pub start: u64,
    /// Method and path.
    pub what: String,
    /// When it began.
    pub at: Instant,
}

/// The back end.
pub struct Backend {
    service: String,
    zone: String,
    control: String,
    address: RefCell<String>,
    start_count: Cell<u64>,
    sequence: Cell<u64>,
    draining: Cell<bool>,
    /// One in this many answers is lost after the run; 0 for none.
    pub loses_one_in: Cell<u64>,
    /// Answers each request with a failure after it ran.
    pub fails: Cell<bool>,
    /// Says nothing of itself but what is asked for.
    pub silent: Cell<bool>,
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
            start_count: Cell::new(1),
            sequence: Cell::new(0),
            draining: Cell::new(false),
            loses_one_in: Cell::new(0),
            fails: Cell::new(false),
            silent: Cell::new(false),
            slow_ms: Cell::new(0),
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
        let (address, phase) = serve_free(backend.clone()).await?;
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
        self.start_count.set(self.start_count.get() + 1);
        self.sequence.set(0);
        self.draining.set(false);
    }

    /// Returns the start that serves now.
    pub fn start_count(&self) -> u64 {
        self.start_count.get()
    }

    /// Asks for no new work, or for work again under a new id; returns whether that was
    /// acknowledged.
    pub async fn set_draining(&self, draining: bool) -> bool {
        if !draining {
            self.restart();
        }
        self.draining.set(draining);
        self.beat().await
    }

    fn instance(&self) -> String {
        format!(
            "i-{}-{}",
            self.address().replace([':', '.'], "-"),
            self.start_count.get()
        )
    }

    async fn announce(self: Rc<Self>) {
        loop {
            if !self.silent.get() {
                self.beat().await;
            }
            tokio::time::sleep(BEAT_EVERY).await;
        }
    }

    /// Leaves without draining; returns whether that was acknowledged.
    pub async fn leave(&self) -> bool {
        let body = json!({ "born": self.born_ms() });
        self.say("deregister", &body).await
    }

    /// Announces itself once; returns whether that was acknowledged.
    pub async fn beat(&self) -> bool {
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
        born_ms / 1_000_000_000 * 1_000_000_000 + self.start_count.get()
    }

    async fn say(&self, what: &str, body: &serde_json::Value) -> bool {
        let outbound = OutboundRequest {
            address: &self.control,
            method: "POST",
            path: &format!("/instances/{}/{what}", self.instance()),
            headers: &Headers::default(),
            body: &body.to_string().into(),
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
        if expected != self.instance() {
            return refusal;
        }
        let started_as = self.start_count.get();
        self.runs.borrow_mut().push(Run {
            id: id.clone(),
            origin: header("x-figway-caller-service"),
            start: started_as,
            what: format!("{} {}", request.method, request.path),
            at: Instant::now(),
        });
        let run_count = self.runs.borrow().len() as u64;
        tokio::time::sleep(WORK + Duration::from_millis(self.slow_ms.get())).await;
        let loses_one_in = self.loses_one_in.get();
        let lost = loses_one_in > 0 && run_count.is_multiple_of(loses_one_in);
        if lost || started_as != self.start_count.get() {
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
