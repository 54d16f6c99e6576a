//! Order of the calls that wait for a target.

use std::cmp::Ordering;

/// Place of a waiting call in the queue. Equal calls start in the order of their arrival.
#[derive(Clone, Copy, Debug)]
pub(super) struct Order {
    pub(super) rank: u32,
    pub(super) late: bool,
    /// Worth per slot-second.
    pub(super) density: f64,
}

impl Order {
    pub(super) fn compare(self, other: Self) -> Ordering {
        (self.rank, self.late)
            .cmp(&(other.rank, other.late))
            .then(other.density.total_cmp(&self.density))
    }

    pub(super) fn is_before(self, other: Self) -> bool {
        self.compare(other) == Ordering::Less
    }
}
