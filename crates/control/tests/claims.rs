//! Differential tests of the claim table against a scan of all claims: two batchers read the
//! stream at different times, answers of the log are lost and claims appended twice, claims
//! replace attempts that did not run, and keys expire.

use std::collections::BTreeMap;

use figway_control::{
    Claim,
    ClaimBatch,
    ClaimTable,
    ClaimVerdict, //
};
use figway_test_support::fixed_seed_config;
use figway_types::{
    NodeId,
    Offset, //
};
use proptest::prelude::*;

const REMEMBER_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct Entry {
    key: u8,
    attempt_id: u64,
    after: Option<u64>,
    gap_ms: u64,
    batcher: usize,
}

fn entry() -> impl Strategy<Value = Entry> {
    (
        0..4_u8,
        0..12_u64,
        prop::option::weighted(0.3, 0..12_u64),
        0..300_u64,
        0..2_usize,
    )
        .prop_map(|(key, attempt_id, after, gap_ms, batcher)| Entry {
            key,
            attempt_id,
            after,
            gap_ms,
            batcher,
        })
}

fn claim(entry: &Entry) -> Claim {
    Claim {
        key: format!("orderbook/{}", entry.key),
        attempt_id: entry.attempt_id,
        owner: NodeId("muscat-a-1".to_owned()),
        owner_address: String::new(),
        after_attempt_id: entry.after,
    }
}

/// Returns the attempt that holds the key after all records, by a scan from the first one.
fn scan(records: &[(u64, Entry)], key: u8) -> Option<u64> {
    let mut holder: Option<(u64, u64)> = None;
    for (at_ms, entry) in records {
        if entry.key != key {
            continue;
        }
        let free = match holder {
            None => true,
            Some((attempt_id, since_ms)) => {
                since_ms + REMEMBER_MS <= *at_ms || entry.after == Some(attempt_id)
            }
        };
        if free {
            holder = Some((entry.attempt_id, *at_ms));
        }
    }
    holder.map(|(attempt_id, _)| attempt_id)
}

proptest! {
    #![proptest_config(fixed_seed_config(46, 512))]

    #[test]
    fn the_verdict_of_an_appended_claim_equals_a_scan(
        entries in prop::collection::vec(entry(), 1..60),
    ) {
        let mut records: Vec<(u64, Entry)> = Vec::new();
        let mut batches: Vec<(u64, ClaimBatch)> = Vec::new();
        let mut tables = [ClaimTable::new(REMEMBER_MS), ClaimTable::new(REMEMBER_MS)];
        let mut now_ms = 10_000;
        for entry in &entries {
            now_ms += entry.gap_ms;
            records.push((now_ms, entry.clone()));
            batches.push((now_ms, ClaimBatch { batch_id: 1, claims: vec![claim(entry)] }));
            // Only the batcher that appended reads the stream, up to its own record. It applies
            // earlier records again, which must have no effect.
            let table = &mut tables[entry.batcher];
            for (index, (at_ms, batch)) in batches.iter().enumerate() {
                table.apply(Offset(index as u64 + 1), *at_ms, batch);
            }
            let holder = scan(&records, entry.key);
            let won = table.verdict(&claim(entry)) == Some(ClaimVerdict::Won);
            prop_assert_eq!(won, holder == Some(entry.attempt_id));
        }
    }

    #[test]
    fn a_second_attempt_wins_a_key_only_if_it_replaces_one_that_did_not_run(
        entries in prop::collection::vec(entry(), 1..60),
    ) {
        let mut tables = [ClaimTable::new(u64::MAX / 2), ClaimTable::new(u64::MAX / 2)];
        let mut batches: Vec<ClaimBatch> = Vec::new();
        let mut winners: BTreeMap<u8, Vec<u64>> = BTreeMap::new();
        for (index, entry) in entries.iter().enumerate() {
            // The index as the id makes each attempt unique.
            let mut claim = claim(entry);
            claim.attempt_id = index as u64;
            let holders = winners.entry(entry.key).or_default();
            // A replacing claim names the latest holder, as if its owner ended it without running.
            claim.after_attempt_id = entry.after.and(holders.last().copied());
            batches.push(ClaimBatch { batch_id: 1, claims: vec![claim.clone()] });
            let table = &mut tables[entry.batcher];
            for (index, batch) in batches.iter().enumerate() {
                table.apply(Offset(index as u64 + 1), 1, batch);
            }
            if table.verdict(&claim) == Some(ClaimVerdict::Won) {
                prop_assert!(holders.is_empty() || claim.after_attempt_id.is_some());
                holders.push(claim.attempt_id);
            }
        }
    }
}

#[test]
fn a_claim_that_was_appended_twice_still_holds_its_key() {
    let mut table = ClaimTable::new(REMEMBER_MS);
    let first = claim(&Entry {
        key: 1,
        attempt_id: 7,
        after: None,
        gap_ms: 0,
        batcher: 0,
    });
    let other = claim(&Entry {
        key: 1,
        attempt_id: 8,
        after: None,
        gap_ms: 0,
        batcher: 0,
    });
    let batch = |claim: &Claim| ClaimBatch {
        batch_id: 1,
        claims: vec![claim.clone()],
    };
    table.apply(Offset(1), 1, &batch(&first));
    table.apply(Offset(2), 2, &batch(&first));
    table.apply(Offset(3), 3, &batch(&other));
    assert_eq!(table.verdict(&first), Some(ClaimVerdict::Won));
    assert_eq!(
        table.verdict(&other),
        Some(ClaimVerdict::Lost(Box::new(first)))
    );
}
