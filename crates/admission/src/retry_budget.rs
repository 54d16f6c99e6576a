//! Budget of retries and hedges: a fraction of recent calls, not a count per call.

/// Tokens that each refusal for overload removes, so that the budget shrinks under overload.
const OVERLOAD_COST: f64 = 0.5;

/// Token bucket: calls deposit tokens, retries and hedges withdraw them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst_count: f64,
    token_count: f64,
}

impl RetryBudget {
    /// Creates a budget that allows retries for the fraction `ratio` of calls, and an initial burst
    /// of `burst_count` retries.
    pub fn new(ratio: f64, burst_count: f64) -> Self {
        Self {
            ratio,
            burst_count,
            token_count: if ratio > 0.0 { burst_count } else { 0.0 },
        }
    }

    /// Removes the initial burst, so that calls must earn it first: a restarted node must not spend
    /// again the burst that it spent before the restart.
    pub fn without_burst(mut self) -> Self {
        self.token_count = 0.0;
        self
    }

    /// Replaces the ratio and the burst.
    pub fn set_limits(&mut self, ratio: f64, burst_count: f64) {
        self.ratio = ratio;
        self.burst_count = burst_count;
        self.token_count = self.token_count.min(burst_count);
    }

    /// Deposits the tokens that a first attempt earns.
    pub fn deposit(&mut self) {
        self.token_count = (self.token_count + self.ratio).min(self.burst_count);
    }

    /// Records that a target refused a call for overload.
    pub fn record_overload(&mut self) {
        self.token_count -= OVERLOAD_COST.min(self.token_count.max(0.0));
    }

    /// Withdraws a token for a retry that is made regardless of the budget, since a retry elsewhere
    /// caused it. The balance may become negative, down to minus the burst.
    pub fn charge(&mut self) {
        self.token_count = (self.token_count - 1.0).max(-self.burst_count);
    }

    /// Puts back the token of a retry that did not reach a target.
    pub fn refund(&mut self) {
        self.token_count = (self.token_count + 1.0).min(self.burst_count);
    }

    /// Withdraws a token for one retry or hedge; returns whether the budget allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        if self.ratio <= 0.0 || self.token_count < 1.0 {
            return false;
        }
        self.token_count -= 1.0;
        true
    }
}
