//! Bucket by which a node admits the requests of a customer without a coordinator: an equal share of
//! the customer's rate and burst.

use std::time::{
    Duration,
    Instant, //
};

use figway_customers::CustomerLimit;

use crate::bounds::{
    clamp_limit,
    LimitBounds, //
};

/// Longest time for which a node repays what it admitted beyond its share.
const DEBT_MAX: Duration = Duration::from_secs(5);

/// When a node without a coordinator admits one request beyond its bucket. A node's share of a small limit
/// is a fraction of a token, by which alone most requests would be refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Exception {
    /// Never: what others admit takes up the rest of what is permitted.
    Never,
    /// The node has just started, or the first limits have come into force. The buckets of its
    /// coordinators are empty then.
    AtStart,
    /// The node has had no coordinator for a window, so that all it admitted within the last one was by its
    /// own share.
    InIsolation,
}

/// Share of one node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    pub(crate) rate_per_s: f64,
    pub(crate) capacity: f64,
    /// Time after which a node that could not admit a request by its part of a token draws again.
    redraw_after: Duration,
    /// Probability with which a random draw allows one request, whatever the bucket holds.
    one_ratio: f64,
}

impl Share {
    /// Returns the share of each of `member_count` nodes.
    pub(crate) fn new(
        bounds: &LimitBounds,
        limit: &CustomerLimit,
        member_count: usize,
        exception: Exception,
    ) -> Self {
        let limit = clamp_limit(limit);
        let node_count = member_count as f64;
        let capacity = bounds.capacity(&limit) / node_count;
        Self {
            rate_per_s: limit.rate_per_s / node_count,
            capacity,
            redraw_after: bounds.window,
            one_ratio: match exception {
                // One draw decides on the token of the bucket and on the one beyond it.
                Exception::AtStart if capacity < 1.0 => {
                    capacity + bounds.spare_ratio(&limit, node_count)
                }
                Exception::InIsolation => bounds.one_ratio(&limit, node_count),
                _ => 0.0,
            },
        }
    }
}

/// Bucket of one customer at one node. Requests that a coordinator admits draw from it too, so that no
/// second burst is admitted when the coordinator is lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalBucket {
    balance: f64,
    refilled_at: Instant,
    /// Part of a token with which a request is admitted, drawn at random, so that shares below one
    /// token add up over the nodes.
    threshold: f64,
    /// Whether the last random draw allows one request, whatever the bucket holds.
    allows_one: bool,
    redraw_at: Instant,
}

impl LocalBucket {
    pub(crate) fn new(balance: f64, threshold: f64, now: Instant) -> Self {
        Self {
            balance,
            refilled_at: now,
            threshold,
            allows_one: false,
            redraw_at: now,
        }
    }

    /// Adds what the time since the last call yields. `random_ratio` is between 0 and 1.
    pub(crate) fn refill(&mut self, share: &Share, random_ratio: f64, now: Instant) {
        self.balance = self.count(share, now);
        self.refilled_at = now;
        if self.redraw_at <= now {
            self.redraw(share, random_ratio, now);
        }
    }

    /// Returns the tokens at `now`.
    pub(crate) fn count(&self, share: &Share, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let added = elapsed.as_secs_f64() * share.rate_per_s;
        (self.balance + added).min(share.capacity)
    }

    fn redraw(&mut self, share: &Share, random_ratio: f64, now: Instant) {
        self.threshold = random_ratio;
        self.allows_one = random_ratio < share.one_ratio;
        self.redraw_at = now + share.redraw_after;
    }

    /// Returns whether the share allows a request.
    pub(crate) fn has_token(&self) -> bool {
        self.allows_one || self.balance > 0.0 && self.balance >= self.threshold
    }

    /// Takes a token for an admitted request.
    pub(crate) fn draw(&mut self, share: &Share, random_ratio: f64, now: Instant) {
        if self.allows_one {
            // The bounds permit this request beyond the share, so that it leaves no debt.
            self.balance = self.balance.min((self.balance - 1.0).max(0.0));
        } else {
            let debt_max = (share.rate_per_s * DEBT_MAX.as_secs_f64()).max(2.0);
            self.balance = (self.balance - 1.0).max(-debt_max);
        }
        self.redraw(share, random_ratio, now);
        // No second request is admitted in the same window.
        self.allows_one = false;
    }

    /// Returns a token.
    pub(crate) fn give_back(&mut self) {
        self.balance += 1.0;
    }

    /// Returns the requests admitted beyond the share. One request is not counted, since a share may be
    /// less than one.
    pub(crate) fn debt_count(&self) -> u32 {
        (-self.balance - 1.0).max(0.0) as u32
    }

    /// Returns the time until the share allows a request.
    pub(crate) fn wait(&self, share: &Share) -> Duration {
        let missing = (self.threshold - self.balance).max(0.0);
        Duration::try_from_secs_f64(missing / share.rate_per_s).unwrap_or(Duration::MAX)
    }
}
