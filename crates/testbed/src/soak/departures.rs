//! Back ends that leave while heartbeats from before arrive late.

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use crate::process::Signal;
use crate::site::backend::Backend;

use super::{
    RandomSequence,
    Soak,
    DRAIN_MAX,
    HOST_COUNT, //
};

/// Number of heartbeats that arrive late.
const LATE_COUNT: u64 = 6;

/// Longest pause between two kills of all nodes, in milliseconds.
const KILL_PAUSE_MAX_MS: u64 = 4_000;

/// Nodes that are killed after the acknowledgement of a leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Killed {
    /// None.
    None,
    /// The one beside the back end.
    Own,
    /// All at once.
    All,
}

impl Soak {
    /// Lets back ends leave and kills all nodes soon after, some times.
    pub(super) async fn kill_all_nodes(self: Rc<Self>, seed: u64) {
        let mut random = RandomSequence(seed);
        while Instant::now() < self.last_fault_at() {
            let index = random.below(HOST_COUNT as u64) as usize;
            let duration = Duration::from_millis(random.below(1_000));
            let description = format!(
                "all nodes killed after a departure at host {index}, for {} ms",
                duration.as_millis()
            );
            self.report.borrow_mut().faults.push(description);
            let backend = Rc::clone(&self.site.borrow().hosts[index].backend);
            self.depart(index, &backend, duration, Killed::All).await;
            let pause = Duration::from_millis(random.below(KILL_PAUSE_MAX_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Deregisters the back end on the host at `index`, kills nodes at once, and sends heartbeats from before until after the time in which the back end may get requests. Then
    /// the back end starts again.
    pub(super) async fn depart(
        &self,
        index: usize,
        backend: &Backend,
        duration: Duration,
        killed: Killed,
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
        let killed_hosts = match killed {
            Killed::None => 0..0,
            Killed::Own => index..index + 1,
            Killed::All => 0..HOST_COUNT,
        };
        for killed_index in killed_hosts.clone() {
            self.signal_node(killed_index, Signal::Kill);
        }
        let restarts = killed_hosts.map(|killed_index| self.restart_node(killed_index, duration));
        futures::future::join_all(restarts).await;
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
