//! Record of the runs of targets that have begun to end, for deployments whose platform keeps the
//! newest record of each key.

use std::time::Instant;

use figway_types::{
    EndingRun,
    LogEra, //
};
use futures::future::LocalBoxFuture;

use crate::{
    AppendError,
    ReadError, //
};

/// Ending runs in the log.
#[derive(Clone, Debug)]
pub struct EndingRunPage {
    /// Runs of all nodes' targets, also those whose report has expired and was not removed yet.
    pub runs: Vec<EndingRun>,
    /// Era of the log at the time of the read.
    pub era: LogEra,
}

/// Log of the runs of targets that have begun to end. It holds one record of each run, and keeps it
/// until it is removed.
pub trait EndingRunLog {
    /// Reads all records.
    ///
    /// # Errors
    ///
    /// [`ReadError::Unavailable`] if the log did not answer before `deadline`.
    fn read_ending_runs(
        &self,
        deadline: Instant,
    ) -> LocalBoxFuture<'_, Result<EndingRunPage, ReadError>>;

    /// Records runs, in place of earlier records of the same ones. Returns the era of the log that
    /// holds them.
    ///
    /// # Errors
    ///
    /// [`AppendError::Refused`] if the log holds none of them. [`AppendError::Unknown`] if it may hold
    /// them.
    fn record_ending_runs<'a>(
        &'a self,
        runs: &'a [EndingRun],
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<LogEra, AppendError>>;

    /// Removes the records of runs.
    ///
    /// # Errors
    ///
    /// As for [`EndingRunLog::record_ending_runs`].
    fn remove_ending_runs<'a>(
        &'a self,
        runs: &'a [EndingRun],
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<(), AppendError>>;
}
