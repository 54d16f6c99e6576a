//! HTTP/1.1 server with one task for each connection. The requests of a connection run one after the
//! other, but for those that may overlap. The answers leave in the order of the requests.

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::deadline_after_ms;
use futures::future::LocalBoxFuture;
use ntex::http::body::BodySize;
use ntex::http::h1::{
    Codec,
    Message, //
};
use ntex::http::header::{
    HeaderName,
    HeaderValue, //
};
use ntex::http::{
    ConnectionType,
    HttpServiceConfig,
    KeepAlive,
    Response,
    StatusCode, //
};
use ntex::io::Io;
use ntex::util::Bytes;
use ntex::SharedCfg;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::watch;
use tokio::time::{
    sleep_until,
    timeout, //
};

use crate::busy::{
    BusyConnections,
    BusyGuard, //
};
use crate::memory::{
    ConnectionMemory,
    MemoryBudget, //
};
use crate::message::{
    Answer,
    Request, //
};
use crate::receive::UnreadBody;
use crate::socket;

/// Delay after a failed accept, during which file descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Size of the parts in which the body of an answer is sent, in bytes. The next part is copied to the
/// connection's buffer when most of the last one has been sent.
const SEND_PART_BYTES: usize = 128 * 1_024;

/// Timeout for sending a part of an answer, or the rest of the last answer of a connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Timeout for closing a connection.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Limits of a server's connections. They can change while the server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Largest request head, in bytes.
    pub head_max_bytes: usize,
    /// Largest request body, in bytes.
    pub body_max_bytes: usize,
    /// Longest time from the first byte of a request to its last, in milliseconds.
    pub request_max_ms: u64,
    /// Idle time after which a connection is closed, in milliseconds.
    pub idle_max_ms: u64,
}

/// Phase of a server's graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Keeps connections open between requests.
    Open,
    /// Closes each connection after its next answer.
    Closing,
    /// Closes idle connections and accepts none.
    Closed,
}

/// Answers the requests that a server receives.
pub trait Handler {
    /// Returns the answer to one request. The future is dropped if the client closes the
    /// connection.
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer>;

    /// Returns whether the request may run at the same time as others of its connection. It must be
    /// safe and idempotent, since the client sends it again if the connection ends before its answer.
    fn may_overlap(&self, _: &Request) -> bool {
        false
    }

    /// Returns the current limits.
    fn limits(&self) -> ServerLimits;

    /// Returns the answer to a request for whose body there is no memory. The request lacks the body.
    fn refuse_for_memory(&self, _: &Request) -> Answer {
        Answer::of_status(503)
    }

    /// Returns the budget from which connections and the bodies of requests take their memory.
    fn memory(&self) -> MemoryBudget {
        MemoryBudget::unlimited()
    }

    /// Returns the longest time for which a client may stop reading while its connection is kept.
    fn stall_timeout(&self) -> Duration {
        socket::USER_TIMEOUT
    }

    /// Returns the count of busy connections that those of this handler belong to, if they are counted.
    fn busy_connections(&self) -> Option<&BusyConnections> {
        None
    }
}

/// Accepts and serves connections until the phase is [`ServerPhase::Closed`].
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    mut phase: watch::Receiver<ServerPhase>,
) {
    let config: SharedCfg = SharedCfg::new("figway")
        .add(
            HttpServiceConfig::new()
                .set_keepalive(KeepAlive::Os)
                .set_max_buf_size(handler.limits().head_max_bytes.max(64 * 1_024)),
        )
        .into();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == ServerPhase::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = Connection {
                    handler: Rc::clone(&handler),
                    phase: phase.clone(),
                    config: config.clone(),
                    _memory: handler.memory().begin_connection(),
                };
                tokio::task::spawn_local(connection.run(stream));
            }
            Err(error) => {
                log::warn!("could not accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

pub(crate) struct Connection {
    pub(crate) handler: Rc<dyn Handler>,
    pub(crate) phase: watch::Receiver<ServerPhase>,
    config: SharedCfg,
    _memory: ConnectionMemory,
}

impl Connection {
    async fn run(mut self, stream: TcpStream) {
        socket::set_socket_options(&stream);
        socket::set_user_timeout(&stream, self.handler.stall_timeout());
        let stream = match stream.into_std() {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("could not register a connection with the runtime: {error}");
                return;
            }
        };
        let io = match ntex::rt::from_tcp_stream(stream, self.config.clone()) {
            Ok(io) => io,
            Err(error) => {
                log::debug!("could not register a connection with the runtime: {error}");
                return;
            }
        };
        self.serve_requests(&io).await;
        // A client that reads slowly may not have received the whole last answer yet.
        if has_unsent_bytes(&io) {
            let _busy = self.begin_busy();
            if timeout(SEND_TIMEOUT, io.flush(true)).await.is_err() {
                log::info!("could not send the last answer of a connection in time");
            }
        }
        if timeout(SHUTDOWN_TIMEOUT, io.shutdown()).await.is_err() {
            log::debug!("could not close a connection in time");
        }
    }

    fn begin_busy(&self) -> Option<BusyGuard> {
        self.handler.busy_connections().map(BusyConnections::begin)
    }

    async fn serve_requests(&mut self, io: &Io) {
        let codec = Codec::new(0, self.config.get());
        while self.wait_for_bytes(io).await {
            let _busy = self.begin_busy();
            if !self.serve_burst(io, &codec).await {
                return;
            }
        }
    }

    /// Waits for the first bytes of a request. Returns false if the connection ended, was idle for
    /// too long or must be closed.
    async fn wait_for_bytes(&mut self, io: &Io) -> bool {
        let idle_since = Instant::now();
        loop {
            if io.with_read_buf(|buf| !buf.is_empty()) {
                return true;
            }
            let idle_max_ms = self.handler.limits().idle_max_ms;
            let idle_until = deadline_after_ms(idle_since, idle_max_ms);
            if idle_until <= Instant::now() {
                return false;
            }
            tokio::select! {
                ready = io.read_ready() => match ready {
                    Ok(Some(())) => {}
                    Ok(None) | Err(_) => return false,
                },
                // The limit may have been raised during the wait, so the loop checks it again.
                () = sleep_until(idle_until.into()) => {}
                _ = self.phase.wait_for(|phase| *phase == ServerPhase::Closed) => {
                    return io.with_read_buf(|buf| !buf.is_empty());
                }
            }
        }
    }
}

/// Answers a request that is not served. The connection is closed afterwards.
pub(crate) async fn refuse(io: &Io, codec: &Codec, answer: Answer, rest: Option<UnreadBody>) {
    if !write_answer(io, codec, answer, true).await {
        return;
    }
    if let Some(rest) = rest {
        rest.discard(io).await;
    }
}

/// Writes an answer, and waits while much of it is unsent. Returns whether this succeeded.
pub(crate) async fn write_answer(io: &Io, codec: &Codec, answer: Answer, close: bool) -> bool {
    let Some(response) = encode_head(&answer, close) else {
        return false;
    };
    let size = BodySize::Sized(answer.body.len() as u64);
    if let Err(error) = io.encode(Message::Item((response, size)), codec) {
        log::debug!("could not write an answer: {error}");
        return false;
    }
    if answer.body.is_empty() {
        return flush_part(io).await;
    }
    for part in answer.body.chunks(SEND_PART_BYTES) {
        let part = Bytes::copy_from_slice(part);
        if let Err(error) = io.encode(Message::Chunk(Some(part)), codec) {
            log::debug!("could not write an answer: {error}");
            return false;
        }
        if !flush_part(io).await {
            return false;
        }
    }
    true
}

/// Waits until most of what was written is sent. Returns whether this succeeded.
async fn flush_part(io: &Io) -> bool {
    match timeout(SEND_TIMEOUT, io.flush(false)).await {
        Ok(flushed) => flushed.is_ok(),
        Err(_) => {
            log::info!("could not send an answer in time");
            false
        }
    }
}

fn encode_head(answer: &Answer, close: bool) -> Option<Response<()>> {
    let status = match StatusCode::from_u16(answer.status) {
        Ok(status) => status,
        Err(error) => {
            log::error!("could not write status {}: {error}", answer.status);
            return None;
        }
    };
    let mut response: Response<()> = Response::with_body(status, ());
    let headers = response.headers_mut();
    for (name, value) in answer.headers.iter() {
        if answer.headers.is_hop_by_hop(name) {
            continue;
        }
        let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_str(value))
        else {
            log::warn!("could not write header {name} of an answer");
            continue;
        };
        headers.append(name, value);
    }
    if close {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    Some(response)
}

/// Returns whether a part of an answer is still to be sent.
fn has_unsent_bytes(io: &Io) -> bool {
    io.with_write_buf(|unsent| !unsent.is_empty())
        .unwrap_or(false)
}

pub(crate) fn answer_closes(answer: &Answer) -> bool {
    answer.headers.get("connection") == Some("close")
}
