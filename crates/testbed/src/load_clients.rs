//! Clients of the load generator: one that calls through figway's nodes, and the baseline, which
//! calls targets directly.

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

/// Time that a caller waits for the answer beyond the call's budget.
const CALLER_GRACE: Duration = Duration::from_millis(500);

/// Sends each call to a random figway node.
pub struct FigwayClient {
    /// HTTP client of all callers.
    pub http: Client,
    /// Call addresses of the nodes.
    pub nodes: Vec<String>,
}

impl LoadClient for FigwayClient {
    fn call<'a>(
        &'a self,
        kind: &'a LoadKind,
        params: &'a CallParams,
    ) -> LocalBoxFuture<'a, CallOutcome> {
        Box::pin(async move {
            let node = &self.nodes[(params.random % self.nodes.len() as u64) as usize];
            let url = format!("http://{node}{}", params.path);
            let budget_ms = kind.budget_ms.to_string();
            let mut headers = vec![
                ("x-figway-service", kind.service),
                ("x-figway-budget-ms", budget_ms.as_str()),
                ("x-call-id", params.call_id.as_str()),
            ];
            if kind.keyed {
                headers.push(("idempotency-key", params.call_id.as_str()));
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

/// The baseline: sends calls directly to the targets in round-robin order, without queue limits,
/// and retries calls that are not answered with status 200.
pub struct BaselineClient {
    /// HTTP client of all callers.
    pub http: Client,
    /// Addresses of the targets, by service.
    pub targets: BTreeMap<String, Vec<String>>,
    /// Number of attempts sent so far, by service.
    pub attempt_counts: RefCell<BTreeMap<String, usize>>,
    /// Largest number of attempts per call, including the first.
    pub attempt_max_count: usize,
}

impl BaselineClient {
    /// Returns the address of the next target of `service`, in round-robin order.
    fn next_target(&self, service: &str) -> &str {
        let targets = &self.targets[service];
        let mut attempt_counts = self.attempt_counts.borrow_mut();
        let attempt_count = attempt_counts.entry(service.to_owned()).or_default();
        *attempt_count += 1;
        &targets[*attempt_count % targets.len()]
    }
}

impl LoadClient for BaselineClient {
    fn call<'a>(
        &'a self,
        kind: &'a LoadKind,
        params: &'a CallParams,
    ) -> LocalBoxFuture<'a, CallOutcome> {
        Box::pin(async move {
            let deadline = Instant::now() + Duration::from_millis(kind.budget_ms);
            for _ in 0..self.attempt_max_count {
                let url = format!("http://{}{}", self.next_target(kind.service), params.path);
                let request = Request {
                    method: kind.method,
                    url: &url,
                    headers: &[("x-call-id", params.call_id.as_str())],
                    body: "",
                };
                let remaining = deadline.saturating_duration_since(Instant::now());
                if let Ok(reply) = send(&self.http, request, remaining).await {
                    if reply.status == 200 {
                        return CallOutcome::Answered;
                    }
                }
            }
            CallOutcome::Failed
        })
    }
}
