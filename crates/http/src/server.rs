//! HTTP/1.1 server with one task for each connection. The requests of a connection run one after
//! the other.

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
    Message,
    PayloadDecoder,
    PayloadItem,
    PayloadType, //
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
use ntex::util::{
    Bytes,
    BytesMut,
    Either, //
};
use ntex::SharedCfg;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::watch;
use tokio::time::{
    sleep_until,
    timeout,
    timeout_at, //
};

use crate::busy::{
    BusyConnections,
    BusyGuard, //
};
use crate::message::{
    Answer,
    Headers,
    Request, //
};
use crate::socket;

/// Delay after a failed accept, during which file descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for sending the rest of the last answer of a connection.
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

    /// Returns the current limits.
    fn limits(&self) -> ServerLimits;

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

/// Result of reading one request.
enum ReadOutcome {
    Request(Request),
    /// The request must be refused with this status and the connection closed.
    Refused(u16),
    /// The connection ended or must be closed without an answer.
    Ended,
}

struct Connection {
    handler: Rc<dyn Handler>,
    phase: watch::Receiver<ServerPhase>,
    config: SharedCfg,
}

impl Connection {
    async fn run(mut self, stream: TcpStream) {
        socket::set_socket_options(&stream);
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
        loop {
            if !self.wait_for_bytes(io).await {
                return;
            }
            let _busy = self.begin_busy();
            let request = match self.read_request(io, &codec).await {
                ReadOutcome::Request(request) => request,
                ReadOutcome::Refused(status) => {
                    write_answer(io, &codec, Answer::of_status(status), true);
                    return;
                }
                ReadOutcome::Ended => return,
            };
            let wants_close = !codec.keepalive();
            let answer = tokio::select! {
                answer = self.handler.handle(request) => answer,
                () = io.on_disconnect() => return,
            };
            let closing = *self.phase.borrow() != ServerPhase::Open;
            let close = wants_close || closing || answer_closes(&answer);
            if !write_answer(io, &codec, answer, close) || close {
                return;
            }
            if io.flush(false).await.is_err() {
                return;
            }
        }
    }

    async fn read_request(&mut self, io: &Io, codec: &Codec) -> ReadOutcome {
        let arrived_at = Instant::now();
        let limits = self.handler.limits();
        let deadline = deadline_after_ms(arrived_at, limits.request_max_ms);
        let read = async {
            let (head, payload) = match io.recv(codec).await {
                Ok(Some(item)) => item,
                Ok(None) => return ReadOutcome::Ended,
                Err(Either::Left(error)) => {
                    log::info!("request refused why={error}");
                    return ReadOutcome::Refused(400);
                }
                Err(Either::Right(error)) => {
                    log::debug!("connection lost while reading a request: {error}");
                    return ReadOutcome::Ended;
                }
            };
            let expects_continue =
                head.headers().contains_key("expect") && matches!(payload, PayloadType::Payload(_));
            if expects_continue && io.encode_slice(b"HTTP/1.1 100 Continue\r\n\r\n").is_err() {
                return ReadOutcome::Ended;
            }
            let body = match payload {
                PayloadType::None => Bytes::new(),
                PayloadType::Payload(decoder) | PayloadType::Stream(decoder) => {
                    match read_body(io, &decoder, limits.body_max_bytes).await {
                        Ok(body) => body,
                        Err(ended) => return ended,
                    }
                }
            };
            let mut headers = Headers::default();
            for (name, value) in head.headers().iter() {
                let Ok(value) = value.to_str() else {
                    continue;
                };
                headers.push(name.as_str(), value);
            }
            let path = match head.uri().path_and_query() {
                Some(path) => path.as_str().to_owned(),
                None => head.path().to_owned(),
            };
            ReadOutcome::Request(Request {
                method: head.method().as_str().to_owned(),
                path,
                headers,
                body,
                arrived_at,
            })
        };
        match timeout_at(deadline.into(), read).await {
            Ok(read) => read,
            Err(_) => ReadOutcome::Refused(408),
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

async fn read_body(
    io: &Io,
    decoder: &PayloadDecoder,
    max_bytes: usize,
) -> Result<Bytes, ReadOutcome> {
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    loop {
        let chunk = match io.recv(decoder).await {
            Ok(Some(PayloadItem::Chunk(chunk))) => chunk,
            Ok(Some(PayloadItem::Eof)) => break,
            Ok(None) => return Err(ReadOutcome::Ended),
            Err(Either::Left(error)) => {
                log::info!("request refused why={error}");
                return Err(ReadOutcome::Refused(400));
            }
            Err(Either::Right(error)) => {
                log::debug!("connection lost while reading a body: {error}");
                return Err(ReadOutcome::Ended);
            }
        };
        let length = first.as_ref().map_or(0, Bytes::len) + rest.len() + chunk.len();
        if length > max_bytes {
            return Err(ReadOutcome::Refused(413));
        }
        match &first {
            None => first = Some(chunk),
            Some(_) => rest.extend_from_slice(&chunk),
        }
    }
    let Some(first) = first else {
        return Ok(Bytes::new());
    };
    if rest.is_empty() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&rest);
    Ok(whole.freeze())
}

/// Writes an answer to the connection's buffer. Returns whether this succeeded.
fn write_answer(io: &Io, codec: &Codec, answer: Answer, close: bool) -> bool {
    let status = match StatusCode::from_u16(answer.status) {
        Ok(status) => status,
        Err(error) => {
            log::error!("could not write status {}: {error}", answer.status);
            return false;
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
    let size = BodySize::Sized(answer.body.len() as u64);
    if let Err(error) = io.encode(Message::Item((response, size)), codec) {
        log::debug!("could not write an answer: {error}");
        return false;
    }
    if answer.body.is_empty() {
        return true;
    }
    match io.encode(Message::Chunk(Some(answer.body)), codec) {
        Ok(()) => true,
        Err(error) => {
            log::debug!("could not write an answer: {error}");
            false
        }
    }
}

/// Returns whether a part of an answer is still to be sent.
fn has_unsent_bytes(io: &Io) -> bool {
    io.with_write_buf(|unsent| !unsent.is_empty())
        .unwrap_or(false)
}

fn answer_closes(answer: &Answer) -> bool {
    answer.headers.get("connection") == Some("close")
}
