//! Search for the parent of a request that may be nested, among the calls that the local target runs.
//!
//! A target that runs a call may make requests of its own. They state neither who makes them nor for which
//! call, but they expire no later than it.

use std::time::{
    Duration,
    Instant, //
};

/// Longest time that a nested request takes from the target to its node. The request states how long it
/// may take, so that its deadline, as its node reads it, is later by this time.
const NESTED_DELAY_MAX: Duration = Duration::from_millis(100);

/// Largest difference between the deadlines of a call and of a request for which the call is the most probable
/// parent. Nested requests may expire sooner, but by chance few expire together with another call.
const SAME_DEADLINE_MAX: Duration = Duration::from_millis(20);

/// Call that the local target runs, or may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCall {
    /// Deadline of the call.
    pub deadline: Instant,
    /// Rank of the call in queues; 0 is served first.
    pub rank: u32,
    /// Whether the call is a retry or a hedge.
    pub is_repeat: bool,
    /// Whether the call was given up, so that most targets have stopped it.
    pub is_given_up: bool,
}

impl OpenCall {
    /// Returns whether the call expires at about the same time as a request with the deadline.
    fn expires_together(&self, request_deadline: Option<Instant>) -> bool {
        request_deadline.is_some_and(|deadline| {
            let later = deadline.saturating_duration_since(self.deadline);
            let sooner = self.deadline.saturating_duration_since(deadline);
            later.max(sooner) <= SAME_DEADLINE_MAX
        })
    }
}

/// Calls of which one may be the parent of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PossibleParents {
    /// Latest deadline of the calls.
    pub deadline: Instant,
    /// Rank of the least urgent of the calls.
    pub rank: u32,
    /// Share of the most probable of the calls that are retries or hedges: those that expire together with
    /// the request, then those that were not given up, then all.
    pub repeat_ratio: f64,
}

/// Result of the search for the parent of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ParentSearch {
    /// The target runs nothing.
    Idle,
    /// The request expires after all calls that the target runs.
    Outlived,
    /// The request may be nested in one of these calls.
    Possible(PossibleParents),
}

/// Number of calls, and how many of them are retries or hedges.
#[derive(Clone, Copy, Debug, Default)]
struct RepeatCount {
    call_count: u32,
    repeat_count: u32,
}

impl RepeatCount {
    fn add(&mut self, is_repeat: bool) {
        self.call_count += 1;
        self.repeat_count += u32::from(is_repeat);
    }

    /// Returns the share of retries and hedges, or `None` without calls.
    fn ratio(self) -> Option<f64> {
        (self.call_count > 0).then(|| f64::from(self.repeat_count) / f64::from(self.call_count))
    }
}

impl ParentSearch {
    /// Searches `open_calls` for those in which a request with the deadline may be nested. One that states
    /// no deadline may be nested in any.
    pub fn among(
        open_calls: impl Iterator<Item = OpenCall>,
        request_deadline: Option<Instant>,
    ) -> Self {
        let mut found = ParentSearch::Idle;
        let mut expiring_together = RepeatCount::default();
        let mut live = RepeatCount::default();
        let mut given_up = RepeatCount::default();
        for call in open_calls {
            let is_outlived = request_deadline
                .is_some_and(|deadline| deadline > call.deadline + NESTED_DELAY_MAX);
            if is_outlived {
                if found == ParentSearch::Idle {
                    found = ParentSearch::Outlived;
                }
                continue;
            }
            let counted = match call.is_given_up {
                _ if call.expires_together(request_deadline) => &mut expiring_together,
                false => &mut live,
                true => &mut given_up,
            };
            counted.add(call.is_repeat);
            let (deadline, rank) = match found {
                ParentSearch::Possible(others) => (others.deadline, others.rank),
                ParentSearch::Idle | ParentSearch::Outlived => (call.deadline, call.rank),
            };
            found = ParentSearch::Possible(PossibleParents {
                deadline: deadline.max(call.deadline),
                rank: rank.max(call.rank),
                repeat_ratio: expiring_together
                    .ratio()
                    .or(live.ratio())
                    .or(given_up.ratio())
                    .unwrap_or(0.0),
            });
        }
        found
    }
}
