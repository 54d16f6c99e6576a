//! Connection to a server that bounds what is read of one answer, and of all answers before other
//! tasks get their turn.
//!
//! The parser bounds what it keeps of an answer, not what it reads: interim answers, chunk sizes and
//! the like may follow each other without end.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{
    Context,
    Poll, //
};

use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};
use tokio::net::TcpStream;

/// Largest number of bytes up to the end of an answer's head, interim answers included.
const HEAD_MAX_BYTES: u64 = 64 * 1_024;

/// Largest number of bytes around a body, beyond those that its framing may take.
const BODY_SLACK_BYTES: u64 = 64 * 1_024;

/// Largest number of bytes read for each byte of a body of unknown length. A chunk of one byte takes
/// six.
const FRAMING_FACTOR: u64 = 8;

/// Number of bytes after which other tasks get their turn.
const TURN_BYTES: u64 = 64 * 1_024;

/// Bytes read from a connection, and how many may be read.
#[derive(Debug, Default)]
pub(crate) struct ReadAllowance {
    read_bytes: Cell<u64>,
    max_bytes: Cell<u64>,
}

impl ReadAllowance {
    /// Allows the head of the next answer.
    pub(crate) fn begin_head(&self) {
        self.max_bytes.set(self.read_bytes.get() + HEAD_MAX_BYTES);
    }

    /// Allows a body of `len` bytes, or the beginning of one of unknown length.
    pub(crate) fn begin_body(&self, len: Option<u64>) {
        let body_bytes = len.unwrap_or(0).saturating_add(BODY_SLACK_BYTES);
        let max_bytes = self.read_bytes.get().saturating_add(body_bytes);
        self.max_bytes.set(max_bytes);
    }

    /// Allows more of a body of unknown length, after `len` bytes of it.
    pub(crate) fn extend_body(&self, len: usize) {
        let more_bytes = (len as u64).saturating_mul(FRAMING_FACTOR);
        self.max_bytes
            .set(self.max_bytes.get().saturating_add(more_bytes));
    }

    fn is_used_up(&self) -> bool {
        self.read_bytes.get() > self.max_bytes.get()
    }
}

/// Stream of a connection to a server.
pub(crate) struct AnswerStream {
    stream: TcpStream,
    allowance: Rc<ReadAllowance>,
    /// Number of bytes read since other tasks had their turn.
    turn_bytes: u64,
}

impl AnswerStream {
    pub(crate) fn new(stream: TcpStream, allowance: Rc<ReadAllowance>) -> Self {
        Self {
            stream,
            allowance,
            turn_bytes: 0,
        }
    }
}

impl AsyncRead for AnswerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.allowance.is_used_up() {
            let why = "the server sends bytes that are no answer";
            return Poll::Ready(Err(std::io::Error::other(why)));
        }
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read_bytes = (buf.filled().len() - before) as u64;
        let total_bytes = &self.allowance.read_bytes;
        total_bytes.set(total_bytes.get() + read_bytes);
        self.turn_bytes = match &polled {
            Poll::Pending => 0,
            Poll::Ready(_) => self.turn_bytes + read_bytes,
        };
        polled
    }
}

impl AsyncWrite for AnswerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
