//! How targets treated the attempts of one call, from which a throttle learns whether they have room.

/// How a target treated an attempt that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// The target ran the attempt, or may have run it.
    Accepted,
    /// The node of the target refused the attempt since there is no room.
    Refused,
    /// The attempt ended for a reason that says nothing about the room at the target.
    Failed,
}

/// Attempts of one call by how targets treated them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    in_flight_count: usize,
    accepted_count: usize,
    refused_count: usize,
}

impl AttemptCounts {
    /// Records that an attempt begins.
    pub fn begin(&mut self) {
        self.in_flight_count += 1;
    }

    /// Records that an attempt ended.
    pub fn end(&mut self, treatment: Treatment) {
        self.in_flight_count = self.in_flight_count.saturating_sub(1);
        match treatment {
            Treatment::Accepted => self.accepted_count += 1,
            Treatment::Refused => self.refused_count += 1,
            Treatment::Failed => {}
        }
    }

    /// Returns the number of attempts that targets refused since they have no room.
    pub fn refused_count(&self) -> usize {
        self.refused_count
    }

    /// Returns whether targets accepted the call, or `None` if its attempts say nothing about their room.
    /// An attempt that is still in flight counts as accepted, since its target has not refused it.
    pub fn accepted(&self) -> Option<bool> {
        if self.accepted_count + self.in_flight_count > 0 {
            return Some(true);
        }
        (self.refused_count > 0).then_some(false)
    }
}
