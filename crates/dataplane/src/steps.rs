//! Steps of a call, for the `tries` value of its log line.

use std::fmt::Write as _;
use std::time::Duration;

use figway_types::NodeId;

/// One step of a call.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A target was picked.
    Picked {
        target: NodeId,
        reason: &'static str,
        cost: f64,
        /// Time since the call arrived, in milliseconds.
        at_ms: u128,
    },
    /// An attempt ended.
    Ended {
        outcome: &'static str,
        reason: &'static str,
        status: u16,
        took_ms: u128,
        waited_ms: u128,
    },
    /// No target was left to pick.
    NoTarget { known_count: usize },
    /// The call was refused here, since the targets refuse most calls of its rank.
    Throttled { retry_after: Duration },
    /// The retry budget did not allow another attempt.
    RetryBudgetExhausted,
}

/// Returns the steps as the `tries` value of the call's log line.
pub(crate) fn format_steps(steps: &[Step], profile_name: &str) -> String {
    let mut text = format!("profile:{profile_name}");
    for step in steps {
        let written = match step {
            Step::Picked {
                target,
                reason,
                cost,
                at_ms,
            } => write!(text, "; at {at_ms} ms {target} ({reason}, cost {cost:.3})"),
            Step::Ended {
                outcome,
                reason,
                status,
                took_ms,
                waited_ms,
            } => write!(
                text,
                ": {outcome} {reason} status {status} after {took_ms} ms, {waited_ms} ms queued"
            ),
            Step::NoTarget { known_count } => {
                write!(text, "; no target left of {known_count}")
            }
            Step::Throttled { retry_after } => {
                write!(
                    text,
                    "; throttled, retry after {} ms",
                    retry_after.as_millis()
                )
            }
            Step::RetryBudgetExhausted => write!(text, "; retry budget used up"),
        };
        written.expect("writing to a String never fails");
    }
    text
}
