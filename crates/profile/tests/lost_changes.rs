//! Changes that a log loses when it goes back to an older copy are restored by nodes that know them:
//! random changes, restores of the log, nodes that lag behind, and nodes that restore at once.

use std::collections::BTreeMap;

use figway_profile::{
    Change,
    ChangeRecord,
    Fold,
    LostChanges, //
};
use figway_test_support::fixed_seed_config;
use figway_types::{
    ChangeId,
    LogEra,
    LogRecord,
    Offset, //
};
use proptest::prelude::*;

const SERVICES: [&str; 2] = ["stockdesk", "orderbook"];
const PROFILES: [&str; 3] = ["steady", "trial", "fallback"];
const NODE_COUNT: usize = 3;
const BODY: &str =
    "kinds:\n  - {name: all, method: GET, path_prefix: /, idempotent: true, worth: 1, \
                    budget_ms: 500}\n";

#[derive(Clone, Debug)]
enum Op {
    /// An operator switches a service; a node that does not read then lags behind.
    Switch {
        service: usize,
        profile: usize,
        reads: [bool; NODE_COUNT],
    },
    /// The log goes back by some records, and the nodes restore in the given order, of which the
    /// first two see the same log.
    Restore { lost_count: usize, order: usize },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..2_usize, 0..3_usize, prop::array::uniform3(prop::bool::ANY)).prop_map(
            |(service, profile, reads)| Op::Switch { service, profile, reads }
        ),
        1 => (0..5_usize, 0..6_usize).prop_map(
            |(lost_count, order)| Op::Restore { lost_count, order }
        ),
    ]
}

#[derive(Default)]
struct Log {
    era: u32,
    records: Vec<(LogEra, String)>,
}

impl Log {
    fn append(&mut self, record: &ChangeRecord) {
        self.records.push((LogEra(self.era), record.to_body()));
    }

    fn records(&self) -> Vec<LogRecord> {
        let mut records = Vec::new();
        for (index, (written_era, body)) in self.records.iter().enumerate() {
            records.push(LogRecord {
                offset: Offset::in_era(LogEra(self.era), index as u64 + 1),
                written_era: *written_era,
                appended_at_ms: 1,
                body: body.clone(),
            });
        }
        records
    }

    fn fold(&self) -> Fold {
        let mut fold = Fold::default();
        for record in self.records() {
            fold.apply(&record);
        }
        fold
    }
}

struct Mesh {
    log: Log,
    folds: Vec<Fold>,
    lost: Vec<LostChanges>,
    next_id: u64,
    /// Latest pick of each service that any node has read.
    known_picks: BTreeMap<&'static str, &'static str>,
    /// Picks that no node has read, in the order of the log.
    unread: Vec<UnreadPick>,
}

struct UnreadPick {
    log_index: usize,
    service: &'static str,
    profile: &'static str,
}

impl Mesh {
    fn new() -> Self {
        let mut mesh = Self {
            log: Log::default(),
            folds: vec![Fold::default(); NODE_COUNT],
            lost: vec![LostChanges::default(); NODE_COUNT],
            next_id: 1,
            known_picks: BTreeMap::new(),
            unread: Vec::new(),
        };
        for profile in PROFILES {
            mesh.append(
                Change::Publish {
                    profile: profile.to_owned(),
                    expected_version_offset: Offset(0),
                    body: BODY.to_owned(),
                },
                None,
            );
        }
        mesh.read([true; NODE_COUNT]);
        mesh
    }

    fn append(&mut self, change: Change, restores: Option<Offset>) {
        let record = ChangeRecord {
            change_id: ChangeId(self.next_id),
            restores,
            author: "operator".to_owned(),
            change,
        };
        self.next_id += 1;
        self.log.append(&record);
    }

    fn read(&mut self, reads: [bool; NODE_COUNT]) {
        for (fold, reads) in self.folds.iter_mut().zip(reads) {
            if !reads {
                continue;
            }
            for record in self.log.records() {
                fold.apply(&record);
            }
        }
    }

    fn switch(&mut self, service: &'static str, profile: &'static str, reads: [bool; NODE_COUNT]) {
        let fold = self.log.fold();
        let current = fold.state().picks.get(service);
        let expected_pick_offset = current.map_or(Offset(0), |pick| pick.pick_offset);
        self.append(
            Change::Switch {
                service: service.to_owned(),
                expected_pick_offset,
                profile: profile.to_owned(),
            },
            None,
        );
        self.unread.push(UnreadPick {
            log_index: self.log.records.len() - 1,
            service,
            profile,
        });
        self.read(reads);
        if reads.contains(&true) {
            self.know_picks_before(self.log.records.len());
        }
    }

    /// Counts the picks before `log_index` as read.
    fn know_picks_before(&mut self, log_index: usize) {
        for pick in &self.unread {
            if pick.log_index < log_index {
                self.known_picks.insert(pick.service, pick.profile);
            }
        }
        self.unread.clear();
    }

    fn restore(&mut self, lost_count: usize, order: usize) {
        // The profiles are older than every copy.
        let kept_count = self.log.records.len().saturating_sub(lost_count);
        let kept_count = kept_count.max(PROFILES.len());
        self.know_picks_before(kept_count);
        self.log.records.truncate(kept_count);
        self.log.era += 1;
        for (fold, lost) in self.folds.iter_mut().zip(&mut self.lost) {
            lost.remember(fold.state());
            *fold = self.log.fold();
        }
        let orders = [
            [0, 1, 2],
            [0, 2, 1],
            [1, 0, 2],
            [1, 2, 0],
            [2, 0, 1],
            [2, 1, 0],
        ];
        let [first, second, third] = orders[order];
        let seen = self.log.fold();
        for node in [first, second] {
            self.append_missing(node, &seen);
        }
        for node in [third, first, second] {
            let seen = self.log.fold();
            self.append_missing(node, &seen);
        }
        self.read([true; NODE_COUNT]);
    }

    fn append_missing(&mut self, node: usize, seen: &Fold) {
        for lost in self.lost[node].missing_from(seen.state()) {
            self.append(lost.change, Some(lost.restores));
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(48, 256))]

    #[test]
    fn the_latest_change_that_any_node_has_read_survives_every_restore(
        ops in prop::collection::vec(op(), 1..30),
    ) {
        let mut mesh = Mesh::new();
        for op in ops {
            match op {
                Op::Switch { service, profile, reads } => {
                    mesh.switch(SERVICES[service], PROFILES[profile], reads);
                }
                Op::Restore { lost_count, order } => {
                    mesh.restore(lost_count, order);
                    let fold = mesh.log.fold();
                    for node in 0..NODE_COUNT {
                        prop_assert_eq!(mesh.folds[node].state(), fold.state());
                        let missing = mesh.lost[node].missing_from(fold.state());
                        prop_assert!(missing.is_empty(), "{:?}", missing);
                    }
                    for (service, profile) in &mesh.known_picks {
                        let pick = fold.state().picks.get(*service);
                        let in_force = pick.map(|pick| pick.profile.as_str());
                        prop_assert_eq!(in_force, Some(*profile), "{}", service);
                    }
                }
            }
        }
    }
}
