//! Changes that the log lost when it went back to an older copy of itself, while nodes still know them.

use std::collections::BTreeMap;

use figway_types::Offset;

use crate::fold::{
    FoldState,
    Pick,
    ProfileVersion, //
};
use crate::record::Change;

/// Change to append again.
#[derive(Clone, Debug, PartialEq)]
pub struct LostChange {
    /// Version that the change restores.
    pub restores: Offset,
    /// Author of the lost change.
    pub author: String,
    /// Change, on the condition that the log still holds the older version.
    pub change: Change,
}

/// Latest profiles and picks that were known before the log went back.
#[derive(Clone, Debug, Default)]
pub struct LostChanges {
    profiles: BTreeMap<String, ProfileVersion>,
    picks: BTreeMap<String, Pick>,
}

impl LostChanges {
    /// Adds all profiles and picks of `state`, unless later ones are known.
    pub fn remember(&mut self, state: &FoldState) {
        for (name, version) in &state.profiles {
            let known = self.profiles.get(name);
            if known.is_none_or(|known| known.authored_offset() < version.authored_offset()) {
                self.profiles.insert(name.clone(), version.clone());
            }
        }
        for (service, pick) in &state.picks {
            let known = self.picks.get(service);
            if known.is_none_or(|known| known.authored_offset() < pick.authored_offset()) {
                self.picks.insert(service.clone(), pick.clone());
            }
        }
    }

    /// Forgets what `state` holds, or has replaced by a later change.
    pub fn forget_held(&mut self, state: &FoldState) {
        self.profiles
            .retain(|name, lost| is_lost_version(lost, state.profiles.get(name)));
        self.picks
            .retain(|service, lost| is_lost_pick(lost, state.picks.get(service)));
    }

    /// Returns the changes that `state` lacks, profiles before the picks that need them.
    pub fn missing_from(&self, state: &FoldState) -> Vec<LostChange> {
        let mut changes = Vec::new();
        for (name, lost) in &self.profiles {
            let current = state.profiles.get(name);
            if !is_lost_version(lost, current) {
                continue;
            }
            changes.push(LostChange {
                restores: lost.authored_offset(),
                author: lost.author.clone(),
                change: Change::Publish {
                    profile: name.clone(),
                    expected_version_offset: current
                        .map_or(Offset(0), |current| current.version_offset),
                    body: lost.body.clone(),
                },
            });
        }
        for (service, lost) in &self.picks {
            let current = state.picks.get(service);
            if !is_lost_pick(lost, current) {
                continue;
            }
            changes.push(LostChange {
                restores: lost.authored_offset(),
                author: lost.author.clone(),
                change: Change::Switch {
                    service: service.clone(),
                    expected_pick_offset: current.map_or(Offset(0), |current| current.pick_offset),
                    profile: lost.profile.clone(),
                },
            });
        }
        changes
    }
}

fn is_lost_version(lost: &ProfileVersion, current: Option<&ProfileVersion>) -> bool {
    current.is_none_or(|current| current.authored_offset() < lost.authored_offset())
}

fn is_lost_pick(lost: &Pick, current: Option<&Pick>) -> bool {
    current.is_none_or(|current| current.authored_offset() < lost.authored_offset())
}
