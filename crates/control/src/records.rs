//! Recent records of the change stream, which are kept for peers that are slightly behind.

use std::collections::VecDeque;

use figway_types::{
    LogRecord,
    Offset, //
};

/// Largest number of records that are kept.
const RECORD_MAX_COUNT: usize = 2_048;

/// Largest total size of the record bodies that are kept, in bytes.
const BODY_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// Consecutive records, without a gap in their offsets.
#[derive(Debug, Default)]
pub(crate) struct RecentRecords {
    records: VecDeque<LogRecord>,
    body_bytes: usize,
}

impl RecentRecords {
    /// Appends a record. A gap before it removes all earlier records.
    pub(crate) fn push(&mut self, record: &LogRecord) {
        if let Some(last) = self.records.back() {
            if last.offset.next() != record.offset {
                self.clear();
            }
        }
        self.body_bytes += record.body.len();
        self.records.push_back(record.clone());
        while self.records.len() > RECORD_MAX_COUNT || self.body_bytes > BODY_MAX_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.body_bytes -= oldest.body.len();
        }
    }

    /// Removes all records.
    pub(crate) fn clear(&mut self) {
        self.records.clear();
        self.body_bytes = 0;
    }

    /// Returns all records after `offset`, or `None` if some of them are no longer kept.
    pub(crate) fn after(&self, offset: Offset) -> Option<Vec<LogRecord>> {
        let first = self.records.front()?;
        if first.offset > offset.next() {
            return None;
        }
        let skip = (offset.next().0 - first.offset.0) as usize;
        Some(self.records.iter().skip(skip).cloned().collect())
    }
}
