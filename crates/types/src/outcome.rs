//! Reasons for refusing a call, independent of their encoding on the wire.

use serde::{
    Deserialize,
    Serialize, //
};

/// Reason why a call was refused before any byte of it was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// No configuration is in force on the node yet.
    NoConfiguration,
    /// No profile is in force on the node for a service with that name.
    NoService,
    /// No customer holds the API key of the request.
    Unauthorized,
    /// The request names a running call that this node does not know.
    UnknownParent,
    /// The customer is over its rate limit.
    CustomerLimited,
    /// No request kind of the profile, or no route of the route table, matches.
    NoRoute,
    /// The subset has no target that accepts calls.
    NoTarget,
    /// The queue was full, or the call was shed in favour of one with a higher worth.
    Overloaded,
    /// The call's turn under the target's rate limit would come after its deadline.
    RateLimited,
    /// The deadline passed before the call was sent.
    Expired,
    /// The node or its target accepts no new calls.
    Draining,
    /// Earlier attempts at the request crashed targets.
    Quarantined,
    /// The target refused the connection.
    Unreachable,
    /// A different target answered at the address.
    Misdirected,
}

impl NotRunReason {
    /// All reasons.
    pub const ALL: [NotRunReason; 14] = [
        NotRunReason::NoConfiguration,
        NotRunReason::NoService,
        NotRunReason::Unauthorized,
        NotRunReason::UnknownParent,
        NotRunReason::CustomerLimited,
        NotRunReason::NoRoute,
        NotRunReason::NoTarget,
        NotRunReason::Overloaded,
        NotRunReason::RateLimited,
        NotRunReason::Expired,
        NotRunReason::Draining,
        NotRunReason::Quarantined,
        NotRunReason::Unreachable,
        NotRunReason::Misdirected,
    ];

    /// Returns the name on the wire and in logs.
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::NoConfiguration => "no-configuration",
            NotRunReason::NoService => "no-service",
            NotRunReason::Unauthorized => "unauthorized",
            NotRunReason::UnknownParent => "unknown-parent",
            NotRunReason::CustomerLimited => "customer-limited",
            NotRunReason::NoRoute => "no-route",
            NotRunReason::NoTarget => "no-target",
            NotRunReason::Overloaded => "overloaded",
            NotRunReason::RateLimited => "rate-limited",
            NotRunReason::Expired => "expired",
            NotRunReason::Draining => "draining",
            NotRunReason::Quarantined => "quarantined",
            NotRunReason::Unreachable => "unreachable",
            NotRunReason::Misdirected => "misdirected",
        }
    }

    /// Returns whether the call can be retried on another target.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            NotRunReason::NoTarget
                | NotRunReason::Overloaded
                | NotRunReason::RateLimited
                | NotRunReason::Draining
                | NotRunReason::Unreachable
                | NotRunReason::Misdirected
        )
    }
}
