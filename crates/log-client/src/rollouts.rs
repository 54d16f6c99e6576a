//! Orders of rollouts and the log of their statuses, for deployments whose platform has them.

use std::time::Instant;

use figway_rollout::{
    RolloutOrder,
    RolloutStatus,
    StatusRecord, //
};
use figway_types::Offset;
use futures::future::LocalBoxFuture;

use crate::{
    AppendError,
    ReadError, //
};

/// Order of a rollout with its place in the operator's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Order.
    pub order: RolloutOrder,
    /// Offset of its record.
    pub offset: Offset,
}

/// Newest statuses in the log.
#[derive(Clone, Debug)]
pub struct StatusPage {
    /// Newest status of each service.
    pub statuses: Vec<StatusRecord>,
    /// End of the log before which all of them lie.
    pub end_offset: Offset,
}

/// Log of the statuses of rollouts.
pub trait StatusLog {
    /// Reads the newest status of each service.
    ///
    /// # Errors
    ///
    /// [`ReadError::Unavailable`] if the log did not answer before `deadline`.
    fn read_statuses(&self, deadline: Instant)
        -> LocalBoxFuture<'_, Result<StatusPage, ReadError>>;

    /// Appends a status if the log still ends at `end_offset`.
    ///
    /// # Errors
    ///
    /// [`AppendError::Refused`] if the status is not in the log, as it ends elsewhere or was not
    /// reached. [`AppendError::Unknown`] if the status may be in the log.
    fn append_status<'a>(
        &'a self,
        status: &'a RolloutStatus,
        end_offset: Offset,
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<(), AppendError>>;
}
