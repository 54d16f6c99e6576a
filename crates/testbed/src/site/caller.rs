//! Caller of the platform: it sends requests with unique IDs and reports the result of each.

use std::cell::Cell;
use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    ClientLimits,
    Headers,
    HttpClient,
    OutboundRequest,
    SendFailure,
    Transport as _, //
};

use super::HOST_HEADER;

/// Deadline of each request, counted from its start.
const BUDGET: Duration = Duration::from_millis(1_000);

/// Result of one request as the caller saw it.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// ID of the request.
    pub id: String,
    /// HTTP status code; 0 if no complete answer arrived.
    pub status: u16,
    /// Whether the answer carries the back end's seal for this request and the body that the back
    /// end returns for it.
    pub sealed: bool,
    /// Whether the request was not sent, such as after a refused connection, so that no node read
    /// it.
    pub unsent: bool,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Value of the `retry-after` header, if any.
    pub retry_after: Option<Duration>,
    /// Time from sending the request to its answer or failure.
    pub took: Duration,
}

/// Caller that keeps its connections open between requests.
pub struct Caller {
    address: String,
    client: HttpClient,
    sent_count: Cell<u64>,
    seed: u64,
    api_key: Option<String>,
}

impl Caller {
    /// Creates a caller that calls the node at `address`.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            client: HttpClient::new(ClientLimits {
                idle_max_count: 16,
                idle_max_ms: 10_000,
                non_idempotent_idle_max_ms: 10_000,
                connect_max_ms: 500,
                body_max_bytes: 16 * 1_024 * 1_024,
                local_ip: None,
            }),
            sent_count: Cell::new(0),
            seed: figway_types::entropy(),
            api_key: None,
        }
    }

    /// Sets the API key that the caller sends.
    pub fn with_key(mut self, api_key: &str) -> Self {
        self.api_key = Some(api_key.to_owned());
        self
    }

    /// Sends one request whose body is its ID.
    pub async fn call(&self, method: &str, path: &str) -> CallResult {
        self.call_with_padding(method, path, 0).await
    }

    /// Sends one request whose body is its ID, followed by `padding_bytes` bytes.
    pub async fn call_with_padding(
        &self,
        method: &str,
        path: &str,
        padding_bytes: usize,
    ) -> CallResult {
        let id = self.next_id();
        let body = format!("{id}{}", "x".repeat(padding_bytes));
        self.send(&id, method, path, &body, BUDGET).await
    }

    /// Sends a request without a body, so that it equals others on the same path, and waits for its
    /// answer for `budget`.
    pub async fn call_alike(&self, method: &str, path: &str, budget: Duration) -> CallResult {
        let id = self.next_id();
        self.send(&id, method, path, "", budget).await
    }

    /// Sends a request without a body under the given ID, such as one that a back end makes for a
    /// request that it runs.
    pub async fn call_as(&self, id: &str, method: &str, path: &str) -> CallResult {
        self.send(id, method, path, "", BUDGET).await
    }

    fn next_id(&self) -> String {
        self.sent_count.set(self.sent_count.get() + 1);
        let number = figway_types::mix(self.seed ^ self.sent_count.get());
        format!("{number:016x}")
    }

    async fn send(
        &self,
        id: &str,
        method: &str,
        path: &str,
        body: &str,
        budget: Duration,
    ) -> CallResult {
        let mut headers = Headers::default();
        headers.push("host", HOST_HEADER);
        headers.push("x-figway-attempt-id", id);
        headers.push("x-figway-deadline-ms", budget.as_millis().to_string());
        headers.push("x-figway-caller-service", "forged");
        if let Some(api_key) = &self.api_key {
            headers.push("authorization", format!("Token {api_key}"));
        }
        let sent_at = Instant::now();
        let outbound = OutboundRequest {
            address: &self.address,
            method,
            path,
            headers: &headers,
            body: &body.to_owned().into(),
            body_bytes_per_s: None,
            deadline: sent_at + budget,
            echo_header: None,
            idempotent: false,
        };
        let result = self.client.send(&outbound).await;
        let unsent = matches!(result, Err(SendFailure::Refused(_)));
        let mut retry_after = None;
        let (status, sealed) = match result {
            Ok(answer) => {
                retry_after = answer
                    .header("retry-after")
                    .and_then(|seconds| seconds.parse().ok())
                    .map(Duration::from_secs_f64);
                let seal = answer.header("x-figway-response-seal");
                let expected_seal = format!("seal-{id}-{}", answer.body.len());
                let is_expected_body = answer.body.starts_with(format!("{id} {body}").as_bytes());
                let sealed = seal == Some(expected_seal.as_str()) && is_expected_body;
                (answer.status, sealed)
            }
            Err(_) => (0, false),
        };
        CallResult {
            id: id.to_owned(),
            status,
            sealed,
            unsent,
            sent_at,
            retry_after,
            took: sent_at.elapsed(),
        }
    }
}
