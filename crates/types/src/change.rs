//! Identity and order of configuration changes.

use serde::{
    Deserialize,
    Serialize, //
};

/// Number of bits of an [`Offset`] that hold the index of the record.
const INDEX_BITS: u32 = 40;

/// Largest index; a larger one, which no log reaches, counts as this one.
const INDEX_MAX: u64 = (1 << INDEX_BITS) - 1;

/// Offset of a record in a stream of the platform's log; also the version of what the record
/// changed.
///
/// It is a pair of the log's era and the index within the era, since the log gives indexes out again
/// when it goes back to an older copy. Pairs are ordered by era first. The pair is packed into one
/// number, which in era 0 is the index itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset of the record with `index`, counted from 1, in `era`.
    pub fn in_era(era: LogEra, index: u64) -> Self {
        Self(u64::from(era.0) << INDEX_BITS | index.min(INDEX_MAX))
    }

    /// Returns the era of the log.
    pub fn era(self) -> LogEra {
        LogEra((self.0 >> INDEX_BITS) as u32)
    }

    /// Returns the index within the era.
    pub fn index(self) -> u64 {
        self.0 & INDEX_MAX
    }

    /// Returns the offset of the next record in the same era.
    pub fn next(self) -> Self {
        Self::in_era(self.era(), self.index() + 1)
    }
}

impl std::fmt::Display for Offset {
    /// Writes the index, after the era and a colon unless the era is 0.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let era = self.era();
        if era == LogEra(0) {
            return write!(f, "{}", self.0);
        }
        write!(f, "{era}:{}", self.index())
    }
}

/// Era of the platform's log. It rises each time the log goes back to an older copy of itself; then
/// it gives offsets out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogEra(pub u32);

impl LogEra {
    /// Returns whether this is era 0, of a log that names none.
    pub fn is_first(&self) -> bool {
        self.0 == 0
    }
}

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
    /// Era that the writer knew when it appended the record. It is before that of `offset` for a
    /// record that the log kept when it went back to an older copy.
    #[serde(default, skip_serializing_if = "LogEra::is_first")]
    pub written_era: LogEra,
    /// Time at which the log accepted the record, in milliseconds of the log's clock.
    pub appended_at_ms: u64,
    /// Text that the writer appended.
    pub body: String,
}
