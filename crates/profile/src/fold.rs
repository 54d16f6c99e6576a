//! State of the mesh as a fold over the change stream.
//!
//! The fold is a pure function of the records' order, so every node that has read the same prefix
//! holds the same state and the same verdicts.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_types::{
    ChangeId,
    LogRecord,
    Offset, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::body::Profile;
use crate::check::parse_profile;
use crate::record::{
    Change,
    ChangeRecord, //
};

/// Earlier picks that a service keeps.
const EARLIER_PICK_MAX_COUNT: usize = 4;

/// Records for which the id of a change is remembered.
const CHANGE_ID_WINDOW_RECORDS: u64 = 4_096;

/// Last good version of a profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProfileVersion {
    /// Record that published it.
    pub version_offset: Offset,
    /// Profile in YAML, as published.
    pub body: String,
    /// Who published it.
    pub author: String,
}

/// Profile that a service follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pick {
    /// Record that switched the service.
    pub pick_offset: Offset,
    /// Name of the profile.
    pub profile: String,
    /// Picks of other profiles before this one, latest first.
    pub earlier: Vec<EarlierPick>,
    /// Who switched it.
    pub author: String,
}

/// An earlier pick of a service: what a retreat goes back to by default, and what a node falls back
/// on that can't resolve the later ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierPick {
    /// Record that switched the service.
    pub pick_offset: Offset,
    /// Name of the profile.
    pub profile: String,
}

/// What became of a change; the same on every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change is in the state.
    Accepted,
    /// An earlier change made the author's view stale.
    Lost {
        /// Record that won.
        winner_offset: Offset,
        /// Its author.
        winner: String,
    },
    /// A switch to a profile that has no good version.
    UnknownProfile,
    /// A profile that does not pass the check; its findings as text.
    Bad(String),
    /// The same change was folded before, at this offset.
    Repeated(Offset),
    /// The record is no change that this release can read.
    Unreadable,
    /// A snapshot; it changes nothing for a reader that is up to date.
    Snapshot,
}

/// What snapshots carry: everything that later records are judged by.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FoldState {
    /// Last record that is part of the state; 0 for none.
    pub as_of_offset: Offset,
    /// Time of the last snapshot in the stream, or of its first record, in milliseconds of the
    /// log's clock; what came since is only in the records.
    pub snapshot_at_ms: u64,
    /// Last good version of each profile.
    pub profiles: BTreeMap<String, ProfileVersion>,
    /// Pick of each service.
    pub picks: BTreeMap<String, Pick>,
    /// Offset of each change id of the window.
    pub change_ids: BTreeMap<ChangeId, Offset>,
}

/// A state with the parsed profiles that belong to it.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    state: FoldState,
    parsed: BTreeMap<String, Arc<Profile>>,
}

impl Fold {
    /// Starts from a snapshot's state.
    pub fn from_state(state: FoldState) -> Self {
        let mut parsed = BTreeMap::new();
        for (name, version) in &state.profiles {
            let Ok(profile) = parse_profile(name, &version.body) else {
                log::error!("could not parse profile {name} of a snapshot; it stays unresolved");
                continue;
            };
            parsed.insert(name.clone(), Arc::new(profile));
        }
        Self { state, parsed }
    }

    /// Returns the state.
    pub fn state(&self) -> &FoldState {
        &self.state
    }

    /// Returns the last record that was folded.
    pub fn as_of_offset(&self) -> Offset {
        self.state.as_of_offset
    }

    /// Returns the parsed last good version of a profile.
    pub fn profile(&self, name: &str) -> Option<&Arc<Profile>> {
        self.parsed.get(name)
    }

    /// Returns the offset of the last record that changed what `service` follows.
    pub fn service_version(&self, service: &str) -> Option<Offset> {
        let pick = self.state.picks.get(service)?;
        let version = self.state.profiles.get(&pick.profile)?;
        Some(pick.pick_offset.max(version.version_offset))
    }

    /// Folds one record. A record at or before the state is ignored and `None` returned, so late
    /// and crossed deliveries do no harm; the caller delivers without gaps.
    pub fn apply(&mut self, record: &LogRecord) -> Option<Verdict> {
        if record.offset <= self.state.as_of_offset {
            return None;
        }
        self.state.as_of_offset = record.offset;
        if self.state.snapshot_at_ms == 0 {
            self.state.snapshot_at_ms = record.appended_at_ms;
        }
        let verdict = self.judge(record);
        self.forget_old_ids();
        Some(verdict)
    }

    fn judge(&mut self, record: &LogRecord) -> Verdict {
        let Ok(change) = serde_json::from_str::<ChangeRecord>(&record.body) else {
            return Verdict::Unreadable;
        };
        if matches!(change.change, Change::Snapshot { .. }) {
            self.state.snapshot_at_ms = record.appended_at_ms;
            return Verdict::Snapshot;
        }
        if let Some(earlier) = self.state.change_ids.get(&change.change_id) {
            return Verdict::Repeated(*earlier);
        }
        self.state
            .change_ids
            .insert(change.change_id, record.offset);
        match change.change {
            Change::Publish {
                profile,
                expected_version_offset,
                body,
            } => self.publish(
                &profile,
                expected_version_offset,
                ProfileVersion {
                    version_offset: record.offset,
                    body,
                    author: change.author,
                },
            ),
            Change::Switch {
                service,
                expected_pick_offset,
                profile,
            } => self.switch(
                &service,
                expected_pick_offset,
                Pick {
                    pick_offset: record.offset,
                    profile,
                    earlier: Vec::new(),
                    author: change.author,
                },
            ),
            Change::Snapshot { .. } => Verdict::Snapshot,
        }
    }

    fn publish(&mut self, name: &str, expected: Offset, version: ProfileVersion) -> Verdict {
        if let Some(current) = self.state.profiles.get(name) {
            if current.version_offset != expected {
                return Verdict::Lost {
                    winner_offset: current.version_offset,
                    winner: current.author.clone(),
                };
            }
        }
        let profile = match parse_profile(name, &version.body) {
            Ok(profile) => profile,
            Err(findings) => return Verdict::Bad(findings.to_string()),
        };
        self.parsed.insert(name.to_owned(), Arc::new(profile));
        self.state.profiles.insert(name.to_owned(), version);
        Verdict::Accepted
    }

    fn switch(&mut self, service: &str, expected: Offset, mut pick: Pick) -> Verdict {
        if let Some(current) = self.state.picks.get(service) {
            if current.pick_offset != expected {
                return Verdict::Lost {
                    winner_offset: current.pick_offset,
                    winner: current.author.clone(),
                };
            }
        }
        if !self.state.profiles.contains_key(&pick.profile) {
            return Verdict::UnknownProfile;
        }
        if let Some(current) = self.state.picks.remove(service) {
            pick.earlier = earlier_picks(current, &pick.profile);
        }
        self.state.picks.insert(service.to_owned(), pick);
        Verdict::Accepted
    }

    fn forget_old_ids(&mut self) {
        let as_of = self.state.as_of_offset.0;
        if !as_of.is_multiple_of(64) {
            return;
        }
        let oldest = Offset(as_of.saturating_sub(CHANGE_ID_WINDOW_RECORDS));
        self.state.change_ids.retain(|_, offset| *offset > oldest);
    }
}

/// Returns the picks before one of `profile`, which replaces `current`.
fn earlier_picks(current: Pick, profile: &str) -> Vec<EarlierPick> {
    let mut earlier = vec![EarlierPick {
        pick_offset: current.pick_offset,
        profile: current.profile,
    }];
    earlier.extend(current.earlier);
    earlier.retain(|pick| pick.profile != profile);
    earlier.truncate(EARLIER_PICK_MAX_COUNT);
    earlier
}
