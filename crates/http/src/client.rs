//! Pooled HTTP/1.1 client: one exchange at a time on each connection.

use std::cell::RefCell;
use std::net::IpAddr;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::FastMap;
use futures::future::LocalBoxFuture;
use http_body_util::{
    BodyExt as _,
    Full,
    Limited, //
};
use hyper::body::{
    Bytes,
    Incoming, //
};
use hyper::client::conn::http1::{
    self,
    SendRequest, //
};
use hyper::header::{
    HeaderName,
    HeaderValue,
    HOST, //
};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use crate::message::{
    Answer,
    Headers,
    OutboundRequest,
    SendFailure,
    Transport, //
};
use crate::socket;

/// Part of a server's own keep-alive time after which a connection is no longer reused.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// Settings of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Idle connections that are kept to each address.
    pub idle_max_count: usize,
    /// Idle time after which a connection is not used again, in milliseconds.
    pub idle_max_ms: u64,
    /// The same for requests that must not run twice.
    pub non_idempotent_idle_max_ms: u64,
    /// Longest wait for a connection, in milliseconds.
    pub connect_max_ms: u64,
    /// Largest answer body.
    pub body_max_bytes: usize,
    /// Address from which connections leave.
    pub local_ip: Option<IpAddr>,
}

/// Ends the task that drives a connection, and with it the connection.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Driver,
}

struct Idle {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// Client of many servers.
pub struct HttpClient {
    idle: RefCell<FastMap<String, Vec<Idle>>>,
    limits: ClientLimits,
}

impl HttpClient {
    /// Starts without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            idle: RefCell::default(),
            limits,
        }
    }

    fn reuse(&self, address: &str, idempotent: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut pool = self.idle.borrow_mut();
        let list = pool.get_mut(address)?;
        let idle_max_ms = if idempotent {
            self.limits.idle_max_ms
        } else {
            self.limits.non_idempotent_idle_max_ms
        };
        let oldest = now.checked_sub(Duration::from_millis(idle_max_ms));
        while let Some(idle) = list.pop() {
            if idle.expires_at <= now || !idle.connection.sender.is_ready() {
                continue;
            }
            if oldest.is_some_and(|oldest| idle.idle_since < oldest) {
                // The list is in the order of return: the others have been idle for longer, but
                // are still of use to idempotent requests.
                list.push(idle);
                return None;
            }
            return Some(idle.connection);
        }
        None
    }

    fn give_back(&self, address: &str, connection: Connection, answer: &Answer) {
        if connection.sender.is_closed() || closes(&answer.headers) {
            return;
        }
        let now = Instant::now();
        let idle_max = Duration::from_millis(self.limits.idle_max_ms);
        let idle = Idle {
            connection,
            idle_since: now,
            expires_at: now
                + server_keep_alive(&answer.headers).map_or(idle_max, |told| told.min(idle_max)),
        };
        let mut pool = self.idle.borrow_mut();
        if !pool.contains_key(address) {
            pool.insert(address.to_owned(), Vec::new());
        }
        let list = pool.get_mut(address).expect("the entry was just made");
        list.push(idle);
        if list.len() > self.limits.idle_max_count {
            list.remove(0);
        }
    }

    async fn open(&self, address: &str) -> Result<Connection, SendFailure> {
        let connect_max = Duration::from_millis(self.limits.connect_max_ms);
        let connecting = socket::connect(address, self.limits.local_ip);
        let stream = tokio::time::timeout(connect_max, connecting)
            .await
            .map_err(|_| SendFailure::Refused("could not connect in time".to_owned()))?
            .map_err(|error| SendFailure::Refused(format!("could not connect: {error}")))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendFailure::Refused(error.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            _driver: Driver(driver),
        })
    }

    async fn exchange(&self, outbound: &OutboundRequest<'_>) -> Result<Answer, SendFailure> {
        let mut request = build(outbound)?;
        while let Some(mut connection) = self.reuse(outbound.address, outbound.idempotent) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.finish(outbound, connection, response).await,
                Err(mut error) => match error.take_message() {
                    // The connection closed before the request was written; another one may do.
                    Some(unsent) => request = unsent,
                    None => return Err(SendFailure::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut connection = self.open(outbound.address).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.finish(outbound, connection, response).await,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let why = error.into_error().to_string();
                if unsent {
                    return Err(SendFailure::Refused(why));
                }
                Err(SendFailure::Broken(why))
            }
        }
    }

    async fn finish(
        &self,
        outbound: &OutboundRequest<'_>,
        connection: Connection,
        response: hyper::Response<Incoming>,
    ) -> Result<Answer, SendFailure> {
        let (head, body) = response.into_parts();
        let mut headers = Headers::default();
        for (name, value) in &head.headers {
            let Ok(value) = value.to_str() else {
                continue;
            };
            headers.push(name.as_str(), value);
        }
        if let Some(echo_header) = outbound.echo_header {
            if headers.get(echo_header) != outbound.headers.get(echo_header) {
                return Err(SendFailure::Broken(
                    "the answer belongs to another request".to_owned(),
                ));
            }
        }
        let limited = Limited::new(body, self.limits.body_max_bytes);
        let body = limited.collect().await.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                return SendFailure::TooLarge;
            }
            SendFailure::Broken(format!("the answer broke off: {error}"))
        })?;
        let answer = Answer {
            status: head.status.as_u16(),
            headers,
            body: ntex::util::Bytes::copy_from_slice(&body.to_bytes()),
        };
        self.give_back(outbound.address, connection, &answer);
        Ok(Answer {
            headers: answer.headers.end_to_end(),
            ..answer
        })
    }
}

impl Transport for HttpClient {
    fn send<'a>(
        &'a self,
        outbound: &'a OutboundRequest<'a>,
    ) -> LocalBoxFuture<'a, Result<Answer, SendFailure>> {
        Box::pin(async move {
            let exchange = self.exchange(outbound);
            match tokio::time::timeout_at(outbound.deadline.into(), exchange).await {
                Ok(result) => result,
                Err(_) => Err(SendFailure::Late),
            }
        })
    }

    fn can_connect<'a>(&'a self, address: &'a str) -> LocalBoxFuture<'a, bool> {
        Box::pin(async move { self.open(address).await.is_ok() })
    }
}

fn build(outbound: &OutboundRequest<'_>) -> Result<hyper::Request<Full<Bytes>>, SendFailure> {
    let body = Full::new(Bytes::copy_from_slice(outbound.body));
    let mut request = hyper::Request::builder()
        .method(outbound.method)
        .uri(outbound.path)
        .body(body)
        .map_err(|error| SendFailure::Refused(error.to_string()))?;
    let headers = request.headers_mut();
    for (name, value) in outbound.headers.iter() {
        let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value))
        else {
            return Err(SendFailure::Refused(format!("header {name} can't be sent")));
        };
        headers.append(name, value);
    }
    if !headers.contains_key(HOST) {
        let host = HeaderValue::try_from(outbound.address)
            .map_err(|error| SendFailure::Refused(error.to_string()))?;
        headers.insert(HOST, host);
    }
    Ok(request)
}

fn closes(headers: &Headers) -> bool {
    headers
        .get("connection")
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns for how long the server says that it keeps an idle connection, less a margin.
fn server_keep_alive(headers: &Headers) -> Option<Duration> {
    let told = headers.get("keep-alive")?;
    for part in told.split(',') {
        let Some(seconds) = part.trim().strip_prefix("timeout=") else {
            continue;
        };
        let seconds: u64 = seconds.parse().ok()?;
        return Some(Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_SHARE));
    }
    None
}
