//! Admission of calls beside a target, the retry budget, the calls at work in a run of a target, and
//! the quarantine of requests that crash targets.

mod admission;
mod answers;
mod attempt_counts;
mod body_pacer;
mod crash_report;
mod customer_throttle;
mod estimate;
mod pacer;
mod parents;
mod quarantine;
mod retry_budget;
mod run_book;
mod shares;
mod suspicion;
mod throttle;

pub use admission::{
    Admission,
    AdmissionLimits,
    AdmitOutcome,
    CallView,
    Dequeued,
    Ticket, //
};
pub use attempt_counts::{
    AttemptCounts,
    Treatment, //
};
pub use body_pacer::{
    checked_pace,
    ArrivalBounds,
    BodyPacer,
    TooSlow, //
};
pub use crash_report::{
    run_id,
    CrashReport,
    ReportBatch,
    SurvivalReport, //
};
pub use customer_throttle::CustomerThrottle;
pub use parents::{
    OpenCall,
    ParentSearch,
    PossibleParents, //
};
pub use quarantine::Quarantine;
pub use retry_budget::RetryBudget;
pub use run_book::{
    CallEnding,
    RunBook,
    Suspect,
    GIVEN_UP_TTL, //
};
pub use shares::{
    may_wait_above_share,
    queue_rank,
    ShareHolder,
    Shares, //
};
pub use throttle::Throttle;
