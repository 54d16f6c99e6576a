//! Count of the connections that carry a request.

use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::sync::Arc;

/// Number of connections that carry a request: from its first byte until the last byte of its answer
/// is sent.
#[derive(Clone, Debug, Default)]
pub struct BusyConnections(Arc<AtomicUsize>);

impl BusyConnections {
    /// Returns the current number.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a connection as busy until the guard is dropped.
    pub(crate) fn begin(&self) -> BusyGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        BusyGuard(Arc::clone(&self.0))
    }
}

/// Counts a connection as busy until it is dropped.
pub(crate) struct BusyGuard(Arc<AtomicUsize>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
