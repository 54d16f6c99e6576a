//! Ways of a call to its target: through figway's nodes, and the baseline.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{
    Duration,
    Instant, //
};

use futures::future::LocalBoxFuture;
use ntex::client::Client;

use crate::http::{
    send,
    Request, //
};
use crate::load::{
    CallOutcome,
    CallParams,
    LoadClient,
    LoadKind, //
};

/// Wait of a caller beyond the call's budget.
const CALLER_GRACE: Duration = Duration::from_millis(500);

/// Calls through figway's nodes, each at a random one.
pub struct FigwayClient {
    /// Client of the callers.
    pub http: Client,
    /// Call addresses of the nodes.
    pub nodes: Vec<String>,
}

impl LoadClient for FigwayClient {
    fn call<'a>(
        &'a self,
        kind: &'a LoadKind,
        drawn: &'a CallParams,
    ) -> LocalBoxFuture<'a, CallOutcome> {
        Box::pin(async move {
            let node = &self.nodes[(drawn.random % self.nodes.len() as u64) as usize];
            let url = format!("http://{node}{}", drawn.path);
            let budget_ms = kind.budget_ms.to_string();
            let mut headers = vec![
                ("x-figway-service", kind.service),
                ("x-figway-budget-ms", budget_ms.as_str()),
                ("x-call-id", drawn.call_id.as_str()),
            ];
            if kind.keyed {
                headers.push(("idempotency-key", drawn.call_id.as_str()));
            }
            let request = Request {
                method: kind.method,
                url: &url,
                headers: &headers,
                body: "",
            };
            let wait = Duration::from_millis(kind.budget_ms) + CALLER_GRACE;
            match send(&self.http, request, wait).await {
                Ok(reply) => match (reply.outcome.as_str(), reply.status) {
                    ("answered", 200) => CallOutcome::Answered,
                    ("not-run", _) => CallOutcome::NotRun,
                    ("unknown", _) => CallOutcome::Unknown,
                    _ => CallOutcome::Failed,
                },
                Err(_) => CallOutcome::Failed,
            }
        })
    }
}

/// The baseline: round robin straight to the targets, no queue limits, two retries.
pub struct BaselineClient {
    /// Client of the callers.
    pub http: Client,
    /// Addresses of the targets, by service.
    pub targets: BTreeMap<String, Vec<String>>,
    /// Next target of each service.
    pub next_index: RefCell<BTreeMap<String, usize>>,
    /// Tries of a call.
    pub attempt_count: usize,
}

impl BaselineClient {
    fn next(&self, service: &str) -> &str {
        let targets = &self.targets[service];
        let mut next_index = self.next_index.borrow_mut();
        let index = next_index.entry(service.to_owned()).or_default();
        *index += 1;
        &targets[*index % targets.len()]
    }
}

impl LoadClient for BaselineClient {
    fn call<'a>(
        &'a self,
        kind: &'a LoadKind,
        drawn: &'a CallParams,
    ) -> LocalBoxFuture<'a, CallOutcome> {
        Box::pin(async move {
            let give_up_at = Instant::now() + Duration::from_millis(kind.budget_ms);
            for _ in 0..self.attempt_count {
                let url = format!("http://{}{}", self.next(kind.service), drawn.path);
                let request = Request {
                    method: kind.method,
                    url: &url,
                    headers: &[("x-call-id", drawn.call_id.as_str())],
                    body: "",
                };
                let left = give_up_at.saturating_duration_since(Instant::now());
                if let Ok(reply) = send(&self.http, request, left).await {
                    if reply.status == 200 {
                        return CallOutcome::Answered;
                    }
                }
            }
            CallOutcome::Failed
        })
    }
}
