//! What is in force on this node: the table that calls are routed by.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_membership::MemberTable;
use figway_profile::{
    unresolved_references,
    Fold,
    Profile,
    Resources, //
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
pub struct HeldMove {
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
    /// Moves that are held, by service.
    pub held: BTreeMap<String, HeldMove>,
}

impl View {
    /// Builds the next view; without `members` the targets stay as they are. What can't be resolved
    /// yet keeps its earlier version in force; nothing goes back to an older one.
    pub fn next(&self, fold: &Fold, members: Option<&MemberTable>) -> View {
        let targets = match members {
            Some(members) => targets_by_service(members),
            None => self.targets.clone(),
        };
        let mut next = View {
            services: self.services.clone(),
            targets,
            held: BTreeMap::new(),
        };
        for (service, pick) in &fold.state().picks {
            let Some(version_offset) = fold.service_version(service) else {
                continue;
            };
            let in_force = self.services.get(service);
            if in_force.is_some_and(|current| current.version_offset >= version_offset) {
                continue;
            }
            let Some(profile) = fold.profile(&pick.profile) else {
                continue;
            };
            let findings = unresolved_references(service, &pick.profile, profile, &next);
            if !findings.is_empty() {
                let held = HeldMove {
                    version_offset,
                    profile_name: pick.profile.clone(),
                    findings,
                };
                next.held.insert(service.clone(), held);
                continue;
            }
            let in_force = ServiceInForce {
                profile_name: pick.profile.clone(),
                version_offset,
                profile: Arc::clone(profile),
            };
            next.services.insert(service.clone(), Arc::new(in_force));
        }
        next
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
