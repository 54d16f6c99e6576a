//! Member table: what a node believes of every other, merged from rumours.
//!
//! A report about a node is ranked by generation, incarnation and state; the greater one wins, so
//! tables that have heard the same reports are equal whatever their order.

mod digest;
mod links;
mod table;

pub use digest::{
    Digest,
    BUCKET_COUNT, //
};
pub use links::{
    choose_links,
    LinkCounts, //
};
pub use table::{
    MemberTable,
    MergeOutcome, //
};
