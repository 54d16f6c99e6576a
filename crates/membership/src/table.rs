//! Table of members, with the updates that wait to be gossiped and the timeouts of suspicions.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    EndingRun,
    FastMap,
    FastSet,
    Member,
    MemberState,
    NodeId, //
};

use crate::digest::{
    bucket_of,
    Digest, //
};
use crate::ending_runs::EndingRuns;

/// Time that a suspect has to refute the suspicion before it is marked as left.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Suspicion timeout in a zone without a live member, long enough for a network partition to heal.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(2 * 3_600);

/// Time that a member is kept after it left, so that late updates do not bring it back.
const LEFT_RETENTION: Duration = Duration::from_secs(600);

/// Result of merging an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The update does not outrank the table's entry.
    Unchanged,
    /// The update was stored.
    Changed,
    /// The update outranks the entry of the table's own node, which refuted it by raising its
    /// incarnation.
    Refuted,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// When the suspicion times out, or the member that left is removed.
    expires_at: Instant,
    /// When the suspicion times out if no member of the zone is live.
    partition_expires_at: Instant,
}

/// One node's view of all members, including itself.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_id: NodeId,
    entries: BTreeMap<NodeId, Entry>,
    /// Members with an update to gossip; new updates are added at the front, updates to be sent
    /// again at the back.
    pending_updates: VecDeque<NodeId>,
    /// How often each pending update is still to be sent.
    remaining_send_counts: FastMap<NodeId, u32>,
    digest: Digest,
    /// Kept apart from the entries, so that no update or removal of a member loses them.
    ending_runs: EndingRuns,
    change_count: u64,
}

impl MemberTable {
    /// Creates a table that contains only its own node.
    pub fn new(own: Member, now: Instant) -> Self {
        let mut table = Self {
            own_id: own.node_id.clone(),
            entries: BTreeMap::new(),
            pending_updates: VecDeque::new(),
            remaining_send_counts: FastMap::default(),
            digest: Digest::default(),
            ending_runs: EndingRuns::default(),
            change_count: 0,
        };
        table.store(own, now);
        table
    }

    /// Returns the table's own node.
    pub fn own(&self) -> &Member {
        &self.entries[&self.own_id].member
    }

    /// Returns the member named `node_id`.
    pub fn get(&self, node_id: &NodeId) -> Option<&Member> {
        Some(&self.entries.get(node_id)?.member)
    }

    /// Returns all members in the order of their names, including those that have left.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns how many members have not left.
    pub fn present_count(&self) -> usize {
        self.members()
            .filter(|member| member.state != MemberState::Left)
            .count()
    }

    /// Returns a counter that increases with every change of the table.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the digest of the members that have not left.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the members of the given buckets.
    pub fn members_in_buckets(&self, buckets: &[usize]) -> Vec<Member> {
        let wanted: FastSet<usize> = buckets.iter().copied().collect();
        let mut members = Vec::new();
        for member in self.members() {
            if wanted.contains(&bucket_of(&member.node_id)) {
                members.push(member.clone());
            }
        }
        members
    }

    /// Returns the runs of targets that have begun to end.
    pub fn ending_runs(&self) -> &EndingRuns {
        &self.ending_runs
    }

    /// Merges a report that a run of a target has begun to end. Returns whether it tells more than was
    /// known.
    pub fn merge_ending_run(&mut self, report: &EndingRun, now: Instant) -> bool {
        let changed = self.ending_runs.merge(report, now);
        self.change_count += u64::from(changed);
        changed
    }

    /// Applies `change` to the table's own node and increments its incarnation.
    pub fn update_own(&mut self, now: Instant, change: impl FnOnce(&mut Member)) {
        let mut own = self.own().clone();
        change(&mut own);
        own.incarnation += 1;
        self.store(own, now);
    }

    /// Stores an update if it outranks the table's entry. An update that outranks the entry of the
    /// table's own node is refuted instead.
    pub fn merge(&mut self, update: &Member, now: Instant) -> MergeOutcome {
        if update.node_id == self.own_id {
            return self.merge_own(update, now);
        }
        if let Some(entry) = self.entries.get(&update.node_id) {
            if entry.member.rank() >= update.rank() {
                return MergeOutcome::Unchanged;
            }
        }
        self.store(update.clone(), now);
        MergeOutcome::Changed
    }

    fn merge_own(&mut self, update: &Member, now: Instant) -> MergeOutcome {
        let own = self.own();
        if update.rank() <= own.rank() {
            return MergeOutcome::Unchanged;
        }
        let mut refutation = own.clone();
        refutation.generation_ms = update.generation_ms.max(own.generation_ms);
        refutation.incarnation = update.incarnation.max(own.incarnation) + 1;
        self.store(refutation, now);
        MergeOutcome::Refuted
    }

    /// Records that a link to `node_id` was lost: a live member becomes suspect, and a draining one
    /// is marked as left.
    pub fn suspect(&mut self, node_id: &NodeId, now: Instant) {
        let Some(entry) = self.entries.get(node_id) else {
            return;
        };
        if *node_id == self.own_id {
            return;
        }
        let state = match entry.member.state {
            MemberState::Live => MemberState::Suspect,
            MemberState::Draining => MemberState::Left,
            MemberState::Suspect | MemberState::Left => return,
        };
        let mut member = entry.member.clone();
        member.state = state;
        self.store(member, now);
    }

    /// Marks suspects as left when their suspicion has timed out, and removes members that left
    /// more than `LEFT_RETENTION` ago and reports on ending runs that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.ending_runs.expire(now);
        let mut live_zones: FastSet<String> = FastSet::default();
        for member in self.members() {
            if member.state == MemberState::Live && !live_zones.contains(&member.zone) {
                live_zones.insert(member.zone.clone());
            }
        }
        let mut timed_out = Vec::new();
        let mut removed = Vec::new();
        for (node_id, entry) in &self.entries {
            match entry.member.state {
                MemberState::Suspect => {
                    let is_partitioned = !live_zones.contains(&entry.member.zone);
                    let expires_at = if is_partitioned {
                        entry.partition_expires_at
                    } else {
                        entry.expires_at
                    };
                    if expires_at <= now {
                        timed_out.push(entry.member.clone());
                    }
                }
                MemberState::Left if entry.expires_at <= now && *node_id != self.own_id => {
                    removed.push(node_id.clone());
                }
                MemberState::Live | MemberState::Draining | MemberState::Left => {}
            }
        }
        for mut member in timed_out {
            member.state = MemberState::Left;
            self.store(member, now);
        }
        for node_id in removed {
            self.entries.remove(&node_id);
            self.change_count += 1;
        }
    }

    /// Returns whether there are updates to gossip.
    pub fn has_pending_updates(&self) -> bool {
        !self.pending_updates.is_empty()
    }

    /// Returns up to `max_count` pending updates for `receiver` and counts them as sent; none if
    /// `digest_total`, the last known digest of the receiver's table, equals this table's digest.
    ///
    /// If the receiver itself is not live in this table, its entry is returned first in any case,
    /// so that the receiver can refute it.
    pub fn take_pending_updates(
        &mut self,
        receiver: &NodeId,
        digest_total: Option<u64>,
        max_count: usize,
    ) -> Vec<Member> {
        let mut members = Vec::new();
        if let Some(entry) = self.entries.get(receiver) {
            if entry.member.state != MemberState::Live {
                members.push(entry.member.clone());
            }
        }
        if digest_total == Some(self.digest.total()) {
            return members;
        }
        for _ in 0..self.pending_updates.len().min(max_count) {
            let Some(node_id) = self.pending_updates.pop_front() else {
                break;
            };
            if let Some(entry) = self.entries.get(&node_id) {
                members.push(entry.member.clone());
            }
            let send_count = self.remaining_send_counts.remove(&node_id).unwrap_or(1) - 1;
            if send_count > 0 {
                self.remaining_send_counts
                    .insert(node_id.clone(), send_count);
                self.pending_updates.push_back(node_id);
            }
        }
        members
    }

    fn store(&mut self, member: Member, now: Instant) {
        let node_id = member.node_id.clone();
        if let Some(previous) = self.entries.get(&node_id) {
            self.digest.toggle(&previous.member);
        }
        self.digest.toggle(&member);
        let expires_at = match member.state {
            MemberState::Left => now + LEFT_RETENTION,
            MemberState::Live | MemberState::Suspect | MemberState::Draining => {
                now + SUSPECT_TIMEOUT
            }
        };
        let entry = Entry {
            member,
            expires_at,
            partition_expires_at: now + PARTITION_TIMEOUT,
        };
        self.entries.insert(node_id.clone(), entry);
        self.change_count += 1;
        let send_count = update_send_count(self.entries.len());
        let previous = self
            .remaining_send_counts
            .insert(node_id.clone(), send_count);
        if previous.is_none() {
            self.pending_updates.push_front(node_id);
        }
    }
}

/// Returns how often an update is sent to reach most of `member_count` members; the rest find it by
/// comparing digests.
fn update_send_count(member_count: usize) -> u32 {
    member_count.max(2).ilog2() + 2
}
