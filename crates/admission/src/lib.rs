//! Admission of calls beside a target, the retry budget, the calls at work in a run of a target, and
//! the quarantine of requests that crash targets.

mod admission;
mod estimate;
mod pacer;
mod quarantine;
mod retry_budget;
mod run_book;

pub use admission::{
    Admission,
    AdmissionLimits,
    AdmitOutcome,
    CallView,
    Dequeued,
    Ticket, //
};
pub use quarantine::{
    run_id,
    CrashReport,
    Quarantine,
    ReportBatch,
    SurvivalReport, //
};
pub use retry_budget::RetryBudget;
pub use run_book::{
    CallEnding,
    RunBook,
    Suspect, //
};
