//! Decides when a call is hedged: sent to a second target while the first has not answered yet.

use std::time::{
    Duration,
    Instant, //
};

/// Multiple of the expected latency after which an answer is overdue.
const OVERDUE_RATIO: f64 = 1.3;

/// Fraction of the time until an answer loses worth after which the hedge is due at the latest.
const PROMPT_RATIO: f64 = 0.55;

/// Fraction of the time until the deadline after which a hedge is due whatever its bytes cost, so that
/// its answer can still be in time.
const RESCUE_RATIO: f64 = 0.4;

/// Largest price of a hedge's bytes, as a fraction of the call's worth, that a prompt answer justifies.
const PROMPT_PRICE_MAX: f64 = 0.3;

/// What is known of a call when its first attempt begins.
#[derive(Clone, Copy, Debug)]
pub struct HedgeContext {
    /// Expected latency of the first answer, if there is an estimate.
    pub expected: Option<Duration>,
    /// Quantile of the kind's latencies after which its calls are hedged, if it is known.
    pub quantile: Option<Duration>,
    /// Time after which an answer loses part of its worth, if there is one.
    pub prompt_by: Option<Instant>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// When a call is hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgePlan {
    /// Time of a hedge for a prompt answer.
    pub prompt_at: Instant,
    /// Time of a hedge for an answer before the deadline. It is not before the other one.
    pub rescue_at: Instant,
}

impl HedgePlan {
    /// Returns the plan of a call whose first attempt begins at `now`: a hedge is due after the quantile of
    /// latencies, or early enough for a prompt answer, but not before the first answer is overdue.
    /// Returns `None` if neither the quantile nor a time for a prompt answer is known.
    pub fn of(call: &HedgeContext, now: Instant) -> Option<Self> {
        let prompt_latest = call
            .prompt_by
            .filter(|prompt_by| *prompt_by > now)
            .map(|prompt_by| now + (prompt_by - now).mul_f64(PROMPT_RATIO));
        let quantile_at = call.quantile.map(|quantile| now + quantile);
        let due = match (quantile_at, prompt_latest) {
            (Some(quantile_at), Some(latest)) => quantile_at.min(latest),
            (quantile_at, latest) => quantile_at.or(latest)?,
        };
        let overdue = now + call.expected.unwrap_or_default().mul_f64(OVERDUE_RATIO);
        let prompt_at = due.max(overdue);
        let deadline_left = call.deadline.saturating_duration_since(now);
        Some(Self {
            prompt_at,
            rescue_at: prompt_at.max(now + deadline_left.mul_f64(RESCUE_RATIO)),
        })
    }
}

/// Returns whether a prompt answer is worth the bytes of a hedge that cost `price`, as a fraction of the
/// call's worth.
pub fn prompt_answer_justifies(price: f64) -> bool {
    price <= PROMPT_PRICE_MAX
}
