//! Handlers of the node's listeners: callers, and all that come to its own call address.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use figway_http::{
    Answer,
    Handler,
    Request,
    ServerLimits, //
};
use figway_types::NotRunReason;
use futures::future::LocalBoxFuture;

use crate::call::Outcome;
use crate::interface::Reply;
use crate::operator;
use crate::peers::{
    is_handed_over,
    take_handed_over, //
};
use crate::plane::DataPlane;
use crate::proxy::{
    serve_call,
    Incoming, //
};
use crate::worker::Worker;

/// Idle connections of peers are kept for this long; peers give up first.
const PEER_IDLE_MAX_MS: u64 = 60_000;

/// Time for a peer's request to come in, in milliseconds.
const PEER_REQUEST_MAX_MS: u64 = 30_000;

/// Largest head of a peer's request: a caller's and what is added to it.
const PEER_HEAD_MAX_BYTES: usize = 128 * 1_024;

/// When a caller may come back that was refused for want of room.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_millis(100);

/// When a caller may come back while nothing is in force, or no target is known.
const RETRY_AFTER_NOTHING: Duration = Duration::from_millis(250);

/// Serves the callers of this host.
pub struct CallerFront {
    worker: Rc<Worker>,
}

impl CallerFront {
    /// Serves through `worker`.
    pub fn new(worker: Rc<Worker>) -> Self {
        Self { worker }
    }
}

impl Handler for CallerFront {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        Box::pin(async move { take_call(&self.worker, &request).await })
    }

    fn limits(&self) -> ServerLimits {
        let view = self.worker.plane.mesh.view();
        let limits = &view.routes.caller_limits;
        ServerLimits {
            head_max_bytes: limits.head_max_bytes as usize,
            body_max_bytes: limits.body_max_bytes as usize,
            request_max_ms: limits.request_max_ms,
            idle_max_ms: limits.idle_max_ms,
        }
    }
}

/// Serves peers, operators, the target and callers on one address.
pub struct NodeFront {
    worker: Rc<Worker>,
    takes_callers: bool,
}

impl NodeFront {
    /// Serves through `worker`; `takes_callers` says whether callers come to this address too.
    pub fn new(worker: Rc<Worker>, takes_callers: bool) -> Self {
        Self {
            worker,
            takes_callers,
        }
    }
}

impl Handler for NodeFront {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        Box::pin(async move {
            if is_handed_over(&request) {
                let _in_flight = self.worker.plane.begin_call();
                return take_handed_over(&self.worker, &request).await;
            }
            if let Some(answer) = operator::answer(&self.worker, &request).await {
                return answer;
            }
            if !self.takes_callers {
                return Answer::of_status(404);
            }
            take_call(&self.worker, &request).await
        })
    }

    fn limits(&self) -> ServerLimits {
        // A body that a peer took from its caller was within the operator's limit there.
        let plane = &self.worker.plane;
        let caller_max_bytes = plane.mesh.view().routes.caller_limits.body_max_bytes as usize;
        ServerLimits {
            head_max_bytes: PEER_HEAD_MAX_BYTES,
            body_max_bytes: plane.body_max_bytes.max(caller_max_bytes),
            request_max_ms: PEER_REQUEST_MAX_MS,
            idle_max_ms: PEER_IDLE_MAX_MS,
        }
    }
}

/// Serves counters and histograms as text, `GET /metrics`.
pub struct MetricsFront {
    plane: Arc<DataPlane>,
}

impl MetricsFront {
    /// Serves the metrics of `plane`.
    pub fn new(plane: &Arc<DataPlane>) -> Self {
        Self {
            plane: Arc::clone(plane),
        }
    }
}

impl Handler for MetricsFront {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        let answer = if request.path == "/metrics" {
            let mut answer = Answer::of_status(200);
            answer.headers.push("content-type", "text/plain");
            answer.body = self.plane.render_metrics().into();
            answer
        } else {
            Answer::of_status(404)
        };
        Box::pin(std::future::ready(answer))
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            head_max_bytes: PEER_HEAD_MAX_BYTES,
            body_max_bytes: 0,
            request_max_ms: PEER_REQUEST_MAX_MS,
            idle_max_ms: PEER_IDLE_MAX_MS,
        }
    }
}

async fn take_call(worker: &Worker, request: &Request) -> Answer {
    let plane = &worker.plane;
    let _in_flight = plane.begin_call();
    let interface = plane.interface.as_ref();
    let given_id;
    let request_id = match interface.request_id(request) {
        Some(request_id) => request_id,
        None if interface.requires_id() => {
            if plane.lines.keeps(&request.path, true) {
                log::info!("request refused path={} why=no-id", request.path);
            }
            return Answer::of_status(400);
        }
        None => {
            given_id = format!("{:016x}", plane.mesh.random());
            &given_id
        }
    };
    let budget = interface.budget(request);
    let headers = interface.onward_headers(request);
    let origin = plane.origin();
    let incoming = Incoming {
        request_id,
        addressing: interface.addressing(request),
        request,
        headers: &headers,
        origin: &origin,
        deadline: budget.and_then(|budget| request.arrived_at.checked_add(budget)),
    };
    let fate = serve_call(worker, &incoming).await;
    let retry_after = retry_after(&fate);
    interface.write(Reply {
        request_id,
        fate,
        retry_after,
    })
}

/// Returns when a refused caller may come back.
fn retry_after(fate: &Outcome) -> Option<Duration> {
    match fate {
        Outcome::NotRun(
            NotRunReason::NoConfiguration | NotRunReason::NoTarget | NotRunReason::Unreachable,
        ) => Some(RETRY_AFTER_NOTHING),
        Outcome::NotRun(_) => Some(RETRY_AFTER_OVERLOAD),
        Outcome::Answered(_) | Outcome::Unknown(_) => None,
    }
}
