//! Stand-in for the platform's append-only log, with injectable faults that the real log has too.

use std::collections::VecDeque;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use figway_log_client::{
    Appended,
    Page, //
};
use figway_types::{
    FastMap,
    LogEra,
    LogRecord,
    Offset, //
};
use ntex::util::Bytes;
use ntex::web::types::{
    Json,
    Path,
    PayloadConfig,
    Query,
    State, //
};
use ntex::web::{
    self,
    App,
    HttpResponse,
    HttpServer, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;
use tokio::sync::watch;

/// Maximum number of records in one page.
const PAGE_MAX_COUNT: usize = 1_000;

/// Faults that tests inject by `POST /testbed/faults`; the body replaces all faults.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// Whether every append and read is answered with 503.
    pub down: bool,
    /// Delay before each append and read is processed, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming appends that take effect but are never answered.
    pub lose_answer_count: u64,
    /// Age above which records expire, in milliseconds; 0 disables expiry.
    pub retention_ms: u64,
    /// Appends per second above which the log answers 429; 0 disables the limit.
    pub append_max_per_s: u64,
}

#[derive(Default)]
struct Stream {
    records: VecDeque<LogRecord>,
    /// Records ever appended, expired ones included; also the offset of the newest record.
    appended_count: u64,
}

struct Store {
    streams: FastMap<String, Stream>,
    faults: LogFaults,
    append_signal: watch::Sender<u64>,
    append_count: u64,
    read_count: u64,
    read_bytes: u64,
    /// End of the one-second window in which appends are counted for the rate limit.
    window_ends_at: Instant,
    window_count: u64,
}

/// HTTP server that keeps the streams in memory. Clones share the streams and the faults.
#[derive(Clone)]
pub struct LogServer {
    store: Arc<Mutex<Store>>,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    wait_ms: u64,
}

impl Default for LogServer {
    fn default() -> Self {
        Self {
            store: Arc::new(Mutex::new(Store {
                streams: FastMap::default(),
                faults: LogFaults::default(),
                append_signal: watch::Sender::new(0),
                append_count: 0,
                read_count: 0,
                read_bytes: 0,
                window_ends_at: Instant::now(),
                window_count: 0,
            })),
        }
    }
}

impl LogServer {
    /// Serves on `listener` until the returned server is stopped.
    ///
    /// # Errors
    ///
    /// The server can't be started on the listener.
    pub fn serve(&self, listener: std::net::TcpListener) -> anyhow::Result<ntex::server::Server> {
        let server = self.clone();
        let running = HttpServer::new(async move || {
            App::new()
                .state(server.clone())
                .state(PayloadConfig::new(32 * 1_024 * 1_024))
                .service(
                    web::resource("/streams/{stream}/records")
                        .route(web::post().to(append))
                        .route(web::get().to(read)),
                )
                .service(web::resource("/testbed/faults").route(web::post().to(set_faults)))
                .service(web::resource("/testbed/counts").route(web::get().to(counts)))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        Ok(running)
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no holder panics")
    }

    async fn apply_delay(&self) {
        let slow_ms = self.store().faults.slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    /// Appends a record and returns the answer, or `None` if the answer is to be lost.
    fn append(&self, stream: &str, body: &str) -> Option<HttpResponse> {
        let mut store = self.store();
        if store.faults.down {
            return Some(HttpResponse::ServiceUnavailable().finish());
        }
        if store.exceeds_append_rate() {
            return Some(HttpResponse::TooManyRequests().finish());
        }
        let appended = store.append(stream, body);
        if store.faults.lose_answer_count > 0 {
            store.faults.lose_answer_count -= 1;
            return None;
        }
        Some(HttpResponse::Ok().json(&appended))
    }

    /// Returns the records from offset `from` on, or the offset of the oldest record if `from` is
    /// older than it.
    fn read_page(&self, stream: &str, from: u64) -> Result<Page, Offset> {
        let mut store = self.store();
        store.expire(stream);
        let stream = store.streams.entry(stream.to_owned()).or_default();
        let first_offset = Offset(stream.appended_count + 1 - stream.records.len() as u64);
        if Offset(from.max(1)) < first_offset {
            return Err(first_offset);
        }
        let skip = (from.max(1) - first_offset.0) as usize;
        let mut records = Vec::new();
        for record in stream.records.iter().skip(skip).take(PAGE_MAX_COUNT) {
            records.push(record.clone());
        }
        Ok(Page {
            first_offset,
            next_offset: Offset(stream.appended_count + 1),
            now_ms: now_ms(),
            records,
        })
    }
}

impl Store {
    fn append(&mut self, stream: &str, body: &str) -> Appended {
        let appended_at_ms = now_ms();
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.appended_count += 1;
        let offset = Offset(stream.appended_count);
        stream.records.push_back(LogRecord {
            offset,
            written_era: LogEra::default(),
            appended_at_ms,
            body: body.to_owned(),
        });
        self.append_count += 1;
        self.append_signal.send_modify(|count| *count += 1);
        Appended {
            offset,
            appended_at_ms,
        }
    }

    fn expire(&mut self, stream: &str) {
        if self.faults.retention_ms == 0 {
            return;
        }
        let oldest_ms = now_ms().saturating_sub(self.faults.retention_ms);
        let Some(stream) = self.streams.get_mut(stream) else {
            return;
        };
        while let Some(record) = stream.records.front() {
            if record.appended_at_ms >= oldest_ms {
                return;
            }
            stream.records.pop_front();
        }
    }

    /// Counts one append and returns whether it exceeds the rate limit.
    fn exceeds_append_rate(&mut self) -> bool {
        if self.faults.append_max_per_s == 0 {
            return false;
        }
        let now = Instant::now();
        if self.window_ends_at <= now {
            self.window_ends_at = now + Duration::from_secs(1);
            self.window_count = 0;
        }
        self.window_count += 1;
        self.window_count > self.faults.append_max_per_s
    }
}

async fn append(server: State<LogServer>, stream: Path<String>, body: Bytes) -> HttpResponse {
    server.apply_delay().await;
    let body = String::from_utf8_lossy(&body).into_owned();
    match server.append(&stream, &body) {
        Some(response) => response,
        // The record is stored, but the writer never receives an answer.
        None => futures::future::pending().await,
    }
}

async fn read(
    server: State<LogServer>,
    stream: Path<String>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    server.apply_delay().await;
    let wait_until = Instant::now() + Duration::from_millis(query.wait_ms);
    let mut append_signal = server.store().append_signal.subscribe();
    loop {
        if server.store().faults.down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let page = match server.read_page(&stream, query.from) {
            Ok(page) => page,
            Err(first_offset) => {
                return HttpResponse::Gone().json(&json!({"first_offset": first_offset}));
            }
        };
        if !page.records.is_empty() || Instant::now() >= wait_until {
            let body = serde_json::to_vec(&page).unwrap_or_default();
            let mut store = server.store();
            store.read_count += 1;
            store.read_bytes += body.len() as u64;
            return HttpResponse::Ok()
                .content_type("application/json")
                .body(body);
        }
        let changed = append_signal.changed();
        tokio::time::timeout_at(wait_until.into(), changed)
            .await
            .ok();
    }
}

async fn set_faults(server: State<LogServer>, faults: Json<LogFaults>) -> HttpResponse {
    let mut store = server.store();
    store.faults = faults.into_inner();
    // Wakes readers in a long poll, so that an outage also fails their requests.
    store.append_signal.send_modify(|count| *count += 1);
    HttpResponse::NoContent().finish()
}

async fn counts(server: State<LogServer>) -> HttpResponse {
    let store = server.store();
    HttpResponse::Ok().json(&json!({
        "appends": store.append_count,
        "reads": store.read_count,
        "read_bytes": store.read_bytes,
    }))
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
