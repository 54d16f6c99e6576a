//! Identification of the customer of a request, by its credentials and its route.

use std::sync::Arc;

use figway_types::KeyRefusal;

use crate::index::CustomerIndex;
use crate::key::KeyDigest;

/// Credentials of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Credentials<'a> {
    /// The request carries none.
    Absent,
    /// The request carries one API key.
    Key(&'a str),
    /// The request carries several credentials, or others than an API key.
    Invalid,
}

/// The call during which the local target made a request, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parent {
    /// There is none: the local target runs no call.
    None,
    /// The request names a call that the local target runs, which belongs to the customer, if to any.
    Running(Option<Arc<str>>),
    /// The local target runs, or may run, calls in which the request can be nested. Which of them it is,
    /// and whether the request is nested at all, is not known.
    Possible,
    /// The local target runs calls, but the request outlives all of them.
    Outlived,
}

/// Result of the identification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The request is accepted and belongs to no customer.
    Anonymous,
    /// The request belongs to the customer.
    Customer {
        /// Name of the customer.
        name: Arc<str>,
        /// Digest of the key that identifies it; `None` if the customer is that of the parent.
        key: Option<KeyDigest>,
    },
    /// The request must be refused.
    Unauthorized(KeyRefusal),
    /// The request may run only if it is nested, which is improbable.
    Orphaned,
}

/// Identifies the customer of a request. `index` is `None` if the configuration has no customers.
pub fn identify(
    index: Option<&CustomerIndex>,
    credentials: Credentials<'_>,
    route_is_anonymous: bool,
    parent: Parent,
) -> Identity {
    let Some(index) = index else {
        return Identity::Anonymous;
    };
    let refused = match credentials {
        Credentials::Key(key) => match index.find(key) {
            Ok((name, key)) => {
                return Identity::Customer {
                    name: Arc::clone(name),
                    key: Some(key),
                };
            }
            Err(why) => Identity::Unauthorized(why),
        },
        Credentials::Invalid => Identity::Unauthorized(KeyRefusal::Malformed),
        Credentials::Absent => match parent {
            Parent::Running(Some(name)) => return Identity::Customer { name, key: None },
            // Nobody is named by a guess.
            Parent::Running(None) | Parent::Possible => Identity::Anonymous,
            Parent::Outlived => Identity::Orphaned,
            Parent::None => Identity::Unauthorized(KeyRefusal::Missing),
        },
    };
    if route_is_anonymous {
        return Identity::Anonymous;
    }
    refused
}
