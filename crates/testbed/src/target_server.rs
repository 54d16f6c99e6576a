//! Stand-in for a target: it has a limited number of slots and configurable service times, crashes
//! on request and keeps a journal of the requests that reached it.

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

/// Pause between two announcements, and the timeout of each.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Request that reached the target. It is recorded before it waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the `x-call-id` header, which the caller sets; empty if the header is absent.
    pub call_id: String,
    /// Value of the `Idempotency-Key` header; empty if the header is absent.
    pub key: String,
}

/// Temporary change of the service times, set by `POST /testbed/slow`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Slowdown {
    /// Factor by which each service time is multiplied.
    pub factor: f64,
    /// Duration of the change, in milliseconds.
    pub for_ms: u64,
}

struct Inner {
    name: String,
    target: Mutex<Target>,
    slots: Semaphore,
    journal: Mutex<Vec<JournalEntry>>,
    /// Factor of the service times and the time until which it applies.
    slowdown: Mutex<(f64, Instant)>,
}

/// HTTP server that runs requests and announces itself to a node. Clones share their state.
#[derive(Clone)]
pub struct TargetServer {
    inner: Arc<Inner>,
}

impl TargetServer {
    /// Creates a target of `service` that runs up to `slot_count` requests at once. `name` appears
    /// in its answers.
    pub fn new(name: &str, service: &str, slot_count: u32) -> Self {
        let target = Target {
            service: service.to_owned(),
            instance: String::new(),
            started_at_ms: 0,
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
                slowdown: Mutex::new((1.0, Instant::now())),
            }),
        }
    }

    /// Sets the labels by which subsets select targets.
    pub fn set_labels(&self, labels: BTreeMap<String, String>) {
        self.target().labels = labels;
    }

    /// Sets whether the announcements ask for no new requests.
    pub fn set_draining(&self, draining: bool) {
        self.target().draining = draining;
    }

    /// Serves on `listener` until the returned server is stopped.
    ///
    /// # Errors
    ///
    /// The server can't be started on the listener.
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

    /// Announces the target periodically to the node at `node_address`. It returns only on an
    /// error.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be built or the announcement can't be encoded.
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
            // A failure is ignored: a later announcement reaches a node that was down.
            send(&http, request, ANNOUNCE_PERIOD).await.ok();
            tokio::time::sleep(ANNOUNCE_PERIOD).await;
        }
    }

    fn target(&self) -> MutexGuard<'_, Target> {
        self.inner.target.lock().expect("no holder panics")
    }

    fn service_time(&self, work_ms: f64) -> Duration {
        let (factor, until) = *self.inner.slowdown.lock().expect("no holder panics");
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
    *server.inner.slowdown.lock().expect("no holder panics") = (slowdown.factor, until);
    HttpResponse::NoContent().finish()
}

async fn drain(server: State<TargetServer>) -> HttpResponse {
    server.set_draining(true);
    HttpResponse::NoContent().finish()
}

/// Returns the value of the first query parameter `name` in `path`.
fn query_value<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return Some(value);
        }
    }
    None
}
