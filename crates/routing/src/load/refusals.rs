//! Share of the calls of a kind that targets of each distance refuse for overload.

use std::time::{
    Duration,
    Instant, //
};

use super::LoadTracker;
use crate::picker::Distance;

/// Half-life of the counts. Calls return to targets that have room again within about this time.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// Calls that are assumed to have been accepted before the first one, so that a single refusal does not
/// move calls to another zone.
const ASSUMED_ACCEPTED_COUNT: f64 = 2.0;

/// Number of values of [`Distance`].
const DISTANCE_COUNT: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Count {
    asked: f64,
    refused: f64,
    counted_at: Instant,
}

/// Refusals of one kind of request, by distance.
#[derive(Clone, Debug, Default)]
pub(super) struct Refusals {
    counts: [Option<Count>; DISTANCE_COUNT],
}

impl Refusals {
    /// Records whether a target at `distance` refused a call.
    pub(super) fn record(&mut self, distance: Distance, refused: bool, now: Instant) {
        let count = self.counts[distance as usize].get_or_insert(Count {
            asked: 0.0,
            refused: 0.0,
            counted_at: now,
        });
        let decay = count.decay(now);
        count.asked = count.asked * decay + 1.0;
        count.refused = count.refused * decay + f64::from(u8::from(refused));
        count.counted_at = now;
    }

    /// Returns the share of recent calls that targets at `distance` refused.
    pub(super) fn ratio(&self, distance: Distance, now: Instant) -> f64 {
        let Some(count) = self.counts[distance as usize] else {
            return 0.0;
        };
        let decay = count.decay(now);
        count.refused * decay / (count.asked * decay + ASSUMED_ACCEPTED_COUNT)
    }
}

impl Count {
    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.counted_at);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

impl LoadTracker {
    /// Records whether a target at `distance` refused a call of `kind` for overload.
    pub fn record_admission(
        &mut self,
        kind: &str,
        distance: Distance,
        refused: bool,
        now: Instant,
    ) {
        if let Some(refusals) = self.refusals.get_mut(kind) {
            refusals.record(distance, refused, now);
        } else if refused {
            let mut refusals = Refusals::default();
            refusals.record(distance, refused, now);
            self.refusals.insert(kind.to_owned(), refusals);
        }
    }

    /// Returns the share of recent calls of `kind` that targets at `distance` refused for overload.
    pub fn refused_ratio(&self, kind: &str, distance: Distance, now: Instant) -> f64 {
        self.refusals
            .get(kind)
            .map_or(0.0, |refusals| refusals.ratio(distance, now))
    }
}
