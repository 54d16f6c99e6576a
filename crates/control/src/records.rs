//! Recent records of the change stream, kept for peers that are a little behind.

use std::collections::VecDeque;

use figway_types::{
    LogRecord,
    Offset, //
};

/// Records that are kept at most.
const RECORD_MAX_COUNT: usize = 2_048;

/// Text that is kept at most.
const TEXT_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// Run of records without a gap.
#[derive(Debug, Default)]
pub(crate) struct RecentRecords {
    run: VecDeque<LogRecord>,
    text_bytes: usize,
}

impl RecentRecords {
    /// Adds the next record; a gap starts a new run.
    pub(crate) fn push(&mut self, record: &LogRecord) {
        if let Some(last) = self.run.back() {
            if last.offset.next() != record.offset {
                self.clear();
            }
        }
        self.text_bytes += record.body.len();
        self.run.push_back(record.clone());
        while self.run.len() > RECORD_MAX_COUNT || self.text_bytes > TEXT_MAX_BYTES {
            let Some(oldest) = self.run.pop_front() else {
                return;
            };
            self.text_bytes -= oldest.body.len();
        }
    }

    /// Forgets all records.
    pub(crate) fn clear(&mut self) {
        self.run.clear();
        self.text_bytes = 0;
    }

    /// Returns all records after `offset`, or none if some of them are gone.
    pub(crate) fn after(&self, offset: Offset) -> Option<Vec<LogRecord>> {
        let first = self.run.front()?;
        if first.offset > offset.next() {
            return None;
        }
        let skip = (offset.next().0 - first.offset.0) as usize;
        Some(self.run.iter().skip(skip).cloned().collect())
    }
}
