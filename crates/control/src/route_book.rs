//! Route table that was applied last, and the changes that led to it, kept for peers that are a
//! little behind.

use std::collections::VecDeque;
use std::sync::Arc;

use figway_profile::{
    RouteChange,
    RouteTable, //
};

/// Changes that are kept at most.
const CHANGE_MAX_COUNT: usize = 256;

/// Applied table and recent changes; the version only grows.
#[derive(Debug, Default)]
pub(crate) struct RouteBook {
    table: Arc<RouteTable>,
    changes: VecDeque<Arc<RouteChange>>,
}

impl RouteBook {
    /// Returns the applied table.
    pub(crate) fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Takes a whole table over, if it is newer; returns whether it is.
    pub(crate) fn adopt(&mut self, table: RouteTable) -> bool {
        if table.version <= self.table.version {
            return false;
        }
        if self.table.version == 0 {
            self.changes.clear();
        } else {
            self.keep(table.change_since(&self.table));
        }
        self.table = Arc::new(table);
        true
    }

    /// Applies a change that starts from the applied version; returns whether it does.
    pub(crate) fn apply(&mut self, change: &RouteChange) -> bool {
        let Some(next) = self.table.apply(change) else {
            return false;
        };
        self.keep(change.clone());
        self.table = Arc::new(next);
        true
    }

    /// Returns the changes that lead from `version` to the applied one, if they are at hand and change
    /// at most `changed_max_count` routes.
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
            changed_count += change.changed.len() + change.removed.len();
            if changed_count > changed_max_count {
                return None;
            }
            changes.push(Arc::clone(change));
        }
        Some(changes)
    }

    fn keep(&mut self, change: RouteChange) {
        self.changes.push_back(Arc::new(change));
        if self.changes.len() > CHANGE_MAX_COUNT {
            self.changes.pop_front();
        }
    }
}
