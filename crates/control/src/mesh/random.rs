//! Random choices of a node, reproducible from its seed.

use std::sync::atomic::Ordering;
use std::time::Duration;

use figway_types::mix;

use super::Mesh;

impl Mesh {
    /// Returns a random number.
    pub fn random(&self) -> u64 {
        mix(self
            .seed
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed))
    }

    /// Returns a random duration below `bound`, in whole microseconds.
    pub fn jitter(&self, bound: Duration) -> Duration {
        let bound_us = bound.as_micros().max(1) as u64;
        Duration::from_micros(self.random() % bound_us)
    }

    /// Returns a random number from 0 to 1.
    pub fn random_ratio(&self) -> f64 {
        self.random() as f64 / u64::MAX as f64
    }
}
