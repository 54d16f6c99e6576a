//! Records of one topic of the store.

use std::collections::BTreeMap;

/// Beginning of the keys of rollout orders.
const ORDER_PREFIX: &[u8] = b"rollout/";

/// Records of a topic. Each is the length of its key in one byte, the key and the value.
#[derive(Clone, Default)]
pub(super) struct Topic {
    /// Offset of the oldest record.
    pub(super) first_offset: u64,
    pub(super) records: Vec<Vec<u8>>,
    /// Offsets and records of rollout orders that were dropped from `records`.
    orders: Vec<(u64, Vec<u8>)>,
}

impl Topic {
    /// Returns the offset of the next record.
    pub(super) fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn records_with_offsets(&self) -> impl Iterator<Item = (u64, &Vec<u8>)> {
        (self.first_offset..).zip(&self.records)
    }

    /// Returns offset and value of the newest record of each key. A key whose newest record has no value
    /// is dropped.
    pub(super) fn newest_records(&self) -> BTreeMap<&[u8], (u64, &[u8])> {
        let mut newest = BTreeMap::new();
        for (offset, key, value) in self.keyed_records() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        newest
    }

    /// Returns offset, key and value of each record that can be read by its key, from the oldest on.
    fn keyed_records(&self) -> impl Iterator<Item = (u64, &[u8], &[u8])> {
        let orders = self.orders.iter().map(|(offset, record)| (*offset, record));
        orders
            .chain(self.records_with_offsets())
            .map(|(offset, record)| {
                let (length, rest) = record
                    .split_first()
                    .expect("each record starts with the length of its key");
                let (key, value) = rest.split_at(usize::from(*length));
                (offset, key, value)
            })
    }

    /// Drops all records but the newest that is not an order of a rollout, which gets a new offset. The
    /// orders can still be read by their keys.
    pub(super) fn truncate(&mut self) {
        // `/log-newest` still returns the newest record. A reader that continues from its old
        // offset gets 410, even at the end of the topic.
        let mut newest = None;
        let mut orders = Vec::new();
        for (offset, record) in self.records_with_offsets() {
            if record[1..].starts_with(ORDER_PREFIX) {
                orders.push((offset, record.clone()));
            } else {
                newest = Some(record.clone());
            }
        }
        self.first_offset = self.end_offset() + 1;
        self.orders.extend(orders);
        self.records.clear();
        self.records.extend(newest);
    }
}
