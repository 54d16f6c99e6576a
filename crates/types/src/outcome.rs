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
    /// The credentials of the request identify no customer.
    Unauthorized(KeyRefusal),
    /// The request has no key, and outlives all calls in which it could be nested.
    UnknownParent,
    /// The customer is over its rate limit.
    CustomerLimited,
    /// No request kind of the profile, or no route of the route table, matches.
    NoRoute,
    /// The subset has no target that accepts calls.
    NoTarget,
    /// The queue was full, or the call was shed in favour of one with a higher worth.
    Overloaded,
    /// The target refused the call although its node had counted a free slot.
    Shed,
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

/// Why the credentials of a request identify no customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyRefusal {
    /// The request carries no key.
    Missing,
    /// The request carries several credentials, or others than an API key.
    Malformed,
    /// No customer holds the key.
    Unknown,
    /// Several customers hold the key.
    Shared,
    /// The customer no longer holds the key with which the request was accepted.
    Removed,
}

impl KeyRefusal {
    /// Returns the name on the wire and in logs.
    pub fn name(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "no-key",
            KeyRefusal::Malformed => "malformed-key",
            KeyRefusal::Unknown => "unknown-key",
            KeyRefusal::Shared => "shared-key",
            KeyRefusal::Removed => "removed-key",
        }
    }
}

impl NotRunReason {
    /// All reasons.
    pub const ALL: [NotRunReason; 19] = [
        NotRunReason::NoConfiguration,
        NotRunReason::NoService,
        NotRunReason::Unauthorized(KeyRefusal::Missing),
        NotRunReason::Unauthorized(KeyRefusal::Malformed),
        NotRunReason::Unauthorized(KeyRefusal::Unknown),
        NotRunReason::Unauthorized(KeyRefusal::Shared),
        NotRunReason::Unauthorized(KeyRefusal::Removed),
        NotRunReason::UnknownParent,
        NotRunReason::CustomerLimited,
        NotRunReason::NoRoute,
        NotRunReason::NoTarget,
        NotRunReason::Overloaded,
        NotRunReason::Shed,
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
            NotRunReason::Unauthorized(why) => why.name(),
            NotRunReason::UnknownParent => "unknown-parent",
            NotRunReason::CustomerLimited => "customer-limited",
            NotRunReason::NoRoute => "no-route",
            NotRunReason::NoTarget => "no-target",
            NotRunReason::Overloaded => "overloaded",
            NotRunReason::Shed => "shed",
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
                | NotRunReason::Shed
                | NotRunReason::RateLimited
                | NotRunReason::Draining
                | NotRunReason::Unreachable
                | NotRunReason::Misdirected
        )
    }
}
