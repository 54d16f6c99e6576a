//! Applied route table and its recent changes, which are kept for peers that are slightly behind.

use std::collections::VecDeque;
use std::sync::Arc;

use figway_profile::{
    RouteChange,
    RouteTable, //
};

/// Largest number of changes that are kept.
const CHANGE_MAX_COUNT: usize = 256;

/// Applied table and recent changes, oldest first. The version only grows.
#[derive(Debug, Default)]
pub(crate) struct RouteHistory {
    table: Arc<RouteTable>,
    changes: VecDeque<Arc<RouteChange>>,
}

impl RouteHistory {
    /// Returns the applied table.
    pub(crate) fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Replaces the table if the new one is newer; returns whether it did.
    pub(crate) fn replace(&mut self, table: RouteTable) -> bool {
        if table.version <= self.table.version {
            return false;
        }
        if self.table.version == 0 {
            self.changes.clear();
        } else {
            self.push_change(table.change_since(&self.table));
        }
        self.table = Arc::new(table);
        true
    }

    /// Applies the change if its base is the applied version; returns whether it did.
    pub(crate) fn apply(&mut self, change: &RouteChange) -> bool {
        let Some(next) = self.table.apply(change) else {
            return false;
        };
        self.push_change(change.clone());
        self.table = Arc::new(next);
        true
    }

    /// Returns the changes from `version` to the applied version, if they are still kept and
    /// change at most `changed_max_count` routes and customers together.
    pub(crate) fn changes_after(
        &self,
        version: u64,
        changed_max_count: usize,
    ) -> Option<Vec<Arc<RouteChange>>> {
        if version == self.table.version {
            return Some(Vec::new());
        }
        let first = self
            .changes
            .iter()
            .position(|change| change.base_version == version)?;
        let mut changes = Vec::new();
        let mut changed_count = 0;
        for change in self.changes.iter().skip(first) {
            changed_count += change.entry_count();
            if changed_count > changed_max_count {
                return None;
            }
            changes.push(Arc::clone(change));
        }
        Some(changes)
    }

    fn push_change(&mut self, change: RouteChange) {
        self.changes.push_back(Arc::new(change));
        if self.changes.len() > CHANGE_MAX_COUNT {
            self.changes.pop_front();
        }
    }
}
