//! Identity and order of configuration changes.

use serde::{
    Deserialize,
    Serialize, //
};

/// Offset of a record in a stream of the platform's log; also the version of what the record
/// changed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset of the next record.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Offset {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Era of the platform's log. It rises each time the log goes back to an older copy of itself; then
/// it gives offsets out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogEra(pub u32);

impl std::fmt::Display for LogEra {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Random identifier that a writer assigns to a change, so that it can find the change in the log
/// if the answer to its append was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub u64);

impl std::fmt::Display for ChangeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One record of a stream as the platform's log returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: Offset,
    /// Time at which the log accepted the record, in milliseconds of the log's clock.
    pub appended_at_ms: u64,
    /// Text that the writer appended.
    pub body: String,
}
