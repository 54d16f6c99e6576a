//! Table of members with rumours to spread and suspicions to settle.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
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

/// How long a suspect may refute before it counts as gone.
const SUSPECT_HOLD: Duration = Duration::from_secs(5);

/// How long suspects of a zone into which no link lives are held, for the cut to heal.
const CUT_HOLD: Duration = Duration::from_secs(2 * 3_600);

/// How long a member that left is remembered, so that late rumours do not bring it back.
const LEFT_HOLD: Duration = Duration::from_secs(600);

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The table knew as much.
    Unchanged,
    /// The table took the report.
    Changed,
    /// The report doubted the table's own node, which raised its incarnation.
    Refuted,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// When the suspicion settles, or the member that left is forgotten.
    settle_at: Instant,
    /// When a suspicion settles though no link into the zone lives.
    cut_settle_at: Instant,
}

/// What one node believes of every other.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_id: NodeId,
    entries: BTreeMap<NodeId, Entry>,
    /// Members to tell of, newest first, and how often each is still to be sent.
    rumours: VecDeque<NodeId>,
    rumour_send_counts: FastMap<NodeId, u32>,
    digest: Digest,
    change_count: u64,
}

impl MemberTable {
    /// Starts with the table's own node.
    pub fn new(own: Member, now: Instant) -> Self {
        let mut table = Self {
            own_id: own.node_id.clone(),
            entries: BTreeMap::new(),
            rumours: VecDeque::new(),
            rumour_send_counts: FastMap::default(),
            digest: Digest::default(),
            change_count: 0,
        };
        table.store(own, now);
        table
    }

    /// Returns the table's own node.
    pub fn own(&self) -> &Member {
        &self.entries[&self.own_id].member
    }

    /// Returns one member.
    pub fn get(&self, node_id: &NodeId) -> Option<&Member> {
        Some(&self.entries.get(node_id)?.member)
    }

    /// Returns all members in the order of their names, those that left included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns how many members have not left.
    pub fn present_count(&self) -> usize {
        self.members()
            .filter(|member| member.state != MemberState::Left)
            .count()
    }

    /// Returns a count that grows with every change of the table.
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

    /// Changes the own node and raises its incarnation.
    pub fn update_own(&mut self, now: Instant, change: impl FnOnce(&mut Member)) {
        let mut own = self.own().clone();
        change(&mut own);
        own.incarnation += 1;
        self.store(own, now);
    }

    /// Takes a report in, if it outranks what the table knows.
    pub fn merge(&mut self, report: &Member, now: Instant) -> MergeOutcome {
        if report.node_id == self.own_id {
            return self.merge_own(report, now);
        }
        if let Some(entry) = self.entries.get(&report.node_id) {
            if entry.member.rank() >= report.rank() {
                return MergeOutcome::Unchanged;
            }
        }
        self.store(report.clone(), now);
        MergeOutcome::Changed
    }

    fn merge_own(&mut self, report: &Member, now: Instant) -> MergeOutcome {
        let own = self.own();
        if report.rank() <= own.rank() {
            return MergeOutcome::Unchanged;
        }
        let mut refuted = own.clone();
        refuted.generation_ms = report.generation_ms.max(own.generation_ms);
        refuted.incarnation = report.incarnation.max(own.incarnation) + 1;
        self.store(refuted, now);
        MergeOutcome::Refuted
    }

    /// Notes that a link to `node_id` was lost.
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

    /// Settles suspicions that are due and forgets members that left long ago.
    pub fn expire(&mut self, now: Instant) {
        let mut live_zones: FastSet<String> = FastSet::default();
        for member in self.members() {
            if member.state == MemberState::Live && !live_zones.contains(&member.zone) {
                live_zones.insert(member.zone.clone());
            }
        }
        let mut gone = Vec::new();
        let mut forgotten = Vec::new();
        for (node_id, entry) in &self.entries {
            match entry.member.state {
                MemberState::Suspect => {
                    let cut = !live_zones.contains(&entry.member.zone);
                    let settle_at = if cut {
                        entry.cut_settle_at
                    } else {
                        entry.settle_at
                    };
                    if settle_at <= now {
                        gone.push(entry.member.clone());
                    }
                }
                MemberState::Left if entry.settle_at <= now && *node_id != self.own_id => {
                    forgotten.push(node_id.clone());
                }
                MemberState::Live | MemberState::Draining | MemberState::Left => {}
            }
        }
        for mut member in gone {
            member.state = MemberState::Left;
            self.store(member, now);
        }
        for node_id in forgotten {
            self.entries.remove(&node_id);
            self.change_count += 1;
        }
    }

    /// Returns whether there are rumours to spread.
    pub fn has_pending_updates(&self) -> bool {
        !self.rumours.is_empty()
    }

    /// Returns up to `max_count` rumours for `receiver`, whose table had `digest_total` when it was
    /// last heard of; none if that is equal. One that doubts the receiver itself comes first, so that
    /// it can refute.
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
        for _ in 0..self.rumours.len().min(max_count) {
            let Some(node_id) = self.rumours.pop_front() else {
                break;
            };
            if let Some(entry) = self.entries.get(&node_id) {
                members.push(entry.member.clone());
            }
            let send_count = self.rumour_send_counts.remove(&node_id).unwrap_or(1) - 1;
            if send_count > 0 {
                self.rumour_send_counts.insert(node_id.clone(), send_count);
                self.rumours.push_back(node_id);
            }
        }
        members
    }

    fn store(&mut self, member: Member, now: Instant) {
        let node_id = member.node_id.clone();
        if let Some(earlier) = self.entries.get(&node_id) {
            self.digest.toggle(&earlier.member);
        }
        self.digest.toggle(&member);
        let settle_at = match member.state {
            MemberState::Left => now + LEFT_HOLD,
            MemberState::Live | MemberState::Suspect | MemberState::Draining => now + SUSPECT_HOLD,
        };
        let entry = Entry {
            member,
            settle_at,
            cut_settle_at: now + CUT_HOLD,
        };
        self.entries.insert(node_id.clone(), entry);
        self.change_count += 1;
        let send_count = rumour_send_count(self.entries.len());
        let earlier = self.rumour_send_counts.insert(node_id.clone(), send_count);
        if earlier.is_none() {
            self.rumours.push_front(node_id);
        }
    }
}

/// Sends of a rumour after which it has reached most of `member_count`; digests find the rest.
fn rumour_send_count(member_count: usize) -> u32 {
    member_count.max(2).ilog2() + 2
}
