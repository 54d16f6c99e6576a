//! Counters of control bytes, within a region and between regions, taken at the socket.

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

/// Counters of control bytes, sent and received. Bytes of incoming connections count as bytes
/// within the region, since the peer's region is not known when the connection is accepted.
#[derive(Clone, Debug, Default)]
pub struct ControlMeter {
    /// Bytes within the region.
    region_bytes: Arc<AtomicU64>,
    /// Bytes between regions.
    cross_region_bytes: Arc<AtomicU64>,
}

impl ControlMeter {
    /// Returns the number of bytes within the region, and of all incoming connections.
    pub fn region_bytes(&self) -> u64 {
        self.region_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes on connections that this node opened to other regions.
    pub fn cross_region_bytes(&self) -> u64 {
        self.cross_region_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn counter(&self, cross_region: bool) -> Arc<AtomicU64> {
        if cross_region {
            Arc::clone(&self.cross_region_bytes)
        } else {
            Arc::clone(&self.region_bytes)
        }
    }
}

/// A TCP stream that counts its bytes.
pub(crate) struct MeteredStream {
    stream: TcpStream,
    counter: Arc<AtomicU64>,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, counter: Arc<AtomicU64>) -> Self {
        Self { stream, counter }
    }

    fn count(&self, byte_count: usize) {
        self.counter.fetch_add(byte_count as u64, Ordering::Relaxed);
    }
}

impl AsyncRead for MeteredStream {
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

impl AsyncWrite for MeteredStream {
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
