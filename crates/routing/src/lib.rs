//! Choice of a target for a call.
//!
//! [`TargetPicker`] is the border: the data plane offers candidates with what it knows of their
//! load and gets one back.

mod least_loss;
mod load;
mod picker;
mod quantile;
mod share;
mod split;

pub use least_loss::{
    LeastLoss,
    TransitPrices, //
};
pub use load::{
    LoadBook,
    LoadReport,
    Spent, //
};
pub use picker::{
    CallNeed,
    Candidate,
    Distance,
    Picked,
    TargetPicker,
    TwoChoices, //
};
pub use quantile::LatencyQuantile;
pub use share::stable_share;
pub use split::SplitBook;
