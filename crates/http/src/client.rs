//! Pooled HTTP/1.1 client. Each connection carries one request at a time, without pipelining.

use std::cell::RefCell;
use std::error::Error as _;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use http_body_util::BodyExt as _;
use hyper::body::{
    Body as _,
    Bytes,
    Incoming, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

use crate::answer_stream::{
    AnswerStream,
    ReadAllowance, //
};
use crate::body::{
    BodyBuffer,
    BodyError, //
};
use crate::header_names::HeaderNames;
use crate::headers::Headers;
use crate::idle_connections::{
    Connection,
    IdleConnections, //
};
use crate::memory::MemoryBudget;
use crate::message::{
    Answer,
    OutboundRequest,
    Reachability,
    SendFailure,
    Transport, //
};
use crate::outbound::build_request;
use crate::socket;

/// Time for which a connection must stay open before its server counts as accepting. The listener of
/// a process that is ending may still accept connections.
const ACCEPT_SETTLE: Duration = Duration::from_millis(50);

/// Statuses of final answers. The library takes others of three digits too, among them 101, after which
/// the connection carries no HTTP. No request here offers that.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Largest number of idle connections that are kept for each address.
    pub idle_max_count: usize,
    /// Idle time after which a connection is not reused, in milliseconds.
    pub idle_max_ms: u64,
    /// Idle time after which a connection is not reused for a request that must not run twice, in
    /// milliseconds.
    pub non_idempotent_idle_max_ms: u64,
    /// Connect timeout, in milliseconds.
    pub connect_max_ms: u64,
    /// Largest answer body, in bytes.
    pub body_max_bytes: usize,
    /// Local address that connections are bound to; the system chooses it if absent.
    pub local_ip: Option<IpAddr>,
}

/// HTTP client with a pool of idle connections for each address.
pub struct HttpClient {
    idle: IdleConnections,
    names: RefCell<HeaderNames>,
    limits: ClientLimits,
    memory: MemoryBudget,
}

impl HttpClient {
    /// Returns a client with an empty pool and no limit for the memory of all answers together.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            idle: IdleConnections::new(limits),
            names: RefCell::default(),
            limits,
            memory: MemoryBudget::unlimited(),
        }
    }

    /// Sets the budget from which answers take their memory.
    pub fn with_memory(mut self, memory: &MemoryBudget) -> Self {
        self.memory = memory.clone();
        self
    }

    /// Connects within the limit; `None` if that takes longer.
    async fn connect_in_time(&self, address: &str) -> Option<std::io::Result<TcpStream>> {
        let connect_max = Duration::from_millis(self.limits.connect_max_ms);
        let connecting = socket::connect(address, self.limits.local_ip);
        tokio::time::timeout(connect_max, connecting).await.ok()
    }

    async fn connect(&self, address: &str) -> Result<TcpStream, SendFailure> {
        match self.connect_in_time(address).await {
            Some(Ok(stream)) => Ok(stream),
            Some(Err(error)) => Err(SendFailure::Refused(format!("could not connect: {error}"))),
            None => Err(SendFailure::Refused("could not connect in time".to_owned())),
        }
    }

    async fn open(&self, address: &str) -> Result<Connection, SendFailure> {
        let stream = self.connect(address).await?;
        let allowance = Rc::new(ReadAllowance::default());
        let stream = AnswerStream::new(stream, Rc::clone(&allowance));
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendFailure::Refused(error.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
        });
        Ok(Connection::new(sender, allowance, driver))
    }

    async fn exchange(&self, outbound: &OutboundRequest<'_>) -> Result<Answer, SendFailure> {
        let mut request = build_request(outbound, &mut self.names.borrow_mut())?;
        while let Some(mut connection) = self.idle.take(outbound) {
            connection.allowance.begin_head();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.read_answer(outbound, connection, response).await,
                Err(mut error) => match error.take_message() {
                    // The connection closed before the request was written, so it can be sent on
                    // another connection.
                    Some(unsent) => request = unsent,
                    None => return Err(SendFailure::Broken(reason_of(&error.into_error()))),
                },
            }
        }
        let mut connection = self.open(outbound.address).await?;
        connection.allowance.begin_head();
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.read_answer(outbound, connection, response).await,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let why = reason_of(&error.into_error());
                if unsent {
                    return Err(SendFailure::Refused(why));
                }
                Err(SendFailure::Broken(why))
            }
        }
    }

    async fn read_answer(
        &self,
        outbound: &OutboundRequest<'_>,
        connection: Connection,
        response: hyper::Response<Incoming>,
    ) -> Result<Answer, SendFailure> {
        let (head, body) = response.into_parts();
        let status = head.status.as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(SendFailure::Broken(format!(
                "an answer can't have status {status}"
            )));
        }
        let mut headers = Headers::default();
        for (name, value) in &head.headers {
            let Ok(value) = value.to_str() else {
                continue;
            };
            headers.push(name.as_str(), value);
        }
        if let Some(echo_header) = outbound.echo_header {
            if headers.get(echo_header) != outbound.echo() {
                return Err(SendFailure::Broken(
                    "the answer belongs to another request".to_owned(),
                ));
            }
        }
        let body = self.read_body(body, &connection.allowance).await?;
        let mut answer = Answer {
            status,
            headers,
            body,
        };
        self.idle.put(outbound, connection, &answer);
        answer.headers.retain_end_to_end();
        Ok(answer)
    }

    async fn read_body(
        &self,
        mut body: Incoming,
        allowance: &ReadAllowance,
    ) -> Result<Bytes, SendFailure> {
        let mut buffer = self.body_buffer(&body).await?;
        let known_len = body.size_hint().exact();
        allowance.begin_body(known_len);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                let why = reason_of(&error);
                SendFailure::Broken(format!("the answer broke off: {why}"))
            })?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            buffer.push(data).map_err(too_large)?;
            if known_len.is_none() {
                allowance.extend_body(data.len());
            }
        }
        Ok(buffer.into_bytes())
    }

    /// Returns a buffer for the body. If its length is known, this waits for the memory.
    async fn body_buffer(&self, body: &Incoming) -> Result<BodyBuffer, SendFailure> {
        let max_len = self.limits.body_max_bytes;
        let buffer = match body.size_hint().exact() {
            None => Ok(BodyBuffer::of_unknown_length(&self.memory, max_len)),
            Some(len) if len > max_len as u64 => Err(BodyError::TooLarge),
            Some(len) => BodyBuffer::of_length(&self.memory, len as usize).await,
        };
        buffer.map_err(too_large)
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

    fn probe<'a>(&'a self, address: &'a str) -> LocalBoxFuture<'a, Reachability> {
        Box::pin(async move {
            let mut stream = match self.connect_in_time(address).await {
                Some(Ok(stream)) => stream,
                failed => return reachability(&failed),
            };
            let mut buffer = [0_u8; 1];
            let closed = tokio::time::timeout(ACCEPT_SETTLE, stream.read(&mut buffer)).await;
            match closed {
                Err(_) | Ok(Ok(1..)) => Reachability::Accepts,
                // A server that has too many connections closes this one, but accepts the next.
                Ok(Ok(0) | Err(_)) => reachability(&self.connect_in_time(address).await),
            }
        })
    }
}

fn reachability(connected: &Option<std::io::Result<TcpStream>>) -> Reachability {
    match connected {
        Some(Ok(_)) => Reachability::Accepts,
        Some(Err(error)) if is_refusal(error) => Reachability::Refuses,
        Some(Err(_)) | None => Reachability::Silent,
    }
}

/// Returns whether the error came from the server's host, not from this one.
fn is_refusal(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}

/// Returns the text of an error and of its cause, which the library's own text leaves out.
fn reason_of(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// An answer for which there is no memory counts as too large.
fn too_large(_: BodyError) -> SendFailure {
    SendFailure::TooLarge
}
