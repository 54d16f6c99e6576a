//! Why a call was refused, independent of how it is written on the wire.

use serde::{
    Deserialize,
    Serialize, //
};

/// Why a call was refused before any byte of it went to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// Nothing is in force here yet.
    NoConfiguration,
    /// No service of that name follows a profile here.
    NoService,
    /// No route of the profile matches.
    NoRoute,
    /// The subset has no target that takes work.
    NoTarget,
    /// The queue was full or the call was shed for one of more worth.
    Overloaded,
    /// The deadline passed before the call was sent.
    Expired,
    /// The node or its target takes no new work.
    Draining,
    /// The request crashed targets before.
    Quarantined,
    /// The target refused the connection.
    Unreachable,
    /// Another target answered at the address.
    Misdirected,
}

impl NotRunReason {
    /// All reasons.
    pub const ALL: [NotRunReason; 10] = [
        NotRunReason::NoConfiguration,
        NotRunReason::NoService,
        NotRunReason::NoRoute,
        NotRunReason::NoTarget,
        NotRunReason::Overloaded,
        NotRunReason::Expired,
        NotRunReason::Draining,
        NotRunReason::Quarantined,
        NotRunReason::Unreachable,
        NotRunReason::Misdirected,
    ];

    /// Name on the wire and in logs.
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::NoConfiguration => "no-configuration",
            NotRunReason::NoService => "no-service",
            NotRunReason::NoRoute => "no-route",
            NotRunReason::NoTarget => "no-target",
            NotRunReason::Overloaded => "overloaded",
            NotRunReason::Expired => "expired",
            NotRunReason::Draining => "draining",
            NotRunReason::Quarantined => "quarantined",
            NotRunReason::Unreachable => "unreachable",
            NotRunReason::Misdirected => "misdirected",
        }
    }

    /// Returns whether another target may still run the call.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            NotRunReason::NoTarget
                | NotRunReason::Overloaded
                | NotRunReason::Draining
                | NotRunReason::Unreachable
                | NotRunReason::Misdirected
        )
    }
}
