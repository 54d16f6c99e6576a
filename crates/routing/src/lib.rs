//! Choice of a target for a call.
//!
//! [`TargetPicker`] is the interface: the data plane passes the candidate targets and the known
//! load of each, and the picker returns the one to call.

mod hedge;
mod least_loss;
mod least_work;
mod load;
mod nearest;
mod picker;
mod quantile;
mod round_robin;

pub use hedge::{
    prompt_answer_justifies,
    HedgeContext,
    HedgePlan, //
};
pub use least_loss::{
    LeastLoss,
    TransitPrices, //
};
pub use least_work::LeastWork;
pub use load::{
    CallTimings,
    ExpectedCall,
    LoadReport,
    LoadTracker,
    RunCost, //
};
pub use nearest::keep_nearest;
pub use picker::{
    CallContext,
    Candidate,
    Distance,
    Picked,
    TargetPicker,
    TwoChoices,
    Weighed, //
};
pub use quantile::LatencyQuantile;
pub use round_robin::WeightedRoundRobin;
