//! What is in force on this node: the table that calls are routed by.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_membership::MemberTable;
use figway_profile::{
    unresolved_references,
    EarlierPick,
    Fold,
    Profile,
    Resources,
    RouteIndex, //
};
use figway_types::{
    FastMap,
    Findings,
    Member,
    MemberState,
    Offset, //
};

/// Profile in force for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceInForce {
    /// Name of the profile.
    pub profile_name: String,
    /// Last record that changed what the service follows; only grows.
    pub version_offset: Offset,
    /// The profile.
    pub profile: Arc<Profile>,
}

/// A move that waits, whole, for what it refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldVersion {
    /// Version that is held.
    pub version_offset: Offset,
    /// Name of the profile.
    pub profile_name: String,
    /// What is missing.
    pub findings: Findings,
}

/// Everything that calls are routed by, swapped in one step.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Profile in force by service.
    pub services: FastMap<String, Arc<ServiceInForce>>,
    /// Members with a target, by service.
    pub targets: FastMap<String, Arc<[Arc<Member>]>>,
    /// Shortest way there and back to each zone, in microseconds.
    pub round_trips_us: FastMap<String, f64>,
    /// Moves that are held, by service.
    pub held: BTreeMap<String, HeldVersion>,
    /// Routes by host and path, of the newest table that was applied.
    pub routes: Arc<RouteIndex>,
    /// Nodes that have not left.
    pub node_count: usize,
}

impl View {
    /// Builds the next view; without `members` the targets stay as they are. A pick that can't be
    /// resolved yet is held whole, and the latest earlier pick that can be is in force instead;
    /// nothing goes back to an older version.
    pub fn rebuilt(&self, fold: &Fold, members: Option<&MemberTable>) -> View {
        let targets = match members {
            Some(members) => targets_by_service(members),
            None => self.targets.clone(),
        };
        let mut next = View {
            services: self.services.clone(),
            targets,
            round_trips_us: self.round_trips_us.clone(),
            held: BTreeMap::new(),
            routes: Arc::clone(&self.routes),
            node_count: members.map_or(self.node_count, MemberTable::present_count),
        };
        for (service, pick) in &fold.state().picks {
            let Some(version_offset) = fold.service_version(service) else {
                continue;
            };
            if self.version_in_force(service) >= version_offset {
                continue;
            }
            match next.resolve(fold, service, &pick.profile, version_offset) {
                Ok(in_force) => {
                    next.services.insert(service.clone(), Arc::new(in_force));
                }
                Err(held) => {
                    next.held.insert(service.clone(), held);
                    next.fall_back(fold, service, &pick.earlier);
                }
            }
        }
        next
    }

    /// Puts the latest of the earlier picks in force that can be resolved, if it is news.
    fn fall_back(&mut self, fold: &Fold, service: &str, earlier: &[EarlierPick]) {
        for pick in earlier {
            if self.version_in_force(service) >= pick.pick_offset {
                return;
            }
            // Counts as its pick alone, whatever was published since: it must stay older than the
            // pick that is held.
            let resolved = self.resolve(fold, service, &pick.profile, pick.pick_offset);
            let Ok(in_force) = resolved else {
                continue;
            };
            self.services.insert(service.to_owned(), Arc::new(in_force));
            return;
        }
    }

    fn resolve(
        &self,
        fold: &Fold,
        service: &str,
        profile_name: &str,
        version_offset: Offset,
    ) -> Result<ServiceInForce, HeldVersion> {
        let mut findings = Findings::default();
        let Some(profile) = fold.profile(profile_name) else {
            findings.add(profile_name, 0, "", "this release can't read the profile");
            return Err(HeldVersion {
                version_offset,
                profile_name: profile_name.to_owned(),
                findings,
            });
        };
        findings = unresolved_references(service, profile_name, profile, self);
        if !findings.is_empty() {
            return Err(HeldVersion {
                version_offset,
                profile_name: profile_name.to_owned(),
                findings,
            });
        }
        Ok(ServiceInForce {
            profile_name: profile_name.to_owned(),
            version_offset,
            profile: Arc::clone(profile),
        })
    }

    /// Returns the offset in force for `service`, 0 if none.
    pub fn version_in_force(&self, service: &str) -> Offset {
        self.services
            .get(service)
            .map_or(Offset(0), |in_force| in_force.version_offset)
    }
}

impl Resources for View {
    fn has_target(&self, service: &str, labels: &BTreeMap<String, String>) -> bool {
        let Some(members) = self.targets.get(service) else {
            return false;
        };
        members.iter().any(|member| has_labels(member, labels))
    }
}

/// Returns whether the member's target carries all of `labels`.
pub fn has_labels(member: &Member, labels: &BTreeMap<String, String>) -> bool {
    let Some(target) = &member.target else {
        return false;
    };
    for (name, value) in labels {
        if target.labels.get(name) != Some(value) {
            return false;
        }
    }
    true
}

fn targets_by_service(members: &MemberTable) -> FastMap<String, Arc<[Arc<Member>]>> {
    let mut lists: FastMap<String, Vec<Arc<Member>>> = FastMap::default();
    for member in members.members() {
        if member.state == MemberState::Left {
            continue;
        }
        let Some(target) = &member.target else {
            continue;
        };
        let list = lists.entry(target.service.clone()).or_default();
        list.push(Arc::new(member.clone()));
    }
    let mut by_service = FastMap::default();
    for (service, list) in lists {
        by_service.insert(service, Arc::from(list));
    }
    by_service
}
