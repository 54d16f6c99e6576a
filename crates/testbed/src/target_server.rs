//! Stand-in of a target: slots, service times, shedding, crashes, and a journal of what it ran.

use std::collections::BTreeMap;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_types::Target;
use ntex::util::Bytes;
use ntex::web::types::{
    Json,
    PayloadConfig,
    State, //
};
use ntex::web::{
    self,
    App,
    HttpRequest,
    HttpResponse,
    HttpServer, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;
use tokio::sync::Semaphore;

use crate::http::{
    client,
    send,
    Request, //
};

/// How often a target announces itself.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);

/// One request that the target began to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Value of `x-call-id`, by which the caller knows the request.
    pub call_id: String,
    /// Value of `Idempotency-Key`.
    pub key: String,
}

/// How the target serves, switched from outside.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Slowdown {
    /// Factor on every service time.
    pub factor: f64,
    /// How long it holds, in milliseconds.
    pub for_ms: u64,
}

struct Inner {
    name: String,
    target: Mutex<Target>,
    slots: Semaphore,
    journal: Mutex<Vec<JournalEntry>>,
    slow: Mutex<(f64, Instant)>,
}

/// State of the stand-in.
#[derive(Clone)]
pub struct TargetServer {
    inner: Arc<Inner>,
}

impl TargetServer {
    /// Describes a target of `service` with `slot_count` slots.
    pub fn new(name: &str, service: &str, slot_count: u32) -> Self {
        let target = Target {
            service: service.to_owned(),
            instance: String::new(),
            address: String::new(),
            slot_count,
            labels: BTreeMap::new(),
            draining: false,
        };
        Self {
            inner: Arc::new(Inner {
                name: name.to_owned(),
                target: Mutex::new(target),
                slots: Semaphore::new(slot_count as usize),
                journal: Mutex::default(),
                slow: Mutex::new((1.0, Instant::now())),
            }),
        }
    }

    /// Sets the labels that subsets select by.
    pub fn set_labels(&self, labels: BTreeMap<String, String>) {
        self.target().labels = labels;
    }

    /// Asks for no new work.
    pub fn set_draining(&self, draining: bool) {
        self.target().draining = draining;
    }

    /// Serves on `listener` until stopped.
    ///
    /// # Errors
    ///
    /// The listener can't be served.
    pub fn serve(&self, listener: std::net::TcpListener) -> anyhow::Result<ntex::server::Server> {
        self.target().address = listener.local_addr()?.to_string();
        let server = self.clone();
        let running = HttpServer::new(async move || {
            App::new()
                .state(server.clone())
                .state(PayloadConfig::new(16 * 1_024 * 1_024))
                .service(web::resource("/testbed/journal").route(web::get().to(journal)))
                .service(web::resource("/testbed/slow").route(web::post().to(slow)))
                .service(web::resource("/testbed/drain").route(web::post().to(drain)))
                .default_service(web::to(run))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        Ok(running)
    }

    /// Announces the target to the node at `node_address` until the process ends.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be built.
    pub async fn announce(&self, node_address: &str) -> anyhow::Result<()> {
        let http = client().await?;
        let url = format!("http://{node_address}/figway/announce");
        loop {
            let body = serde_json::to_string(&*self.target())?;
            let request = Request {
                method: "POST",
                url: &url,
                headers: &[("content-type", "application/json")],
                body: &body,
            };
            // A node that is down hears of the target when it is back.
            send(&http, request, ANNOUNCE_EVERY).await.ok();
            tokio::time::sleep(ANNOUNCE_EVERY).await;
        }
    }

    fn target(&self) -> MutexGuard<'_, Target> {
        self.inner.target.lock().expect("no holder panics")
    }

    fn service_time(&self, work_ms: f64) -> Duration {
        let (factor, until) = *self.inner.slow.lock().expect("no holder panics");
        let factor = if until > Instant::now() { factor } else { 1.0 };
        Duration::from_secs_f64(work_ms * factor / 1_000.0)
    }
}

async fn run(server: State<TargetServer>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned()
    };
    let path = request
        .uri()
        .path_and_query()
        .map_or(String::new(), |path| path.to_string());
    let entry = JournalEntry {
        method: request.method().to_string(),
        path: path.clone(),
        call_id: header("x-call-id"),
        key: header("idempotency-key"),
    };
    let call_id = entry.call_id.clone();
    server
        .inner
        .journal
        .lock()
        .expect("no holder panics")
        .push(entry);
    if query_value(&path, "crash").is_some() {
        std::process::exit(70);
    }
    let work_ms = query_value(&path, "work_ms").and_then(|text| text.parse().ok());
    let Ok(_slot) = server.inner.slots.acquire().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let service_time = server.service_time(work_ms.unwrap_or(0.0));
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    HttpResponse::Ok().json(&json!({
        "target": server.inner.name,
        "call_id": call_id,
        "path": path,
        "echo": String::from_utf8_lossy(&body),
    }))
}

async fn journal(server: State<TargetServer>) -> HttpResponse {
    let journal = server.inner.journal.lock().expect("no holder panics");
    HttpResponse::Ok().json(&*journal)
}

async fn slow(server: State<TargetServer>, slowdown: Json<Slowdown>) -> HttpResponse {
    let until = Instant::now() + Duration::from_millis(slowdown.for_ms);
    *server.inner.slow.lock().expect("no holder panics") = (slowdown.factor, until);
    HttpResponse::NoContent().finish()
}

async fn drain(server: State<TargetServer>) -> HttpResponse {
    server.set_draining(true);
    HttpResponse::NoContent().finish()
}

/// Returns the value of a query parameter.
fn query_value<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    for pair in query.split('&') {
        let Some((known, value)) = pair.split_once('=') else {
            continue;
        };
        if known == name {
            return Some(value);
        }
    }
    None
}
