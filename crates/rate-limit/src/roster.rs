//! Number of nodes among which a limit is shared.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    FastMap,
    Member,
    MemberState, //
};

/// Time for which a member that was lost still counts. It may be cut off and admit requests.
const LOST_RETENTION: Duration = Duration::from_secs(60);

/// Smallest number of members that a node assumes before it has met the others.
const ASSUMED_COUNT: usize = 128;

/// Time from the first meeting within which a node learns of all members.
const MEETING_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Seen {
    counts_until: Option<Instant>,
    was_draining: bool,
}

/// Members that count, among them those that were lost a short time ago. Members that left as planned
/// do not count.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    seen: FastMap<String, Seen>,
    /// Until when the node assumes that it does not know all members.
    incomplete_until: Option<Instant>,
    has_met_others: bool,
}

impl Roster {
    /// Creates the roster of a node that has just started. If it meets no other node until `alone_at`, it
    /// is taken to be alone.
    pub fn of_started_node(alone_at: Instant) -> Self {
        Self {
            seen: FastMap::default(),
            incomplete_until: Some(alone_at),
            has_met_others: false,
        }
    }

    /// Takes the members over as they are known at `now`.
    pub fn update<'a>(&mut self, members: impl Iterator<Item = &'a Member>, now: Instant) {
        for member in members {
            let known = self.seen.get_mut(member.node_id.0.as_str());
            if member.state == MemberState::Left {
                if let Some(known) = known {
                    let counts_until = now + LOST_RETENTION;
                    known.counts_until.get_or_insert(match known.was_draining {
                        true => now,
                        false => counts_until,
                    });
                }
                continue;
            }
            let seen = Seen {
                counts_until: None,
                was_draining: member.state == MemberState::Draining,
            };
            match known {
                Some(known) => *known = seen,
                None => {
                    self.seen.insert(member.node_id.0.clone(), seen);
                }
            }
        }
        self.seen
            .retain(|_, seen| seen.counts_until.is_none_or(|until| until > now));
        if !self.has_met_others && self.seen.len() > 1 {
            self.has_met_others = true;
            self.incomplete_until = self.incomplete_until.map(|_| now + MEETING_TIME);
        }
    }

    /// Returns the number of members that count, at least 1.
    pub fn count(&self, now: Instant) -> usize {
        let count = self.seen.len().max(1);
        match self.incomplete_until.is_some_and(|until| until > now) {
            true => count.max(ASSUMED_COUNT),
            false => count,
        }
    }
}
