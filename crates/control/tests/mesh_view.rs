//! Differential tests of the view against a naive replay, while records arrive late and out of
//! order, snapshots of any age are installed, and targets appear and disappear.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_control::{
    newest_snapshot,
    Mesh,
    ServiceInForce, //
};
use figway_profile::{
    Change,
    ChangeRecord,
    Fold, //
};
use figway_test_support::{
    fixed_seed_config,
    live_member, //
};
use figway_types::{
    ChangeId,
    LogEra,
    LogRecord,
    Member,
    NodeId,
    Offset,
    Target, //
};
use proptest::prelude::*;

const PLAIN: &str = "kinds:\n  - {name: lookup, path_prefix: /}\n";
const TRIAL: &str = "subsets:\n  trial:\n    labels: {track: trial}\n\
                     kinds:\n  - {name: lookup, path_prefix: /, subset: trial}\n";
const NESTED: &str = "kinds:\n  - {name: price, path_prefix: /p, service: certlib}\n\
                      \x20 - {name: lookup, path_prefix: /}\n";
const BODIES: [&str; 3] = [PLAIN, TRIAL, NESTED];
const SERVICES: [&str; 2] = ["stockdesk", "certlib"];

#[derive(Clone, Debug)]
enum Op {
    /// Applies a slice of the stream, in order, with any start.
    Apply(usize, usize),
    /// Installs the state of a prefix of the stream, older or newer than the applied one.
    Install(usize),
    /// Announces or removes the target of a host.
    Target {
        host: u8,
        service: usize,
        trial: bool,
        present: bool,
    },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0..40_usize, 1..8_usize).prop_map(|(from, count)| Op::Apply(from, count)),
        1 => (0..40_usize).prop_map(Op::Install),
        3 => (0..3_u8, 0..2_usize, prop::bool::ANY, prop::bool::weighted(0.7)).prop_map(
            |(host, service, trial, present)| Op::Target { host, service, trial, present }
        ),
    ]
}

fn stream() -> impl Strategy<Value = Vec<LogRecord>> {
    let change = prop_oneof![
        (0..3_usize, 0..3_usize).prop_map(|(profile, body)| (true, profile, body)),
        (0..2_usize, 0..3_usize).prop_map(|(service, profile)| (false, service, profile)),
    ];
    prop::collection::vec(change, 1..40).prop_map(|changes| {
        let mut fold = Fold::default();
        let mut records = Vec::new();
        for (index, (publish, first, second)) in changes.into_iter().enumerate() {
            let change = if publish {
                let profile = format!("profile-{first}");
                let known = fold.state().profiles.get(&profile);
                Change::Publish {
                    expected_version_offset: known.map_or(Offset(0), |known| known.version_offset),
                    profile,
                    body: BODIES[second].to_owned(),
                }
            } else {
                let known = fold.state().picks.get(SERVICES[first]);
                Change::Switch {
                    service: SERVICES[first].to_owned(),
                    expected_pick_offset: known.map_or(Offset(0), |known| known.pick_offset),
                    profile: format!("profile-{second}"),
                }
            };
            let record = LogRecord {
                offset: Offset(index as u64 + 1),
                written_era: LogEra::default(),
                appended_at_ms: 1,
                body: ChangeRecord {
                    change_id: ChangeId(index as u64),
                    restores: None,
                    author: "operator".to_owned(),
                    change,
                }
                .to_body(),
            };
            fold.apply(&record);
            records.push(record);
        }
        records
    })
}

fn member(name: &str) -> Member {
    live_member(name, "muscat", "muscat-a")
}

/// Returns the fold of each prefix of `records`, indexed by its last offset.
fn folds_of(records: &[LogRecord]) -> Vec<Fold> {
    let mut folds = vec![Fold::default()];
    for record in records {
        let mut fold = folds[folds.len() - 1].clone();
        fold.apply(record);
        folds.push(fold);
    }
    folds
}

struct World {
    mesh: Arc<Mesh>,
    records: Vec<LogRecord>,
    folds: Vec<Fold>,
    applied: Offset,
    versions: BTreeMap<String, Offset>,
}

impl World {
    fn run(&mut self, op: &Op) {
        match op {
            Op::Apply(from, count) => {
                let from = from % self.records.len();
                let to = (from + count).min(self.records.len());
                self.mesh.apply_records(&self.records[from..to]);
            }
            Op::Install(prefix) => {
                let offset = Offset((prefix % (self.records.len() + 1)) as u64);
                let state = self.folds[offset.0 as usize].state().clone();
                self.mesh.install_state(state);
            }
            Op::Target {
                host,
                service,
                trial,
                present,
            } => {
                let name = NodeId(format!("host-{host}"));
                let mut changed = {
                    let members = self.mesh.members();
                    members
                        .get(&name)
                        .cloned()
                        .unwrap_or_else(|| member(&name.0))
                };
                changed.incarnation += 1;
                changed.target = present.then(|| target(SERVICES[*service], *trial));
                self.mesh.merge_members(&[changed]);
                self.mesh.rebuild_view();
            }
        }
    }

    /// Checks the invariants that hold after every step.
    fn check(&mut self) {
        let applied = self.mesh.applied_offset();
        assert!(applied >= self.applied, "the applied offset went back");
        self.applied = applied;
        let view = self.mesh.view();
        for (service, in_force) in &view.services {
            let version = in_force.version_offset;
            let earlier = self.versions.insert(service.clone(), version);
            assert!(
                earlier.is_none_or(|earlier| earlier <= version),
                "the version in force went back"
            );
            // The profile in force equals that of a replay up to its version, as a whole.
            let naive = &self.folds[version.0 as usize];
            let pick = &naive.state().picks[service];
            assert_eq!(pick.profile, in_force.profile_name);
            let body = self.body_in_force(service, in_force);
            if earlier != Some(version) {
                self.check_references(service, &body);
            }
        }
        // The newest version of each picked service is in force or held.
        let naive = &self.folds[applied.0 as usize];
        for service in naive.state().picks.keys() {
            let version = naive.service_version(service).unwrap();
            let in_force = view.version_in_force(service) == version;
            assert!(
                in_force || view.held.contains_key(service),
                "the newest version of {service} is neither in force nor held"
            );
        }
    }

    /// Returns the whole body of the profile in force. It is the body at the version in force;
    /// only an earlier pick that is in force in place of a held one may have a later body of its
    /// profile.
    fn body_in_force(&self, service: &str, in_force: &ServiceInForce) -> String {
        let name = &in_force.profile_name;
        let version = in_force.version_offset.0 as usize;
        let held = self.mesh.view().held.contains_key(service);
        let last = if held { self.folds.len() - 1 } else { version };
        for fold in &self.folds[version..=last] {
            if fold.profile(name) == Some(&in_force.profile) {
                return fold.state().profiles[name].body.clone();
            }
        }
        panic!("the profile in force for {service} was never published");
    }

    /// Checks that all references of a version that just came into force resolve to a target.
    fn check_references(&self, service: &str, body: &str) {
        let members = self.mesh.members();
        let has = |service: &str, trial: bool| {
            members.members().any(|member| {
                member.target.as_ref().is_some_and(|target| {
                    target.service == service && (!trial || target.labels.contains_key("track"))
                })
            })
        };
        assert!(has(service, body == TRIAL));
        assert!(body != NESTED || has("certlib", false));
    }
}

fn target(service: &str, trial: bool) -> Target {
    let mut labels = BTreeMap::new();
    if trial {
        labels.insert("track".to_owned(), "trial".to_owned());
    }
    Target {
        service: service.to_owned(),
        instance: String::new(),
        started_at_ms: 0,
        address: "127.0.0.1:3".to_owned(),
        slot_count: 1,
        labels,
        draining: false,
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(45, 256))]

    #[test]
    fn versions_in_force_never_go_back_and_are_whole_and_resolved(
        records in stream(),
        ops in prop::collection::vec(op(), 0..80),
    ) {
        let mut world = World {
            mesh: Mesh::new("al-ramla", member("own"), None, 1),
            folds: folds_of(&records),
            records,
            applied: Offset(0),
            versions: BTreeMap::new(),
        };
        for op in &ops {
            world.run(op);
            world.check();
        }
    }

    #[test]
    fn newest_snapshot_leaves_no_gap_and_is_newer_than_the_applied_offset(
        snapshots in prop::collection::vec((1..60_u64, 0..60_u64), 0..8),
        first in 1..60_u64,
        applied in 0..60_u64,
    ) {
        let mut records = Vec::new();
        for (offset, as_of) in &snapshots {
            if offset < &first || as_of >= offset {
                continue;
            }
            let mut state = Fold::default().state().clone();
            state.as_of_offset = Offset(*as_of);
            let change = Change::Snapshot { state: Box::new(state) };
            let record = ChangeRecord {
                change_id: ChangeId(1),
                restores: None,
                author: String::new(),
                change,
            };
            records.push(LogRecord {
                offset: Offset(*offset),
                written_era: LogEra::default(),
                appended_at_ms: 1,
                body: record.to_body(),
            });
        }
        let usable = |as_of: &u64| as_of + 1 >= first && *as_of > applied;
        let mut best = None;
        for (offset, as_of) in &snapshots {
            if *offset >= first && as_of < offset && usable(as_of) {
                best = best.max(Some(*as_of));
            }
        }
        let found = newest_snapshot(&records, Offset(first), Offset(applied));
        prop_assert_eq!(found.map(|state| state.as_of_offset.0), best);
    }
}

#[test]
fn a_retreat_does_not_wait_for_the_references_of_a_held_version() {
    let mesh = Mesh::new("al-ramla", member("own"), None, 1);
    let mut host = member("host");
    host.target = Some(target("stockdesk", false));
    mesh.merge_members(&[host]);
    mesh.rebuild_view();
    let record = |offset, change| LogRecord {
        offset: Offset(offset),
        written_era: LogEra::default(),
        appended_at_ms: 1,
        body: ChangeRecord {
            change_id: ChangeId(offset),
            restores: None,
            author: "operator".to_owned(),
            change,
        }
        .to_body(),
    };
    let publish = |profile: &str, body: &str| Change::Publish {
        profile: profile.to_owned(),
        expected_version_offset: Offset(0),
        body: body.to_owned(),
    };
    let switch = |expected, profile: &str| Change::Switch {
        service: "stockdesk".to_owned(),
        expected_pick_offset: Offset(expected),
        profile: profile.to_owned(),
    };
    mesh.apply_records(&[
        record(1, publish("steady", PLAIN)),
        record(2, publish("trial", TRIAL)),
        record(3, switch(0, "steady")),
        record(4, switch(3, "trial")),
    ]);
    assert_eq!(mesh.view().version_in_force("stockdesk"), Offset(3));
    assert!(mesh.view().held.contains_key("stockdesk"));
    mesh.apply_records(&[record(5, switch(4, "steady"))]);
    assert_eq!(mesh.view().version_in_force("stockdesk"), Offset(5));
    assert!(mesh.view().held.is_empty());
    // A target that the replaced version lacked has no effect any more.
    let mut trial_host = member("trial-host");
    trial_host.target = Some(target("stockdesk", true));
    mesh.merge_members(&[trial_host]);
    mesh.rebuild_view();
    assert_eq!(mesh.view().services["stockdesk"].profile_name, "steady");
    assert!(mesh.view().version_in_force("stockdesk") == Offset(5));
}
