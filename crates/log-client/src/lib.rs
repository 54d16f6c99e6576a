//! Client of the platform's append-only log.
//!
//! The control plane uses the log only through the trait [`LogService`], and the operator's route
//! tables only through [`RouteSource`].

mod ending_runs;
mod http;
mod rollouts;

use std::time::Instant;

use figway_profile::RouteTable;
use figway_types::{
    LogRecord,
    Offset, //
};
use futures::future::LocalBoxFuture;
use serde::{
    Deserialize,
    Serialize, //
};

pub use ending_runs::{
    EndingRunLog,
    EndingRunPage, //
};
pub use http::HttpLog;
pub use rollouts::{
    OrderRecord,
    StatusLog,
    StatusPage, //
};

/// Stream of profiles and picks.
pub const CHANGE_STREAM: &str = "figway-changes";

/// Stream of recent control addresses of nodes, which a starting node reads to join the mesh.
pub const CONTACT_STREAM: &str = "figway-contacts";

/// Returns the name of the stream that holds one partition of the claims.
pub fn claim_stream(partition: u32) -> String {
    format!("figway-claims-{partition}")
}

/// Offset and time that the log assigned to an appended record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the record in the stream.
    pub offset: Offset,
    /// Time of the append in milliseconds, by the log's clock, or by the writer's clock if the log
    /// records no times.
    pub appended_at_ms: u64,
}

/// Result of a read: records of a stream, starting at the requested offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// First offset that the log still retains.
    pub first_offset: Offset,
    /// Offset that the next appended record will get.
    pub next_offset: Offset,
    /// Time of the read in milliseconds, by the log's clock, or by the reader's clock if the log
    /// records no times.
    pub now_ms: u64,
    /// Records in order; empty if none was appended before the deadline.
    pub records: Vec<LogRecord>,
}

/// Error of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The log refused the record or was not reached; the record is not in the stream.
    Refused(String),
    /// The answer was lost; the record may be in the stream.
    Unknown(String),
}

impl std::fmt::Display for AppendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AppendError::Refused(why) => write!(f, "the log refused the record: {why}"),
            AppendError::Unknown(why) => write!(f, "the log gave no answer: {why}"),
        }
    }
}

impl std::error::Error for AppendError {}

/// Error of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Records at the requested offset have expired. Holds the first retained offset.
    Expired(Offset),
    /// The log did not answer, or its answer was not a page.
    Unavailable(String),
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ReadError::Expired(first) => write!(f, "records before offset {first} have expired"),
            ReadError::Unavailable(why) => write!(f, "the log is unavailable: {why}"),
        }
    }
}

impl std::error::Error for ReadError {}

/// The platform's append-only log.
pub trait LogService {
    /// Appends one record to `stream`.
    ///
    /// # Errors
    ///
    /// [`AppendError::Refused`] if the record is not in the stream. [`AppendError::Unknown`] if the
    /// answer was lost or `deadline` passed, so that the record may be in the stream.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: &'a str,
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<Appended, AppendError>>;

    /// Reads records of `stream` from `from_offset`. If there are none, waits for one until
    /// `wait_until`.
    ///
    /// # Errors
    ///
    /// [`ReadError::Expired`] if the records at `from_offset` have expired.
    /// [`ReadError::Unavailable`] if the log returned no page in time.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from_offset: Offset,
        wait_until: Instant,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>>;
}

/// Result of a read of the operator's route tables.
#[derive(Clone, Debug)]
pub struct RoutePage {
    /// Newest of the tables that were read, if any.
    pub table: Option<RouteTable>,
    /// Orders of rollouts that were read; of a read of the newest table the newest order of each
    /// service.
    pub orders: Vec<OrderRecord>,
    /// Offset from which the next read continues.
    pub next_offset: Offset,
    /// Offset after the last record of the source at the time of the read.
    pub end_offset: Offset,
}

/// Source of the operator's route tables, for deployments whose platform has one.
pub trait RouteSource {
    /// Reads the newest table.
    ///
    /// # Errors
    ///
    /// [`ReadError::Unavailable`] if the source did not answer before `deadline`, or if the table
    /// could not be decoded.
    fn newest(&self, deadline: Instant) -> LocalBoxFuture<'_, Result<RoutePage, ReadError>>;

    /// Reads the tables that the operator wrote from `from_offset` on. If there are none, waits for
    /// one until `wait_until`.
    ///
    /// # Errors
    ///
    /// [`ReadError::Expired`] if the records at `from_offset` have expired.
    /// [`ReadError::Unavailable`] if the source did not answer before `deadline`.
    fn next(
        &self,
        from_offset: Offset,
        wait_until: Instant,
        deadline: Instant,
    ) -> LocalBoxFuture<'_, Result<RoutePage, ReadError>>;
}

/// Reads all records from `from_offset` to the head of `stream`.
///
/// # Errors
///
/// The error of the first read that failed.
pub async fn read_to_head(
    log: &dyn LogService,
    stream: &str,
    from_offset: Offset,
) -> Result<Page, ReadError> {
    let mut page = log.read(stream, from_offset, Instant::now()).await?;
    loop {
        let Some(last) = page.records.last() else {
            return Ok(page);
        };
        if last.offset.next() >= page.next_offset {
            return Ok(page);
        }
        let more = log.read(stream, last.offset.next(), Instant::now()).await?;
        if more.next_offset.era() != page.next_offset.era() {
            let why = "the log went back to an older copy during the read".to_owned();
            return Err(ReadError::Unavailable(why));
        }
        if more.records.is_empty() {
            return Ok(page);
        }
        page.records.extend(more.records);
        page.next_offset = more.next_offset;
        page.now_ms = more.now_ms;
    }
}

/// Reads all records from `from_offset` to the head of `stream`. If records at `from_offset` have
/// expired, reads from the first offset that the log still retains.
///
/// # Errors
///
/// The log is unavailable, or further records expired during the read.
pub async fn read_retained(
    log: &dyn LogService,
    stream: &str,
    from_offset: Offset,
) -> Result<Page, ReadError> {
    match read_to_head(log, stream, from_offset).await {
        Err(ReadError::Expired(first_offset)) => read_to_head(log, stream, first_offset).await,
        result => result,
    }
}
