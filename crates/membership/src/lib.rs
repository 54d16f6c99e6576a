//! Member table: a node's view of the members of the mesh, merged from gossip.
//!
//! Updates of one member are ordered by generation, incarnation and state, and the greatest one
//! wins. Tables that have merged the same updates are therefore equal, whatever their order. Beside the
//! members, the table keeps the runs of targets that have begun to end. [`AnnouncementOrder`] tells which
//! announcement of a target is the latest.

mod announcement_order;
mod digest;
mod ending_runs;
mod links;
mod replication;
mod table;

pub use announcement_order::{
    AnnouncementOrder,
    AnnouncementVerdict,
    LatestAnnouncement,
    RunId, //
};
pub use digest::{
    Digest,
    BUCKET_COUNT, //
};
pub use ending_runs::{
    EndingRunBatch,
    EndingRuns, //
};
pub use links::{
    choose_links,
    LinkCounts, //
};
pub use replication::is_replicated;
pub use table::{
    MemberTable,
    MergeOutcome, //
};
