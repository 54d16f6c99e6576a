//! Admission of calls beside a target, the retry budget, and the quarantine of requests that crash
//! targets.

mod admission;
mod estimate;
mod pacer;
mod quarantine;
mod retry_budget;

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
