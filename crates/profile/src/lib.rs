//! Profiles with settings for routing, draining and limits, the route table, and the fold of the
//! log into the state of the mesh.

mod body;
mod check;
mod fold;
mod lost;
mod record;
mod resolve;
mod routes;

pub use body::{
    Draining,
    Limits,
    Profile,
    RequestKind,
    Subset, //
};
pub use check::parse_profile;
pub use fold::{
    EarlierPick,
    Fold,
    FoldState,
    Pick,
    ProfileVersion,
    Verdict, //
};
pub use lost::{
    LostChange,
    LostChanges, //
};
pub use record::{
    Change,
    ChangeRecord, //
};
pub use resolve::{
    unresolved_references,
    Resources, //
};
pub use routes::{
    CallerLimits,
    CustomersChange,
    NamedRoute,
    Route,
    RouteChange,
    RouteIndex,
    RouteTable,
    TargetLimits,
    WeightedService, //
};
