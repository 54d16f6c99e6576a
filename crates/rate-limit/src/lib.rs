//! Rate limits of customers over all nodes together.
//!
//! Each node counts the requests of its callers in a [`UsageMeter`] and reports them to two
//! coordinators, each of which has a [`LimitCoordinator`]. Their answers name the customers above their
//! limit. The crate has no network and no clock of its own.

mod bounds;
mod bucket;
mod coordinator;
mod local_bucket;
mod message;
mod report_feed;
mod roster;
mod usage_meter;
mod verdict;

pub use bounds::LimitBounds;
pub use coordinator::LimitCoordinator;
pub use message::{
    customer_code,
    LimitedCustomer,
    UsageAnswer,
    UsageCount,
    UsageReport, //
};
pub use roster::Roster;
pub use usage_meter::{
    Admission,
    UsageMeter,
    COORDINATOR_COUNT, //
};
pub use verdict::{
    LimitSource,
    Standing, //
};
