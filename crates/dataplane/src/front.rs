//! HTTP front of a node: callers, peers, targets and operators.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use figway_types::NotRunReason;
use ntex::http::{
    HttpServiceConfig,
    KeepAlive, //
};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::util::Bytes;
use ntex::web::types::{
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
use ntex::SharedCfg;

use crate::admit::admit;
use crate::call::{
    Admitted,
    Fate, //
};
use crate::headers;
use crate::operator;
use crate::plane::{
    DataPlane,
    Worker, //
};
use crate::proxy::{
    serve_call,
    Incoming, //
};
use crate::wire::{
    self,
    AnswerNotes, //
};

/// Idle connections of callers and peers are kept for this long; peers give up first.
const KEEP_ALIVE: Seconds = Seconds(60);

/// Serves calls on `listener` until the server is stopped.
///
/// # Errors
///
/// The listener can't be served.
pub fn serve(
    plane: Arc<DataPlane>,
    listener: TcpListener,
    worker_count: usize,
) -> anyhow::Result<Server> {
    let config = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(KEEP_ALIVE));
    let server = HttpServer::new(async move || {
        let body_max_bytes = plane.body_max_bytes;
        let worker = Worker::new(Arc::clone(&plane)).await;
        let worker = worker.expect("an HTTP client without TLS can always be built");
        App::new()
            .state(worker)
            .state(PayloadConfig::new(body_max_bytes))
            .service(web::resource("/figway/announce").route(web::post().to(operator::announce)))
            .service(web::resource("/figway/in-force").route(web::get().to(operator::in_force)))
            .service(web::resource("/figway/status").route(web::get().to(operator::status)))
            .service(web::resource("/figway/members").route(web::get().to(operator::members)))
            .default_service(web::to(take_request))
    })
    .workers(worker_count)
    .disable_signals()
    .shutdown_timeout(Seconds(10))
    .config(SharedCfg::new("figway").add(config))
    .listen(listener)?
    .run();
    Ok(server)
}

async fn take_request(
    worker: State<Rc<Worker>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let arrived_at = Instant::now();
    let _in_flight = worker.plane.begin_call();
    let request_id = wire::request_id_of(&request).unwrap_or_else(|| worker.plane.mesh.random());
    let mut notes = AnswerNotes {
        request_id,
        close: worker.plane.is_draining(),
        ..AnswerNotes::default()
    };
    if let Some(kind) = wire::header(&request, headers::ADMIT_KIND) {
        let fate = take_handed_over(&worker, &request, kind, &body, &mut notes).await;
        return wire::respond(fate, notes);
    }
    let incoming = Incoming {
        request_id,
        service: wire::service_of(&request),
        method: request.method().as_str().to_owned(),
        path: wire::path_of(&request),
        headers: wire::forwarded_headers(&request),
        body,
        deadline: wire::deadline_of(&request, arrived_at),
    };
    let fate = serve_call(&worker, &incoming).await;
    worker
        .plane
        .metrics
        .note_call(fate.name(), arrived_at.elapsed());
    wire::respond(fate, notes)
}

/// Admits a call that a peer's node hands over.
async fn take_handed_over(
    worker: &Worker,
    request: &HttpRequest,
    kind: &str,
    body: &Bytes,
    notes: &mut AnswerNotes,
) -> Fate {
    let deadline = wire::deadline_of(request, Instant::now());
    let fingerprint = wire::fingerprint_of(request);
    let (Some(deadline), Some(fingerprint)) = (deadline, fingerprint) else {
        return Fate::NotRun(NotRunReason::NoRoute);
    };
    let worth = wire::header(request, headers::ADMIT_WORTH).and_then(|worth| worth.parse().ok());
    let path = wire::path_of(request);
    let forwarded = wire::forwarded_headers(request);
    let call = Admitted {
        request_id: notes.request_id,
        kind,
        worth: worth.unwrap_or(1.0),
        long: wire::header(request, headers::ADMIT_LONG) == Some("true"),
        fingerprint,
        method: request.method().as_str(),
        path: &path,
        headers: &forwarded,
        body,
        deadline,
    };
    let ended = admit(worker, &call).await;
    let busy_ratio = worker.plane.gate.busy_ratio();
    worker.plane.metrics.note_busy(busy_ratio);
    notes.busy_ratio = Some(busy_ratio);
    notes.crash_id = ended.crash_id;
    ended.fate
}
