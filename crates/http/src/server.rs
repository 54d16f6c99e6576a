//! HTTP/1.1 server: one task for each connection, requests of a connection one after the other.

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

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
    timeout_at, //
};

use crate::message::{
    Answer,
    Headers,
    Request, //
};
use crate::socket;

/// Pause after a failed accept, for descriptors to come free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time in which a closed connection may still take its last answer.
const FAREWELL_MAX: Duration = Duration::from_millis(1_000);

/// Limits of the connections of callers; they may change while the server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Largest request head.
    pub head_max_bytes: usize,
    /// Largest request body.
    pub body_max_bytes: usize,
    /// Time for a request to be complete once it began, in milliseconds.
    pub request_max_ms: u64,
    /// Idle time after which a connection is closed, in milliseconds.
    pub idle_max_ms: u64,
}

/// What a server does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Keeps connections between requests.
    Open,
    /// Closes each connection with its next answer.
    Closing,
    /// Closes idle connections and accepts none.
    Closed,
}

/// Answers the requests of a server's connections.
pub trait Handler {
    /// Answers one request. The future is dropped when the client closes the connection.
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer>;

    /// Returns the limits in force.
    fn limits(&self) -> ServerLimits;
}

/// Accepts connections until the phase is [`ServerPhase::Closed`].
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// How the wait for a request ended.
enum Read {
    Request(Request),
    /// The request is refused with this status and the connection closed.
    Refused(u16),
    /// The connection ended, or is to be closed.
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
                log::debug!("could not take a connection over: {error}");
                return;
            }
        };
        let io = match ntex::rt::from_tcp_stream(stream, self.config.clone()) {
            Ok(io) => io,
            Err(error) => {
                log::debug!("could not take a connection over: {error}");
                return;
            }
        };
        self.serve_requests(&io).await;
        // The last answer may still be on its way to a client that is slow to read.
        if tokio::time::timeout(FAREWELL_MAX, io.shutdown())
            .await
            .is_err()
        {
            log::debug!("a client did not take its last answer in time");
        }
    }

    async fn serve_requests(&mut self, io: &Io) {
        let codec = Codec::new(0, self.config.get());
        loop {
            let request = match self.read_request(io, &codec).await {
                Read::Request(request) => request,
                Read::Refused(status) => {
                    write_answer(io, &codec, Answer::of_status(status), true);
                    return;
                }
                Read::Ended => return,
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

    async fn read_request(&mut self, io: &Io, codec: &Codec) -> Read {
        if !self.wait_for_bytes(io).await {
            return Read::Ended;
        }
        let arrived_at = Instant::now();
        let limits = self.handler.limits();
        let deadline = arrived_at + Duration::from_millis(limits.request_max_ms);
        let read = async {
            let (head, payload) = match io.recv(codec).await {
                Ok(Some(item)) => item,
                Ok(None) => return Read::Ended,
                Err(Either::Left(error)) => {
                    log::info!("request refused why={error}");
                    return Read::Refused(400);
                }
                Err(Either::Right(error)) => {
                    log::debug!("connection lost while a request came in: {error}");
                    return Read::Ended;
                }
            };
            let waits =
                head.headers().contains_key("expect") && matches!(payload, PayloadType::Payload(_));
            if waits && io.encode_slice(b"HTTP/1.1 100 Continue\r\n\r\n").is_err() {
                return Read::Ended;
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
            Read::Request(Request {
                method: head.method().as_str().to_owned(),
                path,
                headers,
                body,
                arrived_at,
            })
        };
        match timeout_at(deadline.into(), read).await {
            Ok(read) => read,
            Err(_) => Read::Refused(408),
        }
    }

    /// Waits for the first bytes of a request; returns whether they are there.
    async fn wait_for_bytes(&mut self, io: &Io) -> bool {
        let idle_since = Instant::now();
        loop {
            if io.with_read_buf(|buf| !buf.is_empty()) {
                return true;
            }
            let idle_max = Duration::from_millis(self.handler.limits().idle_max_ms);
            let idle_until = idle_since + idle_max;
            if idle_until <= Instant::now() {
                return false;
            }
            tokio::select! {
                ready = io.read_ready() => match ready {
                    Ok(Some(())) => {}
                    Ok(None) | Err(_) => return false,
                },
                // The limit may have been raised meanwhile.
                () = sleep_until(idle_until.into()) => {}
                _ = self.phase.wait_for(|phase| *phase == ServerPhase::Closed) => {
                    return io.with_read_buf(|buf| !buf.is_empty());
                }
            }
        }
    }
}

async fn read_body(io: &Io, decoder: &PayloadDecoder, max_bytes: usize) -> Result<Bytes, Read> {
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    loop {
        let chunk = match io.recv(decoder).await {
            Ok(Some(PayloadItem::Chunk(chunk))) => chunk,
            Ok(Some(PayloadItem::Eof)) => break,
            Ok(None) => return Err(Read::Ended),
            Err(Either::Left(error)) => {
                log::info!("request refused why={error}");
                return Err(Read::Refused(400));
            }
            Err(Either::Right(error)) => {
                log::debug!("connection lost while a body came in: {error}");
                return Err(Read::Ended);
            }
        };
        let length = first.as_ref().map_or(0, Bytes::len) + rest.len() + chunk.len();
        if length > max_bytes {
            return Err(Read::Refused(413));
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

/// Writes an answer; returns whether the connection took it.
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

fn answer_closes(answer: &Answer) -> bool {
    answer.headers.get("connection") == Some("close")
}
