//! What peers tell a node that has just started, and until when its target has to wait for it.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::{
    FastMap,
    Member,
    MemberState,
    NodeId, //
};
use tokio::sync::watch;

use super::run_records::RunLogState;
use super::Mesh;
use crate::rpc::Hello;

/// Longest wait of an announcement for what was acknowledged before this process started. The target
/// gives it up after 1 s.
const INFORM_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of peers whose introductions tell enough.
const INTRODUCTION_COUNT: usize = 2;

/// Time after the start of the process from which announcements are believed although neither the log
/// nor a peer told anything. Those that were sent before the target left are delayed by seconds.
const UNINFORMED_MAX: Duration = Duration::from_secs(10);

/// What a peer stated in its handshake.
#[derive(Clone, Copy, Debug)]
struct Introduction {
    /// Whether its build keeps ending runs.
    holds_ending_runs: bool,
    /// Whether it knows all ends of runs that were acknowledged before it started.
    knows_recorded_runs: bool,
}

/// Peers that have introduced themselves by a handshake.
pub(super) struct Introductions {
    peers: watch::Sender<FastMap<NodeId, Introduction>>,
    /// Time until which announcements wait for peers where there is no log.
    peers_until: Instant,
    /// Time from which announcements are believed in any case.
    uninformed_until: Instant,
}

impl Introductions {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            peers: watch::Sender::default(),
            peers_until: now + INFORM_TIMEOUT,
            uninformed_until: now + UNINFORMED_MAX,
        }
    }

    /// Returns the number of peers that know all ends of runs that were acknowledged.
    fn informed_count(&self) -> usize {
        let peers = self.peers.borrow();
        let informed = peers.values().filter(|peer| peer.knows_recorded_runs);
        informed.count()
    }
}

impl Mesh {
    /// Merges the handshake message of a peer.
    pub(crate) fn merge_hello(&self, hello: &Hello) {
        let peer = &hello.member.node_id;
        self.merge_ending_runs(peer, &hello.ending_runs);
        self.merge_members(std::slice::from_ref(&hello.member));
        let introduction = Introduction {
            holds_ending_runs: hello.holds_ending_runs,
            knows_recorded_runs: hello.knows_recorded_runs,
        };
        self.introductions.peers.send_modify(|peers| {
            peers.insert(peer.clone(), introduction);
        });
    }

    /// Waits until this node knows which ends of runs of its target were acknowledged before it
    /// started: from the log, or from peers. Returns whether it does, or nobody can tell any more.
    pub async fn wait_until_informed(&self) -> bool {
        let mut peers = self.introductions.peers.subscribe();
        let mut records = self.run_records.watch();
        let until = match self.run_records.log_state() {
            RunLogState::Read => return true,
            RunLogState::Absent => self.introductions.peers_until,
            RunLogState::Unread => Instant::now() + INFORM_TIMEOUT,
        };
        loop {
            peers.borrow_and_update();
            records.borrow_and_update();
            if self.is_fully_informed() {
                return true;
            }
            tokio::select! {
                _ = peers.changed() => {}
                _ = records.changed() => {}
                () = tokio::time::sleep_until(until.into()) => return self.is_informed_enough(),
            }
        }
    }

    fn is_fully_informed(&self) -> bool {
        if self.run_records.log_state() == RunLogState::Read {
            return true;
        }
        let informed_count = self.introductions.informed_count();
        let other_count = self.members().present_count() - 1;
        informed_count > 0 && informed_count >= INTRODUCTION_COUNT.min(other_count)
    }

    /// Returns whether what this node knows is enough after the wait.
    fn is_informed_enough(&self) -> bool {
        if self.run_records.log_state() == RunLogState::Absent {
            return true;
        }
        if self.introductions.informed_count() > 0 {
            return true;
        }
        if Instant::now() < self.introductions.uninformed_until {
            return false;
        }
        log::warn!("target believed although neither the log nor a peer told whether it left");
        true
    }

    /// Returns whether a peer could hold a report: one that is linked and of a build that does, or one
    /// that is known but out of reach.
    pub(super) fn has_possible_holder(&self) -> bool {
        let members = self.members();
        let own_id = &members.own().node_id;
        let is_peer =
            |member: &Member| member.node_id != *own_id && member.state != MemberState::Left;
        let introduced = self.introductions.peers.borrow();
        let mut has_earlier_build = false;
        let mut has_peer = false;
        for member in members.members().filter(|member| is_peer(member)) {
            has_peer = true;
            match introduced.get(&member.node_id) {
                Some(introduction) if introduction.holds_ending_runs => return true,
                Some(_) => has_earlier_build = true,
                None => {}
            }
        }
        has_peer && !has_earlier_build
    }

    /// Returns whether the peer's build holds ending runs. An earlier one would never acknowledge any.
    pub(super) fn holds_ending_runs(&self, peer: &NodeId) -> bool {
        let peers = self.introductions.peers.borrow();
        peers.get(peer).is_some_and(|peer| peer.holds_ending_runs)
    }
}
