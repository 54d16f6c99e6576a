//! Small HTTP/1.1 reader and writer over blocking sockets, for the stand-ins.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Largest head that is read.
const HEAD_MAX_BYTES: usize = 256 * 1_024;

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer, 0 if the status line has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: &str, timeout: Duration) -> std::io::Result<Self> {
        let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads more bytes; false at the end of the connection, on an error or at the deadline.
    fn fill(&mut self, deadline: Option<Instant>) -> bool {
        if let Some(deadline) = deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
                return false;
            }
        } else if self.stream.set_read_timeout(None).is_err() {
            return false;
        }
        let mut chunk = [0_u8; 16 * 1_024];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(len) => {
                self.buffer.extend_from_slice(&chunk[..len]);
                true
            }
        }
    }

    fn take_line(&mut self, deadline: Option<Instant>) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.buffer.len() > HEAD_MAX_BYTES || !self.fill(deadline) {
                return None;
            }
        }
    }

    fn take_bytes(&mut self, len: usize, deadline: Option<Instant>) -> Option<Vec<u8>> {
        while self.buffer.len() < len {
            if !self.fill(deadline) {
                return None;
            }
        }
        Some(self.buffer.drain(..len).collect())
    }

    /// Reads one message whose body has a length or comes in chunks; `None` if it is not complete.
    pub fn receive(&mut self, deadline: Option<Instant>) -> Option<Message> {
        let mut message = Message {
            start: self.take_line(deadline)?,
            ..Message::default()
        };
        loop {
            let line = self.take_line(deadline)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        if message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.contains("chunked"))
        {
            loop {
                let size = self.take_line(deadline)?;
                let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
                let chunk = self.take_bytes(size, deadline)?;
                message.body.extend_from_slice(&chunk);
                self.take_line(deadline)?;
                if size == 0 {
                    return Some(message);
                }
            }
        }
        if let Some(len) = message.header("content-length") {
            let len = len.parse().ok()?;
            message.body = self.take_bytes(len, deadline)?;
        }
        Some(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Encodes an answer with the length of its body.
pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a request with the length of its body.
pub fn request(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
