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
    /// Whether calls are admitted by the distribution of run times instead of their mean, and few late
    /// calls wait.
    pub overload_control: bool,
}

/// Late calls that may wait, per slot. Further ones are refused, since they would only wait until their
/// deadline passes.
const LATE_PER_SLOT_RATIO: f64 = 1.0;

/// The same under overload control. Callers that are refused early come back in time, or find room
/// elsewhere.
const CONTROLLED_LATE_PER_SLOT_RATIO: f64 = 0.25;

impl AdmissionLimits {
    pub(super) fn late_per_slot_ratio(&self) -> f64 {
        if self.overload_control {
            CONTROLLED_LATE_PER_SLOT_RATIO
        } else {
            LATE_PER_SLOT_RATIO
        }
    }

    pub(super) fn queue_max_count(&self) -> usize {
        (f64::from(self.slot_count) * self.queue_per_slot_ratio).ceil() as usize
    }

    pub(super) fn long_max_count(&self) -> u32 {
        let long_slots = f64::from(self.slot_count) * (1.0 - self.short_share_ratio);
        (long_slots.floor() as u32).max(1)
    }
}
