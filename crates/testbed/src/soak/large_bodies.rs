//! Large bodies that arrive together, and the memory that nodes take for them.

use crate::process::Usage;
use crate::site::MEMORY_MAX_MB;

use super::{
    RandomSequence,
    Soak, //
};

/// Largest number of bodies that arrive together.
const BODY_MAX_COUNT: u64 = 8;

/// Largest size of a body, in kilobytes. Its answer has the same size.
const BODY_MAX_KB: u64 = 12_000;

impl Soak {
    /// Sends orders with large bodies to the host at `index`, all at once.
    pub(super) async fn send_large_bodies(&self, index: usize, seed: u64) {
        let mut random = RandomSequence(seed);
        let count = 2 + random.below(BODY_MAX_COUNT - 1);
        let padding_bytes = (random.below(BODY_MAX_KB) * 1_000) as usize;
        let caller = self.caller(index);
        let calls =
            (0..count).map(|_| caller.call_with_padding("POST", "/orders/large", padding_bytes));
        for result in futures::future::join_all(calls).await {
            self.results.borrow_mut().push((index, true, result));
        }
        self.check_memory();
    }

    pub(super) fn check_memory(&self) {
        for host in &self.site.borrow().hosts {
            // A node that has just ended has no usage any more.
            let Some(Ok(usage)) = host.node.as_ref().map(Usage::of) else {
                continue;
            };
            if usage.peak_resident_bytes > MEMORY_MAX_MB * 1_000_000 {
                self.record_violation(format!(
                    "{} took {} bytes of memory",
                    host.name, usage.peak_resident_bytes
                ));
            }
        }
    }
}
