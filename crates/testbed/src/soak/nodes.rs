//! Processes of nodes and their links to the store.

use std::time::{
    Duration,
    Instant, //
};

use crate::process::Signal;
use crate::relay::LinkState;

use super::Soak;

impl Soak {
    pub(super) fn signal_node(&self, index: usize, signal: Signal) {
        self.disturbances.borrow_mut().push((index, Instant::now()));
        let site = self.site.borrow();
        if let Some(node) = &site.hosts[index].node {
            // The signal fails if another injector has just ended the process, which is not an
            // error.
            node.signal(signal).ok();
        }
    }

    /// Cuts the way of the node at `index` to the store, or restores it.
    pub(super) fn cut_store(&self, index: usize, blocked: bool) {
        let state = LinkState {
            blocked,
            ..LinkState::default()
        };
        self.site.borrow().hosts[index]
            .store_link
            .set_link_state(state);
    }

    /// Waits for the node's process to end and starts it again. Records a violation if the process
    /// has not ended after `timeout`, and kills it.
    pub(super) async fn restart_node(&self, index: usize, timeout: Duration) {
        let Some(mut node) = self.site.borrow_mut().hosts[index].node.take() else {
            return;
        };
        node.signal(Signal::Continue).ok();
        let deadline = Instant::now() + timeout;
        while !node.has_ended() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if !node.has_ended() {
            self.record_violation(format!(
                "node {index} did not end within {} ms",
                timeout.as_millis()
            ));
        }
        drop(node);
        if let Err(error) = self.site.borrow_mut().hosts[index].start_node() {
            self.record_violation(format!("could not start node {index}: {error:#}"));
        }
    }
}
