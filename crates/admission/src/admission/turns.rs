//! Turns of calls under the rate limit that the target states.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    NotRunReason,
    RateLimit, //
};

use super::{
    Admission,
    CallView,
    Dequeued, //
};
use crate::estimate::Costed;
use crate::pacer::Pacer;

impl Admission {
    /// Sets the rate limit that the target states, or removes it. Calls that already run or wait are
    /// not removed.
    pub fn set_rate_limit(&mut self, limit: Option<RateLimit>, now: Instant) {
        match (&mut self.pacer, limit) {
            (Some(pacer), Some(limit)) if pacer.limit() == limit => {}
            (Some(pacer), Some(limit)) => pacer.set_limit(limit, now),
            (None, Some(limit)) => self.pacer = Some(Pacer::new(limit, now)),
            (_, None) => self.pacer = None,
        }
    }

    /// Returns when the rate limit lets the next waiting call start, if calls wait for that.
    pub fn next_turn_at(&self, now: Instant) -> Option<Instant> {
        let pacer = self.pacer.as_ref()?;
        if self.waiting.is_empty() || pacer.has_token(now) {
            return None;
        }
        now.checked_add(pacer.wait(0, now))
    }

    /// Refuses the waiting calls whose turn under the rate limit would come too late for them. Calls
    /// of a lower rank may have come before them since they were admitted.
    pub(super) fn refuse_without_turn(&mut self, now: Instant, dequeued: &mut Dequeued) {
        let Some(pacer) = &self.pacer else {
            return;
        };
        let mut kept_count = 0;
        let mut refused = Vec::new();
        let mut queue = Vec::with_capacity(self.waiting.len());
        for call in &self.waiting {
            queue.push((self.order_of(call, now), call));
        }
        queue.sort_by(|(a, _), (b, _)| a.compare(*b));
        for (_, call) in queue {
            let start_by = self.latest_start(
                call.class.costed(),
                call.prompt_by,
                call.deadline,
                kept_count,
            );
            if is_before(pacer.wait(kept_count, now), now, start_by) {
                kept_count += 1;
                continue;
            }
            refused.push(call.ticket);
        }
        for ticket in refused {
            self.waiting.retain(|call| call.ticket != ticket);
            dequeued.refused.push((ticket, NotRunReason::RateLimited));
        }
    }

    /// Returns whether a new call's turn under the rate limit would come too late for it.
    pub(super) fn turn_is_too_late(
        &self,
        call: &CallView<'_>,
        costed: Costed<'_>,
        now: Instant,
    ) -> bool {
        let Some(pacer) = &self.pacer else {
            return false;
        };
        let ahead_count = self.ahead_count(call.rank);
        let start_by = self.latest_start(costed, call.prompt_by, call.deadline, ahead_count);
        !is_before(pacer.wait(ahead_count, now), now, start_by)
    }

    /// Returns the latest time at which `call` may start, so that it can be answered by its deadline. A
    /// call behind others must also start in time for a prompt answer, since later turns are better
    /// used by calls that can still be prompt.
    fn latest_start(
        &self,
        call: Costed<'_>,
        prompt_by: Option<Instant>,
        deadline: Instant,
        ahead_count: usize,
    ) -> Instant {
        let needed = self.times.min(call.kind).unwrap_or(Duration::ZERO);
        let answerable_by = deadline.checked_sub(needed).unwrap_or(deadline);
        match prompt_by {
            Some(prompt_by) if ahead_count > 0 => {
                let mean = self.times.mean(call);
                answerable_by.min(prompt_by.checked_sub(mean).unwrap_or(prompt_by))
            }
            _ => answerable_by,
        }
    }

    /// Returns the number of waiting calls that start before a new one of `rank`.
    fn ahead_count(&self, rank: u32) -> usize {
        self.waiting.iter().filter(|call| call.rank <= rank).count()
    }

    /// Returns the expected wait of a new call of `rank` for its turn under the rate limit.
    pub(super) fn expected_turn_wait(&self, rank: u32, now: Instant) -> Duration {
        match &self.pacer {
            Some(pacer) => pacer.wait(self.ahead_count(rank), now),
            None => Duration::ZERO,
        }
    }

    /// Returns how many calls the target runs at once when it is fully used: its slots, or fewer if
    /// the rate limit starts calls more slowly than the slots become free.
    pub(super) fn concurrency(&self) -> f64 {
        let slot_count = f64::from(self.limits.slot_count);
        match &self.pacer {
            Some(pacer) => slot_count.min(pacer.limit().per_s() * self.times.overall_mean_s()),
            None => slot_count,
        }
    }

    /// Returns whether the rate limit lets a call start now.
    pub(super) fn has_token(&self, now: Instant) -> bool {
        self.pacer.as_ref().is_none_or(|pacer| pacer.has_token(now))
    }

    /// Returns why a call that may not wait can't start now.
    pub(super) fn busy_reason(&self, now: Instant) -> NotRunReason {
        if self.has_token(now) {
            NotRunReason::Overloaded
        } else {
            NotRunReason::RateLimited
        }
    }
}

/// Returns whether `wait` from `now` on ends before `latest`.
fn is_before(wait: Duration, now: Instant, latest: Instant) -> bool {
    now.checked_add(wait).is_some_and(|end| end < latest)
}
