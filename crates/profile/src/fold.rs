//! State of the mesh as a fold over the change stream.
//!
//! The fold is a pure function of the records and their order, so every node that has applied the
//! same prefix of the stream has the same state and the same verdicts.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_types::{
    ChangeId,
    LogEra,
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

/// Maximum number of earlier picks kept for a service.
const EARLIER_PICK_MAX_COUNT: usize = 4;

/// Number of records for which change ids are kept, to detect repeated changes.
const CHANGE_ID_WINDOW_RECORDS: u64 = 4_096;

/// Last valid version of a profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProfileVersion {
    /// Offset of the record that published the version.
    pub version_offset: Offset,
    /// Version that this one restores after the log lost it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restored_offset: Option<Offset>,
    /// Profile in YAML, as published.
    pub body: String,
    /// Author who published the version.
    pub author: String,
}

impl ProfileVersion {
    /// Returns the offset at which an author published the version: that of the restored one, if it
    /// restores one.
    pub fn authored_offset(&self) -> Offset {
        self.restored_offset.unwrap_or(self.version_offset)
    }
}

/// Profile that a service follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pick {
    /// Offset of the record that switched the service.
    pub pick_offset: Offset,
    /// Pick that this one restores after the log lost it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restored_offset: Option<Offset>,
    /// Name of the profile.
    pub profile: String,
    /// Earlier picks of other profiles, latest first.
    pub earlier: Vec<EarlierPick>,
    /// Author who switched the service.
    pub author: String,
}

impl Pick {
    /// Returns the offset at which an author switched the service: that of the restored pick, if it
    /// restores one.
    pub fn authored_offset(&self) -> Offset {
        self.restored_offset.unwrap_or(self.pick_offset)
    }
}

/// Earlier pick of a service. By default a retreat switches to the latest one; a node falls back to
/// one if it can't resolve the later picks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierPick {
    /// Offset of the record that switched the service.
    pub pick_offset: Offset,
    /// Name of the profile.
    pub profile: String,
}

/// Result of applying a record; the same on every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change was applied to the state.
    Accepted,
    /// An earlier change replaced the version or pick that the author expected.
    Lost {
        /// Offset of the earlier change.
        winner_offset: Offset,
        /// Author of the earlier change.
        winner: String,
    },
    /// The change switches to a profile that has no valid version.
    UnknownProfile,
    /// The published profile is invalid; contains the findings as text.
    Bad(String),
    /// A record with the same change id was already applied, at this offset.
    Repeated(Offset),
    /// This release can't decode the record as a change.
    Unreadable,
    /// The record is a snapshot, which changes nothing for a reader that is up to date.
    Snapshot,
}

/// State stored in snapshots: everything that the verdicts on later records depend on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FoldState {
    /// Offset of the last record that was applied; 0 for none.
    pub as_of_offset: Offset,
    /// Latest era in which a record was written so far.
    #[serde(default, skip_serializing_if = "LogEra::is_first")]
    pub written_era: LogEra,
    /// Time of the last snapshot in the stream, or of the first record if there is none, in
    /// milliseconds of the log's clock. Later changes are not in a snapshot, only in the records.
    pub snapshot_at_ms: u64,
    /// Last valid version of each profile.
    pub profiles: BTreeMap<String, ProfileVersion>,
    /// Current pick of each service.
    pub picks: BTreeMap<String, Pick>,
    /// Offset of each change id in the window of recent records.
    pub change_ids: BTreeMap<ChangeId, Offset>,
}

/// State of the mesh, with its profiles parsed.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    state: FoldState,
    parsed: BTreeMap<String, Arc<Profile>>,
}

impl Fold {
    /// Creates a fold that continues from the state of a snapshot.
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

    /// Returns the offset of the last record that was applied.
    pub fn as_of_offset(&self) -> Offset {
        self.state.as_of_offset
    }

    /// Returns the last valid version of a profile, parsed.
    pub fn profile(&self, name: &str) -> Option<&Arc<Profile>> {
        self.parsed.get(name)
    }

    /// Returns the offset of the last record that switched `service` or published a new version of
    /// its profile.
    pub fn service_version(&self, service: &str) -> Option<Offset> {
        let pick = self.state.picks.get(service)?;
        let version = self.state.profiles.get(&pick.profile)?;
        Some(pick.pick_offset.max(version.version_offset))
    }

    /// Applies one record and returns its verdict. Ignores a record that is not after the last
    /// applied one and returns `None`, so late and overlapping deliveries are harmless. The caller
    /// must deliver records without gaps.
    pub fn apply(&mut self, record: &LogRecord) -> Option<Verdict> {
        if record.offset <= self.state.as_of_offset {
            return None;
        }
        self.state.as_of_offset = record.offset;
        self.state.written_era = self.state.written_era.max(record.written_era);
        if self.state.snapshot_at_ms == 0 {
            self.state.snapshot_at_ms = record.appended_at_ms;
        }
        let verdict = self.apply_new(record);
        self.prune_change_ids();
        Some(verdict)
    }

    fn apply_new(&mut self, record: &LogRecord) -> Verdict {
        let Ok(change) = serde_json::from_str::<ChangeRecord>(&record.body) else {
            return Verdict::Unreadable;
        };
        // A version keeps its offset when the log goes back to an older copy that holds it.
        let version_offset = Offset::in_era(self.state.written_era, record.offset.index());
        if matches!(change.change, Change::Snapshot { .. }) {
            self.state.snapshot_at_ms = record.appended_at_ms;
            return Verdict::Snapshot;
        }
        if let Some(earlier) = self.state.change_ids.get(&change.change_id) {
            return Verdict::Repeated(*earlier);
        }
        self.state
            .change_ids
            .insert(change.change_id, version_offset);
        match change.change {
            Change::Publish {
                profile,
                expected_version_offset,
                body,
            } => self.publish(
                &profile,
                expected_version_offset,
                ProfileVersion {
                    version_offset,
                    restored_offset: change.restores,
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
                    pick_offset: version_offset,
                    restored_offset: change.restores,
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

    fn prune_change_ids(&mut self) {
        let as_of_index = self.state.as_of_offset.index();
        if !as_of_index.is_multiple_of(64) {
            return;
        }
        let oldest_index = as_of_index.saturating_sub(CHANGE_ID_WINDOW_RECORDS);
        self.state
            .change_ids
            .retain(|_, offset| offset.index() > oldest_index);
    }
}

/// Returns the earlier picks of a new pick of `profile` that replaces `current`.
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
