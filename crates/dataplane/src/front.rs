//! Request handlers of the node's listeners: one for callers, one for the node's own call address,
//! and one for metrics.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use figway_http::{
    Answer,
    BusyConnections,
    Handler,
    MemoryBudget,
    Request,
    ServerLimits, //
};
use figway_types::NotRunReason;
use futures::future::LocalBoxFuture;

use crate::call::Outcome;
use crate::interface::Reply;
use crate::offers::{
    is_offer,
    serve_offer, //
};
use crate::operator;
use crate::peers::{
    is_forwarded,
    refuse_forwarded,
    serve_forwarded, //
};
use crate::plane::DataPlane;
use crate::proxy::{
    serve_call,
    Incoming, //
};
use crate::worker::Worker;

/// Time for which an idle connection from a peer is kept, in milliseconds. Peers stop using it
/// earlier.
const PEER_IDLE_MAX_MS: u64 = 60_000;

/// Time limit for reading a peer's request, in milliseconds.
const PEER_REQUEST_MAX_MS: u64 = 30_000;

/// Longest time for which a caller may stop reading.
const CALLER_STALL_MAX: Duration = Duration::from_secs(10);

/// Size limit of the head of a peer's request: the caller's head and the headers that a node adds.
const PEER_HEAD_MAX_BYTES: usize = 128 * 1_024;

/// Delay before retry for a caller whose call was refused because of overload.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_millis(100);

/// Delay before retry for a caller whose call found no configuration in force, or no target that is
/// known and reachable.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(250);

/// Serves the callers of this host.
pub struct CallerFront {
    worker: Rc<Worker>,
}

impl CallerFront {
    /// Creates a handler that serves calls with `worker`.
    pub fn new(worker: Rc<Worker>) -> Self {
        Self { worker }
    }
}

impl Handler for CallerFront {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        Box::pin(async move { serve_caller_request(&self.worker, &request).await })
    }

    fn may_overlap(&self, request: &Request) -> bool {
        has_safe_method(request) && self.worker.plane.may_repeat(request)
    }

    fn refuse_for_memory(&self, request: &Request) -> Answer {
        record_memory_refusal(&self.worker.plane, request);
        refuse_caller_request(&self.worker.plane, request)
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

    fn memory(&self) -> MemoryBudget {
        self.worker.plane.memory.clone()
    }

    fn stall_timeout(&self) -> Duration {
        CALLER_STALL_MAX
    }

    fn busy_connections(&self) -> Option<&BusyConnections> {
        Some(&self.worker.plane.busy_connections)
    }
}

/// Serves peers, operators, the local target and callers on one address.
pub struct NodeFront {
    worker: Rc<Worker>,
    accepts_callers: bool,
}

impl NodeFront {
    /// Creates a handler that serves requests with `worker`. `accepts_callers` sets whether callers
    /// may use this address too.
    pub fn new(worker: Rc<Worker>, accepts_callers: bool) -> Self {
        Self {
            worker,
            accepts_callers,
        }
    }
}

impl Handler for NodeFront {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        Box::pin(async move {
            if is_forwarded(&request) {
                return serve_forwarded(&self.worker, &request).await;
            }
            if is_offer(&request) {
                return serve_offer(&self.worker, &request).await;
            }
            if let Some(answer) = operator::answer(&self.worker, &request).await {
                return answer;
            }
            if !self.accepts_callers {
                return Answer::of_status(404);
            }
            serve_caller_request(&self.worker, &request).await
        })
    }

    fn refuse_for_memory(&self, request: &Request) -> Answer {
        record_memory_refusal(&self.worker.plane, request);
        if is_forwarded(request) {
            return refuse_forwarded(&self.worker);
        }
        refuse_caller_request(&self.worker.plane, request)
    }

    fn limits(&self) -> ServerLimits {
        // A peer applies the operator's body limit to its caller's request before it forwards it.
        let plane = &self.worker.plane;
        let caller_max_bytes = plane.mesh.view().routes.caller_limits.body_max_bytes as usize;
        ServerLimits {
            head_max_bytes: PEER_HEAD_MAX_BYTES,
            body_max_bytes: plane.body_max_bytes.max(caller_max_bytes),
            request_max_ms: PEER_REQUEST_MAX_MS,
            idle_max_ms: PEER_IDLE_MAX_MS,
        }
    }

    fn memory(&self) -> MemoryBudget {
        self.worker.plane.memory.clone()
    }

    fn busy_connections(&self) -> Option<&BusyConnections> {
        Some(&self.worker.plane.busy_connections)
    }
}

/// Serves the metrics as text at `GET /metrics`.
pub struct MetricsFront {
    plane: Arc<DataPlane>,
}

impl MetricsFront {
    /// Creates a handler that serves the metrics of `plane`.
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

async fn serve_caller_request(worker: &Worker, request: &Request) -> Answer {
    let plane = &worker.plane;
    let interface = plane.interface.as_ref();
    let generated_id;
    let request_id = match interface.request_id(request) {
        Some(request_id) => request_id,
        None if interface.requires_id() => {
            if plane.log_budget.should_log(&request.path, true) {
                log::info!("request refused path={} why=no-id", request.path);
            }
            return Answer::of_status(400);
        }
        None => {
            generated_id = format!("{:016x}", plane.mesh.random());
            &generated_id
        }
    };
    let budget = interface.budget(request);
    let origin = plane.origin();
    let incoming = Incoming {
        request_id,
        addressing: interface.addressing(request),
        request,
        origin: &origin,
        deadline: budget.and_then(|budget| request.arrived_at.checked_add(budget)),
    };
    let served = if plane.refuses_calls() {
        Outcome::NotRun(NotRunReason::Draining).into()
    } else {
        serve_call(worker, &incoming).await
    };
    let retry_after = served
        .expected_wait
        .or_else(|| retry_after(&served.outcome));
    interface.encode_reply(Reply {
        request_id,
        outcome: served.outcome,
        retry_after,
    })
}

/// Returns whether the method is one by which a caller asks for no change.
fn has_safe_method(request: &Request) -> bool {
    matches!(request.method.as_str(), "GET" | "HEAD" | "OPTIONS")
}

/// Counts and logs a request for whose body there is no memory.
fn record_memory_refusal(plane: &DataPlane, request: &Request) {
    plane.metrics.count("refused_for_memory");
    if plane.log_budget.should_log(&request.path, true) {
        log::info!(
            "request refused path={} content_length={} held_body_bytes={} why=no-memory",
            request.path,
            request.headers.get("content-length").unwrap_or("unknown"),
            plane.memory.held_bytes(),
        );
    }
}

/// Returns the answer to a caller whose request was not read to its end.
fn refuse_caller_request(plane: &DataPlane, request: &Request) -> Answer {
    let interface = plane.interface.as_ref();
    let outcome = Outcome::NotRun(NotRunReason::Overloaded);
    interface.encode_reply(Reply {
        request_id: interface.request_id(request).unwrap_or(""),
        retry_after: retry_after(&outcome),
        outcome,
    })
}

/// Returns the delay after which a refused caller may retry.
fn retry_after(outcome: &Outcome) -> Option<Duration> {
    match outcome {
        Outcome::NotRun(
            NotRunReason::NoConfiguration | NotRunReason::NoTarget | NotRunReason::Unreachable,
        ) => Some(RETRY_AFTER_UNAVAILABLE),
        Outcome::NotRun(_) => Some(RETRY_AFTER_OVERLOAD),
        Outcome::Answered(_) | Outcome::Unknown(_) => None,
    }
}
