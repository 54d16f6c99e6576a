//! Connections of a client that wait for their next request.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::FastMap;
use hyper::client::conn::http1::SendRequest;
use tokio::task::JoinHandle;

use crate::answer_stream::ReadAllowance;
use crate::client::ClientLimits;
use crate::headers::Headers;
use crate::message::{
    Answer,
    OutboundRequest, //
};
use crate::paced_body::PacedBody;

/// Fraction of a server's announced keep-alive timeout during which its connection is reused.
const KEEP_ALIVE_RATIO: f64 = 0.6;

/// Aborts the task that drives a connection when dropped, which closes the connection.
struct DriverTask(JoinHandle<()>);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Open connection to a server.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<PacedBody>,
    pub(crate) allowance: Rc<ReadAllowance>,
    _driver: DriverTask,
}

impl Connection {
    /// Returns a connection that closes when it is dropped. `driver` is the task that drives it.
    pub(crate) fn new(
        sender: SendRequest<PacedBody>,
        allowance: Rc<ReadAllowance>,
        driver: JoinHandle<()>,
    ) -> Self {
        Self {
            sender,
            allowance,
            _driver: DriverTask(driver),
        }
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
    /// Value of the echo header in the last exchange. A late duplicate of its answer could not be told
    /// from the answer to a request with the same value.
    last_echo: Option<String>,
}

/// Idle connections by address, the one that was used last at the end of each list.
pub(crate) struct IdleConnections {
    by_address: RefCell<FastMap<String, Vec<IdleConnection>>>,
    limits: ClientLimits,
}

impl IdleConnections {
    pub(crate) fn new(limits: ClientLimits) -> Self {
        Self {
            by_address: RefCell::default(),
            limits,
        }
    }

    /// Takes a connection that can carry the request, the one that was used last first.
    pub(crate) fn take(&self, outbound: &OutboundRequest<'_>) -> Option<Connection> {
        let now = Instant::now();
        let mut by_address = self.by_address.borrow_mut();
        let list = by_address.get_mut(outbound.address)?;
        let echo = outbound.echo();
        let idle_max_ms = if outbound.idempotent {
            self.limits.idle_max_ms
        } else {
            self.limits.non_idempotent_idle_max_ms
        };
        let idle_since_min = now.checked_sub(Duration::from_millis(idle_max_ms));
        while let Some(idle) = list.pop() {
            if idle.expires_at <= now || !idle.connection.sender.is_ready() {
                continue;
            }
            if echo.is_some() && idle.last_echo.as_deref() == echo {
                continue;
            }
            if idle_since_min.is_some_and(|min| idle.idle_since < min) {
                // The list is sorted by `idle_since`, so all remaining connections have been idle
                // for longer. They stay in the pool, since idempotent requests can still use them.
                list.push(idle);
                return None;
            }
            return Some(idle.connection);
        }
        None
    }

    /// Keeps a connection for further requests, unless its server closes it after `answer`.
    pub(crate) fn put(
        &self,
        outbound: &OutboundRequest<'_>,
        connection: Connection,
        answer: &Answer,
    ) {
        if connection.sender.is_closed() || has_connection_close(&answer.headers) {
            return;
        }
        let now = Instant::now();
        let idle_max = Duration::from_millis(self.limits.idle_max_ms);
        let idle = IdleConnection {
            connection,
            idle_since: now,
            expires_at: now
                + server_keep_alive(&answer.headers).map_or(idle_max, |limit| limit.min(idle_max)),
            last_echo: outbound.echo().map(str::to_owned),
        };
        let address = outbound.address;
        let mut by_address = self.by_address.borrow_mut();
        if !by_address.contains_key(address) {
            by_address.insert(address.to_owned(), Vec::new());
        }
        let list = by_address
            .get_mut(address)
            .expect("the entry was just inserted");
        list.push(idle);
        if list.len() > self.limits.idle_max_count {
            list.remove(0);
        }
    }
}

fn has_connection_close(headers: &Headers) -> bool {
    headers
        .get("connection")
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns for how long an idle connection can be reused, given the `timeout` of the server's
/// `keep-alive` header. The result includes a safety margin.
fn server_keep_alive(headers: &Headers) -> Option<Duration> {
    let value = headers.get("keep-alive")?;
    for part in value.split(',') {
        let Some(seconds) = part.trim().strip_prefix("timeout=") else {
            continue;
        };
        let seconds: u64 = seconds.parse().ok()?;
        return Some(Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_RATIO));
    }
    None
}
