//! Budget of retries and hedges: a share of recent calls, not a count per call.

/// Tokens that one overload refusal takes away, so that the budget shrinks under overload.
const OVERLOAD_COST: f64 = 0.5;

/// Tokens that calls deposit and retries withdraw.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst_count: f64,
    token_count: f64,
}

impl RetryBudget {
    /// Allows retries for `ratio` of calls, and a burst of `burst_count` at the start.
    pub fn new(ratio: f64, burst_count: f64) -> Self {
        Self {
            ratio,
            burst_count,
            token_count: if ratio > 0.0 { burst_count } else { 0.0 },
        }
    }

    /// Gives the burst up until calls have earned it: a node that starts again must not spend anew
    /// what it spent before.
    pub fn without_burst(mut self) -> Self {
        self.token_count = 0.0;
        self
    }

    /// Takes a new ratio and burst.
    pub fn set_limits(&mut self, ratio: f64, burst_count: f64) {
        self.ratio = ratio;
        self.burst_count = burst_count;
        self.token_count = self.token_count.min(burst_count);
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.token_count = (self.token_count + self.ratio).min(self.burst_count);
    }

    /// Notes that a target refused a call for overload.
    pub fn record_overload(&mut self) {
        self.token_count -= OVERLOAD_COST.min(self.token_count.max(0.0));
    }

    /// Notes a retry that was made whatever the budget says, since a retry elsewhere caused it.
    pub fn charge(&mut self) {
        self.token_count = (self.token_count - 1.0).max(-self.burst_count);
    }

    /// Gives back what a retry had paid that did not reach a target.
    pub fn refund(&mut self) {
        self.token_count = (self.token_count + 1.0).min(self.burst_count);
    }

    /// Pays for one retry or hedge, if the budget allows it.
    pub fn try_withdraw(&mut self) -> bool {
        if self.ratio <= 0.0 || self.token_count < 1.0 {
            return false;
        }
        self.token_count -= 1.0;
        true
    }
}
