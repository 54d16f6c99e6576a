//! Count of control bytes by distance, taken where the bytes cross the socket.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::Arc;
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

/// Bytes of control messages, sent and received.
#[derive(Clone, Debug, Default)]
pub struct ControlMeter {
    /// Within the region.
    region_bytes: Arc<AtomicU64>,
    /// Between regions.
    cross_region_bytes: Arc<AtomicU64>,
}

impl ControlMeter {
    /// Returns the bytes within the region.
    pub fn region_bytes(&self) -> u64 {
        self.region_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes between regions.
    pub fn cross_region_bytes(&self) -> u64 {
        self.cross_region_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn counter(&self, far: bool) -> Arc<AtomicU64> {
        if far {
            Arc::clone(&self.cross_region_bytes)
        } else {
            Arc::clone(&self.region_bytes)
        }
    }
}

/// A TCP stream whose bytes are counted.
pub(crate) struct Metered {
    stream: TcpStream,
    counter: Arc<AtomicU64>,
}

impl Metered {
    pub(crate) fn new(stream: TcpStream, counter: Arc<AtomicU64>) -> Self {
        Self { stream, counter }
    }

    fn count(&self, byte_count: usize) {
        self.counter.fetch_add(byte_count as u64, Ordering::Relaxed);
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.count(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(byte_count)) = &polled {
            self.count(*byte_count);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
