//! Reading of requests by the server.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::deadline_after_ms;
use hyper::body::Bytes;
use ntex::http::h1::{
    Codec,
    PayloadDecoder,
    PayloadItem,
    PayloadType, //
};
use ntex::io::Io;
use ntex::util::Either;
use tokio::sync::watch;
use tokio::time::{
    timeout,
    timeout_at, //
};

use crate::body::{
    BodyBuffer,
    BodyError, //
};
use crate::headers::Headers;
use crate::memory::MemoryBudget;
use crate::message::Request;
use crate::server::ServerLimits;

/// Longest wait for the memory of a request's body.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(400);

/// Result of reading one request.
pub(crate) enum Received {
    Request(Request),
    /// There is no memory for the body of the request, which is left out.
    NoMemory {
        request: Request,
        rest: UnreadBody,
    },
    /// The request must be refused with this status and the connection closed.
    Refused {
        status: u16,
        rest: Option<UnreadBody>,
    },
    /// The connection ended or must be closed without an answer.
    Ended,
}

impl Received {
    fn refused(status: u16) -> Self {
        Received::Refused { status, rest: None }
    }
}

/// Part of a body that was not read.
pub(crate) struct UnreadBody {
    decoder: PayloadDecoder,
    deadline: Instant,
}

impl UnreadBody {
    /// Reads the rest of the body and drops it. A connection that is closed while its client still
    /// sends is reset, and the client may miss the answer.
    pub(crate) async fn discard(self, io: &Io) {
        let discarding =
            async { while let Ok(Some(PayloadItem::Chunk(_))) = io.recv(&self.decoder).await {} };
        if timeout_at(self.deadline.into(), discarding).await.is_err() {
            log::debug!("a refused request did not end in time");
        }
    }
}

/// Reads one request, whose body takes its memory from `memory`. A client that waits for a go-ahead
/// before it sends the body gets it once all earlier requests are answered, as `answered` states.
pub(crate) async fn receive(
    io: &Io,
    codec: &Codec,
    limits: ServerLimits,
    memory: &MemoryBudget,
    answered: &mut watch::Receiver<bool>,
) -> Received {
    let arrived_at = Instant::now();
    let deadline = deadline_after_ms(arrived_at, limits.request_max_ms);
    let receiving = async {
        let (head, payload) = match io.recv(codec).await {
            Ok(Some(item)) => item,
            Ok(None) => return Received::Ended,
            Err(error) => return read_failure(error, "a request"),
        };
        let mut request = build_request(&head, arrived_at);
        if request.method == "CONNECT" {
            return Received::refused(501);
        }
        let decoder = match payload {
            PayloadType::Payload(decoder) => decoder,
            // The decoder leaves the body of a request that offers an upgrade in the connection.
            PayloadType::Stream(_) if has_body(&request.headers) => return Received::refused(400),
            // An offered upgrade is not taken.
            PayloadType::Stream(_) | PayloadType::None => return Received::Request(request),
        };
        let rest = UnreadBody { decoder, deadline };
        let buffer = match reserve_body(&request, limits.body_max_bytes, memory).await {
            Ok(buffer) => buffer,
            Err(error) => return refuse_body(error, request, rest),
        };
        if expects_continue(&request) {
            let all_answered = answered.wait_for(|answered| *answered).await.is_ok();
            if !all_answered || io.encode_slice(b"HTTP/1.1 100 Continue\r\n\r\n").is_err() {
                return Received::Ended;
            }
        }
        match read_body(io, &rest.decoder, buffer).await {
            Ok(body) => request.body = body,
            Err(BodyFailure::Refused(error)) => return refuse_body(error, request, rest),
            Err(BodyFailure::Read(failure)) => return failure,
        }
        Received::Request(request)
    };
    match timeout_at(deadline.into(), receiving).await {
        Ok(received) => received,
        Err(_) => Received::refused(408),
    }
}

fn build_request(head: &ntex::http::Request, arrived_at: Instant) -> Request {
    let mut headers = Headers::default();
    for (name, value) in head.headers().iter() {
        let Ok(value) = value.to_str() else {
            headers.record_dropped(name.as_str());
            continue;
        };
        headers.push(name.as_str(), value);
    }
    let path = match head.uri().path_and_query() {
        Some(path) => path.as_str().to_owned(),
        None => head.path().to_owned(),
    };
    Request {
        method: head.method().as_str().to_owned(),
        path,
        headers,
        body: Bytes::new(),
        arrived_at,
    }
}

fn expects_continue(request: &Request) -> bool {
    request.headers.get("expect").is_some()
}

/// Returns a buffer for the body of the request. If its length is known, this waits for the memory.
async fn reserve_body(
    request: &Request,
    max_len: usize,
    memory: &MemoryBudget,
) -> Result<BodyBuffer, BodyError> {
    let Some(len) = declared_length(&request.headers) else {
        return Ok(BodyBuffer::of_unknown_length(memory, max_len));
    };
    if len > max_len {
        return Err(BodyError::TooLarge);
    }
    let reserving = BodyBuffer::of_length(memory, len);
    match timeout(MEMORY_TIMEOUT, reserving).await {
        Ok(reserved) => reserved,
        Err(_) => Err(BodyError::NoMemory),
    }
}

/// Returns the length of the body that the head declares; `None` if it comes in chunks.
fn declared_length(headers: &Headers) -> Option<usize> {
    if headers.get("transfer-encoding").is_some() {
        return None;
    }
    headers.get("content-length")?.parse().ok()
}

fn has_body(headers: &Headers) -> bool {
    let length = headers.get("content-length").unwrap_or("0");
    headers.get("transfer-encoding").is_some() || length != "0"
}

fn refuse_body(error: BodyError, request: Request, rest: UnreadBody) -> Received {
    match error {
        BodyError::TooLarge => Received::Refused {
            status: 413,
            rest: Some(rest),
        },
        BodyError::NoMemory => Received::NoMemory { request, rest },
    }
}

/// Why a body was not read to its end.
enum BodyFailure {
    Refused(BodyError),
    Read(Received),
}

async fn read_body(
    io: &Io,
    decoder: &PayloadDecoder,
    mut buffer: BodyBuffer,
) -> Result<Bytes, BodyFailure> {
    loop {
        match io.recv(decoder).await {
            Ok(Some(PayloadItem::Chunk(chunk))) => {
                buffer.push(&chunk).map_err(BodyFailure::Refused)?;
            }
            Ok(Some(PayloadItem::Eof)) => return Ok(buffer.into_bytes()),
            Ok(None) => return Err(BodyFailure::Read(Received::Ended)),
            Err(error) => return Err(BodyFailure::Read(read_failure(error, "a body"))),
        }
    }
}

/// Returns what becomes of a request whose bytes can't be decoded or read.
fn read_failure<E: std::fmt::Display>(error: Either<E, std::io::Error>, what: &str) -> Received {
    match error {
        Either::Left(error) => {
            log::info!("request refused why={error}");
            Received::refused(400)
        }
        Either::Right(error) => {
            log::debug!("connection lost while reading {what}: {error}");
            Received::Ended
        }
    }
}
