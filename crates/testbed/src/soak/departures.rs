//! Back ends that leave while heartbeats from before arrive late.

use std::time::{
    Duration,
    Instant, //
};

use crate::process::Signal;
use crate::site::backend::Backend;

use super::{
    Soak,
    DRAIN_MAX, //
};

/// Number of heartbeats that arrive late.
const LATE_COUNT: u64 = 6;

impl Soak {
    /// Deregisters the back end on the host at `index`, kills its node at once if `kills_node`, and
    /// sends heartbeats from before until after the time in which the back end may get requests. Then
    /// the back end starts again.
    pub(super) async fn depart(
        &self,
        index: usize,
        backend: &Backend,
        duration: Duration,
        kills_node: bool,
    ) {
        backend.heartbeat_paused.set(true);
        let mut late_sequences = Vec::new();
        for _ in 0..LATE_COUNT {
            late_sequences.push(backend.next_sequence());
        }
        let generation = backend.generation();
        if backend.deregister().await {
            self.expect_unused(index, generation);
        }
        if kills_node {
            self.signal_node(index, Signal::Kill);
            self.restart_node(index, duration).await;
        }
        for sequence in late_sequences {
            tokio::time::sleep((DRAIN_MAX + duration) / LATE_COUNT as u32).await;
            if backend.generation() == generation {
                backend.send_heartbeat_of(sequence, false).await;
            }
        }
        if backend.generation() == generation {
            backend.restart();
        }
        backend.heartbeat_paused.set(false);
    }

    /// Expects that the back end of this generation, whose leaving was just acknowledged, starts no
    /// request after [`DRAIN_MAX`].
    pub(super) fn expect_unused(&self, index: usize, generation: u64) {
        let backend_generation = self.site.borrow().hosts[index].backend.generation();
        if backend_generation != generation {
            return;
        }
        let deadline = Instant::now() + DRAIN_MAX;
        let mut drained_backends = self.drained_backends.borrow_mut();
        drained_backends.push((index, generation, deadline));
    }
}
