//! Versions of earlier rollouts of a service that did not complete.

use std::collections::BTreeMap;

use figway_types::Offset;
use serde::{
    Deserialize,
    Serialize, //
};

/// Largest number of versions, which bounds the size of messages. Those of the latest orders are kept.
const VERSION_MAX_COUNT: usize = 8;

/// Versions, each with the offset of its last order. Which ones are kept depends on the offsets and
/// names alone, so that all nodes keep the same ones, in whatever sequence they learn of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExcludedVersions(BTreeMap<String, Offset>);

impl ExcludedVersions {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the names of the versions.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Adds a version of the order at `offset`.
    pub(crate) fn add(&mut self, version: &str, offset: Offset) {
        let known = self.0.entry(version.to_owned()).or_insert(offset);
        *known = offset.max(*known);
        while self.0.len() > VERSION_MAX_COUNT {
            let earliest = self.0.iter().min_by_key(|(name, offset)| (**offset, *name));
            let Some(earliest) = earliest.map(|(name, _)| name.clone()) else {
                return;
            };
            self.0.remove(&earliest);
        }
    }

    /// Removes a version.
    pub(crate) fn remove(&mut self, version: &str) {
        self.0.remove(version);
    }

    /// Adds the versions of `other`. Returns whether this changed anything.
    pub(crate) fn merge(&mut self, other: &ExcludedVersions) -> bool {
        let before = self.clone();
        for (version, offset) in &other.0 {
            self.add(version, *offset);
        }
        *self != before
    }
}
