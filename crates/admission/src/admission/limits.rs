//! Limits of one target: slots and places in its queue.

/// Limits of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Number of calls that run concurrently.
    pub slot_count: u32,
    /// Calls that may wait, per slot.
    pub queue_per_slot_ratio: f64,
    /// Fraction of the slots that long kinds can't take.
    pub short_share_ratio: f64,
    /// Late calls that may wait, per slot. Further ones are refused, since they would only wait until
    /// their deadline passes.
    pub late_per_slot_ratio: f64,
}

impl AdmissionLimits {
    pub(super) fn queue_max_count(&self) -> usize {
        (f64::from(self.slot_count) * self.queue_per_slot_ratio).ceil() as usize
    }

    pub(super) fn long_max_count(&self) -> u32 {
        let long_slots = f64::from(self.slot_count) * (1.0 - self.short_share_ratio);
        (long_slots.floor() as u32).max(1)
    }
}
