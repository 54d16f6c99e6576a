//! View of what is in force on this node, by which calls are routed.

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
    Offset,
    RunStage, //
};

/// Profile in force for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceInForce {
    /// Name of the profile.
    pub profile_name: String,
    /// Offset of the last record that changed the service's profile; it only grows.
    pub version_offset: Offset,
    /// Parsed profile.
    pub profile: Arc<Profile>,
}

/// Version of a service that is held as a whole until its references can be resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldVersion {
    /// Offset of the held version.
    pub version_offset: Offset,
    /// Name of the profile.
    pub profile_name: String,
    /// References that can't be resolved yet.
    pub findings: Findings,
}

/// Snapshot of everything by which calls are routed. It is replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Profiles in force, by service.
    pub services: FastMap<String, Arc<ServiceInForce>>,
    /// Members with a target, by service.
    pub targets: FastMap<String, Arc<[Arc<Member>]>>,
    /// Shortest measured round trip to each zone, in microseconds.
    pub round_trips_us: FastMap<String, f64>,
    /// Held versions, by service.
    pub held: BTreeMap<String, HeldVersion>,
    /// Routes by host and path, from the newest applied table.
    pub routes: Arc<RouteIndex>,
    /// Number of nodes that have not left.
    pub node_count: usize,
}

impl View {
    /// Builds the next view. Without `members` the targets stay as they are. A pick with
    /// references that can't be resolved yet is held as a whole, and the latest earlier pick that
    /// can be resolved is in force instead. No service returns to an older version.
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

    /// Puts the latest earlier pick that can be resolved in force, if it is newer than the version
    /// in force.
    fn fall_back(&mut self, fold: &Fold, service: &str, earlier: &[EarlierPick]) {
        for pick in earlier {
            if self.version_in_force(service) >= pick.pick_offset {
                return;
            }
            // Its version is the offset of the pick, even if its profile was published again
            // since: it must stay older than the held pick.
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

    /// Returns the version in force for `service`, 0 if none.
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

/// Returns whether the member has a target with all of `labels`.
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

/// Returns the members with a target by service. What the table knows of ending runs outweighs the
/// member records, since a node that started again may have forgotten what it acknowledged.
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
        match members.ending_runs().stage(&member.node_id, target) {
            Some(RunStage::Departed) => {}
            Some(RunStage::Draining) => list.push(Arc::new(as_draining(member))),
            None => list.push(Arc::new(member.clone())),
        }
    }
    let mut by_service = FastMap::default();
    for (service, list) in lists {
        by_service.insert(service, Arc::from(list));
    }
    by_service
}

fn as_draining(member: &Member) -> Member {
    let mut draining = member.clone();
    if let Some(target) = &mut draining.target {
        target.draining = true;
    }
    draining
}
