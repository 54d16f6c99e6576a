//! Whose request it is, by its credentials and its route.

use std::sync::Arc;

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

/// The call during which the local target made a request, as far as the request names one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parent {
    /// The request names no call.
    None,
    /// The local target runs the named call, which belongs to the customer, if to any.
    Running(Option<Arc<str>>),
    /// The request names a call that this node does not know.
    Unknown {
        /// Whether the node may have lost its knowledge of running calls in a restart.
        restarted: bool,
    },
}

/// Whose request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// Requests need no key, or the request needs none and belongs to no customer.
    Anonymous,
    /// The request belongs to the customer.
    Customer(Arc<str>),
    /// The request must be refused, since no customer holds its key.
    Unauthorized,
    /// The request is made during a call that this node does not know, and may not run.
    Orphaned,
}

/// Decides whose request it is. `index` is `None` if the configuration has no customers.
pub fn identify(
    index: Option<&CustomerIndex>,
    credentials: Credentials<'_>,
    route_is_anonymous: bool,
    parent: Parent,
) -> Identity {
    let Some(index) = index else {
        return Identity::Anonymous;
    };
    let holder = match credentials {
        Credentials::Key(key) => KeyDigest::of_key(key).and_then(|digest| index.holder(&digest)),
        Credentials::Absent | Credentials::Invalid => None,
    };
    if let Some(name) = holder {
        return Identity::Customer(Arc::clone(name));
    }
    if route_is_anonymous {
        return Identity::Anonymous;
    }
    if credentials != Credentials::Absent {
        return Identity::Unauthorized;
    }
    match parent {
        Parent::None => Identity::Unauthorized,
        Parent::Running(Some(customer)) => Identity::Customer(customer),
        Parent::Running(None) | Parent::Unknown { restarted: true } => Identity::Anonymous,
        Parent::Unknown { restarted: false } => Identity::Orphaned,
    }
}
