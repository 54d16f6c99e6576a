//! Budget of retries and hedges: a share of recent calls, not a count per call.

/// Calls that a full budget pays for in a burst.
const BURST_COUNT: f64 = 10.0;

/// Tokens that one overload refusal takes away, so that the budget shrinks under overload.
const OVERLOAD_COST: f64 = 0.5;

/// Tokens that calls deposit and retries withdraw.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    token_count: f64,
}

impl RetryBudget {
    /// Allows retries for `ratio` of calls, and a small burst at the start.
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            token_count: if ratio > 0.0 { BURST_COUNT } else { 0.0 },
        }
    }

    /// Takes a new ratio.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.token_count = (self.token_count + self.ratio).min(BURST_COUNT);
    }

    /// Notes that a target refused a call for overload.
    pub fn note_overload(&mut self) {
        self.token_count = (self.token_count - OVERLOAD_COST).max(0.0);
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
