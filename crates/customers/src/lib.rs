//! Customers whose callers share the targets: their API keys, priorities and rate limits, and the
//! identification of the customer of a request.

mod customer;
mod identify;
mod index;
mod key;

pub use customer::{
    call_priority,
    Customer,
    CustomerLimit, //
};
pub use identify::{
    identify,
    Credentials,
    Identity,
    Parent, //
};
pub use index::CustomerIndex;
pub use key::{
    KeyDigest,
    KeyTag, //
};
