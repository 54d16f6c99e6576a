//! Targets that a node calls for a service and subset, cached until the view changes.

use std::fmt::Write as _;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use figway_control::{
    has_labels,
    View, //
};
use figway_profile::{
    Profile,
    Subset, //
};
use figway_rollout::{
    ServiceVersions,
    VersionMask, //
};
use figway_routing::{
    keep_nearest,
    Candidate,
    Distance, //
};
use figway_types::{
    FastMap,
    Member,
    MemberState, //
};

/// A candidate target with its distance from this node.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub(crate) member: Arc<Member>,
    pub(crate) distance: Distance,
    pub(crate) round_trip_us: f64,
}

impl TargetEntry {
    /// Returns the target in the form that target pickers use, without a rate limit.
    pub(crate) fn candidate(&self) -> Candidate<'_> {
        let target = self.member.target.as_ref();
        Candidate {
            node_id: &self.member.node_id,
            slot_count: target.map_or(1, |target| target.slot_count),
            rate_limit: None,
            distance: self.distance,
            round_trip_us: self.round_trip_us,
            suspect: self.member.state == MemberState::Suspect,
        }
    }
}

/// Service, profile, subset and versions whose targets are candidates for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateKey<'a> {
    pub(crate) service: &'a str,
    pub(crate) subset_name: &'a str,
    pub(crate) profile: &'a Profile,
    pub(crate) profile_name: &'a str,
    pub(crate) versions: VersionMask,
}

/// Versions of a service's targets, and whether they were counted in the present view.
struct CountedVersions {
    versions: ServiceVersions,
    is_current: bool,
}

/// Cache of candidate targets by service, profile, subset and versions, for one view.
#[derive(Default)]
pub(crate) struct CandidateCache {
    view: Option<Arc<View>>,
    entries: FastMap<String, Rc<[TargetEntry]>>,
    versions: FastMap<String, CountedVersions>,
    /// Buffer for keys of `entries`: `SERVICE/PROFILE/SUBSET/VERSIONS`.
    key_buffer: String,
}

impl CandidateCache {
    /// Returns the versions that the serving targets of `service` run.
    pub(crate) fn versions(&mut self, view: &Arc<View>, service: &str) -> &ServiceVersions {
        self.enter_view(view);
        let known = self.versions.get(service);
        if known.is_none_or(|known| !known.is_current) {
            let earlier = known.map(|known| &known.versions);
            let counted = CountedVersions {
                versions: count_versions(view, service, earlier),
                is_current: true,
            };
            self.versions.insert(service.to_owned(), counted);
        }
        &self.versions[service].versions
    }

    /// Returns the targets that `own` calls for `key`, nearest first.
    pub(crate) fn entries(
        &mut self,
        view: &Arc<View>,
        own: &Member,
        key: CandidateKey<'_>,
    ) -> Rc<[TargetEntry]> {
        self.enter_view(view);
        self.key_buffer.clear();
        for part in [key.service, "/", key.profile_name, "/", key.subset_name] {
            self.key_buffer.push_str(part);
        }
        write!(self.key_buffer, "/{:x}", key.versions.0).expect("a string takes any text");
        if let Some(entries) = self.entries.get(&self.key_buffer) {
            return Rc::clone(entries);
        }
        // Versions are counted in each view, also without a rollout, so that for a later order it is
        // known how long each version has been present.
        let versions = self.versions(view, key.service);
        let entries: Rc<[TargetEntry]> = Rc::from(build_entries(view, own, key, versions));
        self.entries
            .insert(self.key_buffer.clone(), Rc::clone(&entries));
        entries
    }

    /// Drops what was cached for another view.
    fn enter_view(&mut self, view: &Arc<View>) {
        let cached = self.view.as_ref();
        if cached.is_some_and(|cached| Arc::ptr_eq(cached, view)) {
            return;
        }
        self.entries.clear();
        for counted in self.versions.values_mut() {
            counted.is_current = false;
        }
        self.view = Some(Arc::clone(view));
    }
}

fn count_versions(
    view: &View,
    service: &str,
    earlier: Option<&ServiceVersions>,
) -> ServiceVersions {
    let members = view.targets.get(service);
    let members = members.into_iter().flat_map(|members| members.iter());
    let serving = members.filter_map(|member| member.serving_target());
    let versions = serving.map(|target| (target.version(), target.started_at_ms));
    ServiceVersions::count(versions, earlier, Instant::now())
}

/// Returns the serving targets of the subset and the versions, limited to the profile's `share_target_count`.
fn build_entries(
    view: &View,
    own: &Member,
    key: CandidateKey<'_>,
    versions: &ServiceVersions,
) -> Vec<TargetEntry> {
    let all_targets = Subset::default();
    let subset = key.profile.subsets.get(key.subset_name);
    let labels = &subset.unwrap_or(&all_targets).labels;
    let mut entries = Vec::new();
    for member in view
        .targets
        .get(key.service)
        .into_iter()
        .flat_map(|members| members.iter())
    {
        let Some(target) = member.serving_target() else {
            continue;
        };
        let place = versions.index_of(target.version());
        let is_chosen = place.is_none_or(|index| key.versions.contains(index));
        if !is_chosen || !has_labels(member, labels) {
            continue;
        }
        let distance = distance(own, member);
        let measured_us = view.round_trips_us.get(&member.zone).copied();
        entries.push(TargetEntry {
            distance,
            round_trip_us: match distance {
                Distance::Host => 0.0,
                _ => measured_us.unwrap_or(distance.assumed_round_trip_us()),
            },
            member: Arc::clone(member),
        });
    }
    let mut candidates: Vec<Candidate<'_>> = entries.iter().map(TargetEntry::candidate).collect();
    keep_nearest(
        &own.node_id,
        &mut candidates,
        key.profile.limits.share_target_count,
    );
    let mut kept_entries = Vec::new();
    for candidate in candidates {
        for entry in &entries {
            if entry.member.node_id == *candidate.node_id {
                kept_entries.push(entry.clone());
            }
        }
    }
    kept_entries
}

fn distance(own: &Member, member: &Member) -> Distance {
    if member.node_id == own.node_id {
        return Distance::Host;
    }
    if member.zone == own.zone {
        return Distance::Zone;
    }
    if member.region == own.region {
        return Distance::Region;
    }
    Distance::Far
}
