//! Requests on raw connections, which can be pipelined and hold bytes that no client library sends.

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::site::{
    Site,
    HOST_HEADER, //
};
use tokio::io::{
    AsyncReadExt as _,
    AsyncWriteExt as _, //
};
use tokio::net::TcpStream;

/// Longest wait for an answer.
const ANSWER_MAX: Duration = Duration::from_secs(10);

/// Time that the callers wait for their answers, in milliseconds.
const BUDGET_MS: u64 = 9_000;

/// Returns an id that no other request has.
pub(crate) fn new_id() -> String {
    format!("{:016x}", figway_types::entropy())
}

/// Returns a request with the given start, id and further lines, each of which ends with CRLF.
pub(crate) fn request(start: &str, id: &str, lines: &[u8]) -> Vec<u8> {
    request_within(BUDGET_MS, start, id, lines)
}

/// Returns a request as [`request`] does, whose caller waits for `budget_ms`.
pub(crate) fn request_within(budget_ms: u64, start: &str, id: &str, lines: &[u8]) -> Vec<u8> {
    let head = format!(
        "{start} HTTP/1.1\r\nhost: {HOST_HEADER}\r\nx-figway-attempt-id: {id}\r\n\
         x-figway-deadline-ms: {budget_ms}\r\n"
    );
    [head.as_bytes(), lines, b"\r\n"].concat()
}

/// Returns the header line with an API key.
pub(crate) fn key_line(key: &str) -> Vec<u8> {
    format!("authorization: Token {key}\r\n").into_bytes()
}

/// Connection of a caller.
pub(crate) struct RawConnection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl RawConnection {
    pub(crate) async fn open(site: &Site, index: usize) -> Self {
        let address = &site.hosts[index].caller_address;
        Self {
            stream: TcpStream::connect(address).await.unwrap(),
            received: Vec::new(),
        }
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }

    /// Reads one answer with a `content-length`. Returns its status, or 0 if none comes.
    pub(crate) async fn read_status(&mut self) -> u16 {
        let deadline = Instant::now() + ANSWER_MAX;
        loop {
            if let Some((status, len)) = whole_answer(&self.received) {
                self.received.drain(..len);
                return status;
            }
            let mut buffer = [0; 16 * 1_024];
            let reading = self.stream.read(&mut buffer);
            let Ok(Ok(count)) = tokio::time::timeout_at(deadline.into(), reading).await else {
                return 0;
            };
            if count == 0 {
                return 0;
            }
            self.received.extend_from_slice(&buffer[..count]);
        }
    }
}

/// Returns status and size of the answer that the bytes begin with, if they hold all of it.
fn whole_answer(bytes: &[u8]) -> Option<(u16, usize)> {
    let head_len = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_len]).to_ascii_lowercase();
    let mut body_len = 0;
    for line in head.lines() {
        if let Some(len) = line.strip_prefix("content-length:") {
            body_len = len.trim().parse().ok()?;
        }
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    (bytes.len() >= head_len + body_len).then_some((status, head_len + body_len))
}

/// Sends a request without a key whose caller waits for `budget_ms`, as back ends do while they run a
/// request. Returns the status of its answer.
pub(crate) async fn ask_keyless(
    site: &Site,
    index: usize,
    start: &str,
    id: &str,
    budget_ms: u64,
) -> u16 {
    let mut connection = RawConnection::open(site, index).await;
    let bytes = request_within(budget_ms, start, id, b"");
    connection.write(&bytes).await;
    connection.read_status().await
}

/// Sends one request on a connection of its own and returns the status of its answer.
pub(crate) async fn ask(site: &Site, index: usize, start: &str, id: &str, lines: &[u8]) -> u16 {
    let mut connection = RawConnection::open(site, index).await;
    connection.write(&request(start, id, lines)).await;
    connection.read_status().await
}
