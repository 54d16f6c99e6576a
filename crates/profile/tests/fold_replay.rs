//! Compares the fold with a naive replay of all records, under concurrent switches, repeated change
//! ids, invalid profiles, late and duplicate deliveries, and snapshots.

use std::collections::BTreeMap;

use figway_profile::{
    Change,
    ChangeRecord,
    Fold,
    FoldState,
    Verdict, //
};
use figway_test_support::fixed_seed_config;
use figway_types::{
    ChangeId,
    LogEra,
    LogRecord,
    Offset, //
};
use proptest::prelude::*;

const VALID: &str = "kinds:\n  - name: lookup\n    path_prefix: /\n";
const INVALID: &str = "kinds: []\n";

#[derive(Clone, Debug)]
enum Op {
    Publish {
        profile: u8,
        is_valid: bool,
        is_fresh: bool,
        id: u8,
    },
    Switch {
        service: u8,
        profile: u8,
        is_fresh: bool,
        id: u8,
    },
    Garbage,
}

fn op() -> impl Strategy<Value = Op> {
    let is_fresh = prop::bool::weighted(0.8);
    let id = prop_oneof![Just(0_u8), 1..200_u8];
    prop_oneof![
        4 => (0..3_u8, prop::bool::weighted(0.8), is_fresh, id.clone())
            .prop_map(|(profile, is_valid, is_fresh, id)| {
                Op::Publish { profile, is_valid, is_fresh, id }
            }),
        6 => (0..4_u8, 0..4_u8, prop::bool::weighted(0.8), id)
            .prop_map(|(service, profile, is_fresh, id)| {
                Op::Switch { service, profile, is_fresh, id }
            }),
        1 => Just(Op::Garbage),
    ]
}

/// State and verdicts of the naive replay.
#[derive(Clone, Debug, Default, PartialEq)]
struct Naive {
    profiles: BTreeMap<String, (u64, String)>,
    picks: BTreeMap<String, (u64, String)>,
    verdicts: Vec<String>,
}

/// Replays all records from the first one; searches the earlier records for a repeated change id.
fn replay(records: &[LogRecord]) -> Naive {
    let mut naive = Naive::default();
    for (index, record) in records.iter().enumerate() {
        let verdict = naive_verdict(&mut naive, records, index, record);
        naive.verdicts.push(verdict);
    }
    naive
}

fn naive_verdict(
    naive: &mut Naive,
    records: &[LogRecord],
    index: usize,
    record: &LogRecord,
) -> String {
    let Ok(change) = serde_json::from_str::<ChangeRecord>(&record.body) else {
        return "unreadable".to_owned();
    };
    for earlier in &records[..index] {
        let Ok(earlier_change) = serde_json::from_str::<ChangeRecord>(&earlier.body) else {
            continue;
        };
        if earlier_change.change_id == change.change_id {
            return format!("repeated {}", earlier.offset);
        }
    }
    match change.change {
        Change::Publish {
            profile,
            expected_version_offset,
            body,
        } => {
            if let Some((at, _)) = naive.profiles.get(&profile) {
                if *at != expected_version_offset.0 {
                    return format!("lost {at}");
                }
            }
            if body != VALID {
                return "bad".to_owned();
            }
            naive.profiles.insert(profile, (record.offset.0, body));
            "accepted".to_owned()
        }
        Change::Switch {
            service,
            expected_pick_offset,
            profile,
        } => {
            if let Some((at, _)) = naive.picks.get(&service) {
                if *at != expected_pick_offset.0 {
                    return format!("lost {at}");
                }
            }
            if !naive.profiles.contains_key(&profile) {
                return "unknown profile".to_owned();
            }
            naive.picks.insert(service, (record.offset.0, profile));
            "accepted".to_owned()
        }
        Change::Snapshot { .. } => "snapshot".to_owned(),
    }
}

fn verdict_name(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted => "accepted".to_owned(),
        Verdict::Lost { winner_offset, .. } => format!("lost {winner_offset}"),
        Verdict::UnknownProfile => "unknown profile".to_owned(),
        Verdict::Bad(_) => "bad".to_owned(),
        Verdict::Repeated(offset) => format!("repeated {offset}"),
        Verdict::Unreadable => "unreadable".to_owned(),
        Verdict::Snapshot => "snapshot".to_owned(),
    }
}

/// Encodes the operations as records. A fresh operation expects the current offset, others expect a
/// wrong one.
fn records_of(ops: &[Op]) -> Vec<LogRecord> {
    let mut records: Vec<LogRecord> = Vec::new();
    for (index, op) in ops.iter().enumerate() {
        let offset = index as u64 + 1;
        let now = replay(&records);
        let body = match op {
            Op::Garbage => "not a change".to_owned(),
            Op::Publish {
                profile,
                is_valid,
                is_fresh,
                id,
            } => {
                let profile = format!("profile-{profile}");
                let current = naive_offset(&now.profiles, &profile);
                change_body(
                    offset,
                    *id,
                    Change::Publish {
                        expected_version_offset: Offset(if *is_fresh {
                            current
                        } else {
                            current + 1
                        }),
                        body: if *is_valid { VALID } else { INVALID }.to_owned(),
                        profile,
                    },
                )
            }
            Op::Switch {
                service,
                profile,
                is_fresh,
                id,
            } => {
                let service = format!("service-{service}");
                let current = naive_offset(&now.picks, &service);
                change_body(
                    offset,
                    *id,
                    Change::Switch {
                        expected_pick_offset: Offset(if *is_fresh { current } else { current + 1 }),
                        profile: format!("profile-{profile}"),
                        service,
                    },
                )
            }
        };
        records.push(LogRecord {
            offset: Offset(offset),
            written_era: LogEra::default(),
            appended_at_ms: 1_000 + offset,
            body,
        });
    }
    records
}

fn naive_offset(map: &BTreeMap<String, (u64, String)>, name: &str) -> u64 {
    map.get(name).map_or(0, |(at, _)| *at)
}

/// Id 0 stands for a unique id; other ids can repeat.
fn change_body(offset: u64, id: u8, change: Change) -> String {
    let id = if id == 0 {
        1_000 + offset
    } else {
        u64::from(id)
    };
    ChangeRecord {
        change_id: ChangeId(id),
        restores: None,
        author: format!("operator-{id}"),
        change,
    }
    .to_body()
}

fn assert_same(fold: &Fold, naive: &Naive) {
    let state = fold.state();
    let mut profiles = BTreeMap::new();
    for (name, version) in &state.profiles {
        profiles.insert(
            name.clone(),
            (version.version_offset.0, version.body.clone()),
        );
    }
    let mut picks = BTreeMap::new();
    for (service, pick) in &state.picks {
        picks.insert(service.clone(), (pick.pick_offset.0, pick.profile.clone()));
    }
    assert_eq!(profiles, naive.profiles);
    assert_eq!(picks, naive.picks);
}

proptest! {
    #![proptest_config(fixed_seed_config(41, 256))]

    #[test]
    fn verdicts_and_state_equal_a_naive_replay(ops in prop::collection::vec(op(), 0..60)) {
        let records = records_of(&ops);
        let mut fold = Fold::default();
        let mut verdicts = Vec::new();
        for record in &records {
            verdicts.push(verdict_name(&fold.apply(record).unwrap()));
        }
        let naive = replay(&records);
        prop_assert_eq!(&verdicts, &naive.verdicts);
        assert_same(&fold, &naive);
    }

    #[test]
    fn duplicate_and_late_deliveries_change_nothing(
        ops in prop::collection::vec(op(), 1..40),
        again in prop::collection::vec(0..40_usize, 0..40),
    ) {
        let records = records_of(&ops);
        let mut fold = Fold::default();
        for (index, record) in records.iter().enumerate() {
            prop_assert!(fold.apply(record).is_some());
            if let Some(late) = again.get(index) {
                prop_assert_eq!(fold.apply(&records[late % (index + 1)]), None);
            }
        }
        assert_same(&fold, &replay(&records));
    }

    #[test]
    fn a_fold_from_a_snapshot_equals_a_fold_of_all_records(
        ops in prop::collection::vec(op(), 1..60),
        cut in 0..60_usize,
    ) {
        let records = records_of(&ops);
        let (before, after) = records.split_at(cut % records.len());
        let mut whole = Fold::default();
        for record in before {
            whole.apply(record);
        }
        let text = serde_json::to_string(whole.state()).unwrap();
        let state: FoldState = serde_json::from_str(&text).unwrap();
        let mut resumed = Fold::from_state(state);
        for record in after {
            prop_assert_eq!(whole.apply(record), resumed.apply(record));
        }
        prop_assert_eq!(whole.state(), resumed.state());
    }

    #[test]
    fn the_version_of_a_service_never_decreases(ops in prop::collection::vec(op(), 0..60)) {
        let mut fold = Fold::default();
        let mut versions: BTreeMap<String, Offset> = BTreeMap::new();
        for record in records_of(&ops) {
            fold.apply(&record);
            for service in fold.state().picks.keys() {
                let version = fold.service_version(service).unwrap();
                let earlier = versions.insert(service.clone(), version);
                prop_assert!(earlier.is_none_or(|earlier| earlier <= version));
            }
        }
    }
}
