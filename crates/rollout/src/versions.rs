//! Versions that the targets of a service run, and those to which a call may go.

use std::time::{
    Duration,
    Instant, //
};

use crate::order::ExposureLimits;
use crate::phase::Phase;
use crate::rollout::Rollout;

/// Time for which a version without an order gets a small share only, since its order may still be on
/// the way. After that it is an ordinary replacement.
const HOLD_BACK_TIME: Duration = Duration::from_secs(10);

/// Time after the end of a rollout for which targets of the version that lost get no calls, even if
/// they still announce themselves.
const LEAVE_TIME: Duration = Duration::from_secs(30);

/// Time after which a version that was stopped serves again if the service has no other one.
const ABANDON_AFTER: Duration = Duration::from_secs(60);

/// Largest number of versions that are distinguished, one for each bit of a mask. Targets of further
/// ones count as the last.
const VERSION_MAX_COUNT: usize = 64;

/// Set of versions, a bit for each by its place in [`ServiceVersions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionMask(pub u64);

impl VersionMask {
    /// All versions.
    pub const ALL: Self = Self(u64::MAX);

    /// Returns whether the version at `index` is in the set.
    pub fn contains(self, index: usize) -> bool {
        self.0 & bit(index) != 0
    }
}

#[derive(Clone, Debug)]
struct VersionUse {
    name: String,
    target_count: usize,
    /// Earliest start of its targets, in Unix milliseconds.
    started_at_ms: u64,
    /// When this node first saw a target of the version.
    seen_at: Instant,
}

/// Versions of the serving targets of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceVersions {
    versions: Vec<VersionUse>,
}

impl ServiceVersions {
    /// Counts the versions of `targets`, each given as version and start in Unix milliseconds. Takes over
    /// from `earlier` when each was first seen.
    pub fn count<'a>(
        targets: impl Iterator<Item = (&'a str, u64)>,
        earlier: Option<&ServiceVersions>,
        now: Instant,
    ) -> Self {
        let mut versions: Vec<VersionUse> = Vec::new();
        for (name, started_at_ms) in targets {
            let known = versions.iter().position(|version| version.name == name);
            if let Some(index) = known {
                versions[index].target_count += 1;
                versions[index].started_at_ms = versions[index].started_at_ms.min(started_at_ms);
                continue;
            }
            let seen_at = earlier.and_then(|earlier| earlier.seen_at(name));
            versions.push(VersionUse {
                name: name.to_owned(),
                target_count: 1,
                started_at_ms,
                seen_at: seen_at.unwrap_or(now),
            });
        }
        Self { versions }
    }

    /// Returns the place of a version.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.versions
            .iter()
            .position(|version| version.name == name)
    }

    /// Returns the version that most targets run; of several the one that started first.
    pub fn incumbent(&self) -> Option<&str> {
        let most = |version: &&VersionUse| {
            (
                version.target_count,
                std::cmp::Reverse(version.started_at_ms),
            )
        };
        Some(&self.versions.iter().max_by_key(most)?.name)
    }

    /// Chooses the versions to which a call of `route` may go. `draw` is a random number from 0 to 1, and
    /// `is_first` says whether this is the first attempt of the call.
    pub fn choose(
        &self,
        rollout: Option<&Rollout>,
        limits: &ExposureLimits,
        route: &str,
        draw: f64,
        is_first: bool,
        now: Instant,
    ) -> VersionMask {
        // Without an order targets of any version serve, so that replacing them one after the other by
        // another version changes nothing for callers.
        let Some(rollout) = rollout else {
            return VersionMask::ALL;
        };
        let chosen = self.choose_by_phase(rollout, limits, route, draw, is_first, now);
        if chosen.0 == 0 {
            return self.widen(rollout, now);
        }
        chosen
    }

    /// Chooses by the phase of the rollout alone. The mask is empty if no target of such a version is left.
    fn choose_by_phase(
        &self,
        rollout: &Rollout,
        limits: &ExposureLimits,
        route: &str,
        draw: f64,
        is_first: bool,
        now: Instant,
    ) -> VersionMask {
        let new = self.mask_of(&rollout.order().target_version);
        let others = self.all() & !new & !self.excluded(rollout);
        let ended_ago = now.saturating_duration_since(rollout.phase_since());
        let base = rollout.base().or(self.incumbent_among(others));
        match rollout.phase() {
            Phase::Completed if new == 0 => VersionMask(others),
            Phase::Completed if ended_ago < LEAVE_TIME => VersionMask(new),
            Phase::Completed => {
                let incumbent = Some(rollout.order().target_version.as_str());
                self.hold_back(new | others, incumbent, limits, draw, now)
            }
            Phase::Stopped | Phase::RolledBack => self.hold_back(others, base, limits, draw, now),
            Phase::Canary | Phase::Rising | Phase::Full => {
                let share = rollout.share(route, limits, now);
                let takes_new = share >= 1.0 || is_first && draw < share;
                if others == 0 || new != 0 && takes_new {
                    return VersionMask(new);
                }
                // The rest of the draw is uniform from 0 to 1, so that it serves for a second decision.
                let rest = ((draw - share) / (1.0 - share)).clamp(0.0, 1.0);
                self.hold_back(others, base, limits, rest, now)
            }
        }
    }

    /// Returns the versions of a call for which the phase of the rollout leaves none: those of earlier
    /// orders. If there are none either, a version that was stopped gets calls only after a time, since a
    /// node that is cut off from the others may see no targets but those of the stopped version.
    fn widen(&self, rollout: &Rollout, now: Instant) -> VersionMask {
        let new = self.mask_of(&rollout.order().target_version);
        let excluded = self.all() & !new;
        let is_stopped = matches!(rollout.phase(), Phase::Stopped | Phase::RolledBack);
        let stopped_ago = now.saturating_duration_since(rollout.phase_since());
        if excluded == 0 && is_stopped && stopped_ago >= ABANDON_AFTER {
            return VersionMask(new);
        }
        VersionMask(excluded)
    }

    /// Returns the versions of `mask` without those that have neither an order nor most of the targets,
    /// but for a small share of the calls.
    fn hold_back(
        &self,
        mask: u64,
        incumbent: Option<&str>,
        limits: &ExposureLimits,
        draw: f64,
        now: Instant,
    ) -> VersionMask {
        let mut total = 0;
        let mut held = 0;
        let mut held_count = 0;
        for (index, version) in self.versions.iter().enumerate() {
            if mask & bit(index) != 0 {
                total += version.target_count;
            }
        }
        for (index, version) in self.versions.iter().enumerate() {
            let is_young = now.saturating_duration_since(version.seen_at) < HOLD_BACK_TIME;
            let is_minor = version.target_count * 2 <= total;
            let is_incumbent = incumbent == Some(version.name.as_str());
            if mask & bit(index) != 0 && is_young && is_minor && !is_incumbent {
                held |= bit(index);
                held_count += version.target_count;
            }
        }
        if held == 0 || held == mask {
            return VersionMask(mask);
        }
        let share = limits.canary_share().min(held_count as f64 / total as f64);
        VersionMask(if draw < share { held } else { mask & !held })
    }

    fn incumbent_among(&self, mask: u64) -> Option<&str> {
        let mut among = Vec::new();
        for (index, version) in self.versions.iter().enumerate() {
            if mask & bit(index) != 0 {
                among.push(version.clone());
            }
        }
        let among = Self { versions: among };
        let name = among.incumbent()?.to_owned();
        let index = self.index_of(&name)?;
        Some(&self.versions[index].name)
    }

    fn all(&self) -> u64 {
        let mut mask = 0;
        for index in 0..self.versions.len() {
            mask |= bit(index);
        }
        mask
    }

    fn excluded(&self, rollout: &Rollout) -> u64 {
        let mut mask = 0;
        for version in rollout.excluded_versions() {
            mask |= self.mask_of(version);
        }
        mask
    }

    fn mask_of(&self, name: &str) -> u64 {
        self.index_of(name).map_or(0, bit)
    }

    fn seen_at(&self, name: &str) -> Option<Instant> {
        Some(self.versions[self.index_of(name)?].seen_at)
    }
}

fn bit(index: usize) -> u64 {
    1 << index.min(VERSION_MAX_COUNT - 1)
}
