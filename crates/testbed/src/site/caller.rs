//! A caller of the platform: requests with an id of their own, and what came of each.

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

use super::HOST;

/// Time that a caller waits.
const BUDGET: Duration = Duration::from_millis(1_000);

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Id of the request.
    pub id: String,
    /// HTTP status; 0 if no whole answer came.
    pub status: u16,
    /// Whether the answer is the back end's own, for this request.
    pub sealed: bool,
    /// Whether the connection was refused, so that no node read the request.
    pub unread: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// Time until the answer or the end.
    pub took: Duration,
}

/// A caller that keeps its connections open.
pub struct Caller {
    address: String,
    client: HttpClient,
    next: Cell<u64>,
    seed: u64,
}

impl Caller {
    /// Calls the node at `address`.
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
            next: Cell::new(0),
            seed: figway_types::entropy(),
        }
    }

    /// Sends one request.
    pub async fn call(&self, method: &str, path: &str) -> Seen {
        self.call_with(method, path, 0).await
    }

    /// Sends one request whose body is its id and `more_bytes` besides.
    pub async fn call_with(&self, method: &str, path: &str, more_bytes: usize) -> Seen {
        self.next.set(self.next.get() + 1);
        let id = format!("{:016x}", figway_types::mix(self.seed ^ self.next.get()));
        let mut headers = Headers::default();
        headers.push("host", HOST);
        headers.push("x-figway-attempt-id", id.as_str());
        headers.push("x-figway-deadline-ms", BUDGET.as_millis().to_string());
        headers.push("x-figway-caller-service", "forged");
        let body = format!("{id}{}", "x".repeat(more_bytes));
        let sent_at = Instant::now();
        let outbound = OutboundRequest {
            address: &self.address,
            method,
            path,
            headers: &headers,
            body: &body.clone().into(),
            deadline: sent_at + BUDGET,
            echo_header: None,
            idempotent: false,
        };
        let result = self.client.send(&outbound).await;
        let unread = matches!(result, Err(SendFailure::Refused(_)));
        let (status, sealed) = match result {
            Ok(answer) => {
                let seal = answer.header("x-figway-response-seal");
                let whole = answer.body == format!("{id} {body}");
                let sealed = seal == Some(format!("seal-{id}").as_str()) && whole;
                (answer.status, sealed)
            }
            Err(_) => (0, false),
        };
        Seen {
            id,
            status,
            sealed,
            unread,
            sent_at,
            took: sent_at.elapsed(),
        }
    }
}
