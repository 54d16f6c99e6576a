//! Estimates of what requests cost.
//!
//! The run time of a request is the cost of its class times the factor of the target that runs it.
//! [`CostModel`] learns the costs, [`TargetFactor`] the factor of one target from the run times of all
//! classes together, and [`Spread`] how run times are distributed around the expected one. There is no
//! clock here: callers pass the time.

mod cells;
mod factor;
mod model;
mod spread;

pub use factor::TargetFactor;
pub use model::{
    CostModel,
    RequestClass, //
};
pub use spread::Spread;
