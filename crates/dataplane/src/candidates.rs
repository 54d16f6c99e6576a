//! Targets that a node calls for a service and subset, cached until the view changes.

use std::rc::Rc;
use std::sync::Arc;

use figway_control::{
    has_labels,
    View, //
};
use figway_profile::{
    Profile,
    Subset, //
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

/// Service, profile and subset whose targets are candidates for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateKey<'a> {
    pub(crate) service: &'a str,
    pub(crate) subset_name: &'a str,
    pub(crate) profile: &'a Profile,
    pub(crate) profile_name: &'a str,
}

/// Cache of candidate targets by service, profile and subset, for one view.
#[derive(Default)]
pub(crate) struct CandidateCache {
    view: Option<Arc<View>>,
    entries: FastMap<String, Rc<[TargetEntry]>>,
    /// Buffer for keys of `entries`: `SERVICE/PROFILE/SUBSET`.
    key_buffer: String,
}

impl CandidateCache {
    /// Returns the targets that `own` calls for `key`, nearest first.
    pub(crate) fn entries(
        &mut self,
        view: &Arc<View>,
        own: &Member,
        key: CandidateKey<'_>,
    ) -> Rc<[TargetEntry]> {
        if !self
            .view
            .as_ref()
            .is_some_and(|cached| Arc::ptr_eq(cached, view))
        {
            self.entries.clear();
            self.view = Some(Arc::clone(view));
        }
        self.key_buffer.clear();
        for part in [key.service, "/", key.profile_name, "/", key.subset_name] {
            self.key_buffer.push_str(part);
        }
        if let Some(entries) = self.entries.get(&self.key_buffer) {
            return Rc::clone(entries);
        }
        let entries: Rc<[TargetEntry]> = Rc::from(build_entries(view, own, key));
        self.entries
            .insert(self.key_buffer.clone(), Rc::clone(&entries));
        entries
    }
}

/// Returns the serving targets of the subset, limited to the profile's `share_target_count`.
fn build_entries(view: &View, own: &Member, key: CandidateKey<'_>) -> Vec<TargetEntry> {
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
        if member.serving_target().is_none() || !has_labels(member, labels) {
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
