//! Records that operators and readers append to the change stream.

use figway_types::{
    ChangeId,
    Offset, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::fold::FoldState;

/// One record of the change stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Identity of the change, the same for each try to append it.
    pub change_id: ChangeId,
    /// Who made the change, as the operator is told when a race is lost.
    pub author: String,
    /// What changes.
    pub change: Change,
}

/// What a record changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A new version of a profile.
    Publish {
        /// Name of the profile.
        profile: String,
        /// Version that the author saw; 0 for none.
        expected_version_offset: Offset,
        /// Profile in YAML.
        body: String,
    },
    /// A service picks a profile.
    Switch {
        /// Name of the service.
        service: String,
        /// Pick that the author saw; 0 for none.
        expected_pick_offset: Offset,
        /// Name of the profile that it picks.
        profile: String,
    },
    /// State as of an earlier offset, for readers whose records have expired.
    Snapshot {
        /// State that the records up to and with `as_of_offset` fold to.
        state: Box<FoldState>,
    },
}

impl ChangeRecord {
    /// Writes the record as the text of a log record.
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).expect("a record of strings and numbers has a JSON form")
    }
}
