//! Choice of a target for a call.
//!
//! [`TargetPicker`] is the border: the data plane offers candidates with what it knows of their
//! load and gets one back.

mod load;
mod picker;
mod quantile;
mod share;
mod split;

pub use load::{
    LoadBook,
    LoadReport, //
};
pub use picker::{
    Candidate,
    Distance,
    Picked,
    TargetPicker,
    TwoChoices, //
};
pub use quantile::LatencyQuantile;
pub use share::stable_share;
pub use split::SplitBook;
