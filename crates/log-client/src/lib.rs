//! Client of the platform's append-only log.
//!
//! [`LogService`] is the border: the control plane knows the log only as this trait.

mod http;

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

pub use http::HttpLog;

/// Stream of profiles and picks.
pub const CHANGE_STREAM: &str = "figway-changes";

/// Stream of recent announcements for first contact.
pub const CONTACT_STREAM: &str = "figway-contacts";

/// Returns the stream of one partition of claims.
pub fn claim_stream(partition: u32) -> String {
    format!("figway-claims-{partition}")
}

/// Where and when the log took a record in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Position in the stream.
    pub offset: Offset,
    /// Time of the log's clock, in milliseconds.
    pub appended_at_ms: u64,
}

/// Records of a stream from an offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// First offset that the log still keeps.
    pub first_offset: Offset,
    /// Offset that the next record will get.
    pub next_offset: Offset,
    /// Time of the log's clock, in milliseconds.
    pub now_ms: u64,
    /// Records in order; empty when none came before the deadline.
    pub records: Vec<LogRecord>,
}

/// Why an append gave no offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The log refused it; the record is not in the stream.
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

/// Why a read gave no page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Records from the wanted offset have expired; the first that is kept follows.
    Expired(Offset),
    /// The log did not answer, or not with a page.
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

/// The platform's log.
pub trait LogService {
    /// Appends one record.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: &'a str,
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<Appended, AppendError>>;

    /// Reads from `from_offset`; waits for a record until `wait_until`.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from_offset: Offset,
        wait_until: Instant,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>>;
}

/// What a read of the operator's route tables found.
#[derive(Clone, Debug)]
pub struct RoutePage {
    /// Newest of the tables that were read, if there was any.
    pub table: Option<RouteTable>,
    /// Offset behind what was read, from which reading goes on.
    pub next_offset: Offset,
}

/// The operator's route table on the platform, for deployments that have one.
pub trait RouteSource {
    /// Reads the newest table.
    fn newest(&self, deadline: Instant) -> LocalBoxFuture<'_, Result<RoutePage, ReadError>>;

    /// Reads what the operator wrote from `from_offset`; waits for it until `wait_until`.
    fn next(
        &self,
        from_offset: Offset,
        wait_until: Instant,
    ) -> LocalBoxFuture<'_, Result<RoutePage, ReadError>>;
}

/// Reads all records from `from_offset` to the head of `stream`.
///
/// # Errors
///
/// What the log answered instead.
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
        if more.records.is_empty() {
            return Ok(page);
        }
        page.records.extend(more.records);
        page.next_offset = more.next_offset;
        page.now_ms = more.now_ms;
    }
}

/// Reads all records from `from_offset`, or from the first that the log still keeps, to the head of
/// `stream`.
///
/// # Errors
///
/// The log is unavailable.
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
