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
    /// Identifier of the change; the same for each attempt to append it.
    pub change_id: ChangeId,
    /// Version that this change restores, if it repeats one that the log lost when it went back to an
    /// older copy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restores: Option<Offset>,
    /// Author of the change; shown to an operator whose concurrent change lost.
    pub author: String,
    /// Change to apply.
    pub change: Change,
}

/// Kind and content of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Publishes a new version of a profile.
    Publish {
        /// Name of the profile.
        profile: String,
        /// Offset of the version that the author expects to replace; 0 for none.
        expected_version_offset: Offset,
        /// Profile in YAML.
        body: String,
    },
    /// Switches a service to a profile.
    Switch {
        /// Name of the service.
        service: String,
        /// Offset of the pick that the author expects to replace; 0 for none.
        expected_pick_offset: Offset,
        /// Name of the picked profile.
        profile: String,
    },
    /// Records the state as of an earlier offset, for readers whose next records have expired.
    Snapshot {
        /// State after applying the records up to and including `as_of_offset`.
        state: Box<FoldState>,
    },
}

impl ChangeRecord {
    /// Returns the record in JSON, as the body of a log record.
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).expect("a record of strings and numbers has a JSON form")
    }
}
