//! Changes of the target beside this node, which are sent to the linked peers at once. Otherwise a
//! node that has just started would wait for a peer to ask it.

use std::sync::Mutex;
use std::time::Instant;

use figway_types::{
    FastMap,
    Member,
    NodeId,
    Target, //
};

use super::Mesh;

/// Which peers were sent the last change of the own target.
#[derive(Debug, Default)]
pub(super) struct OwnTargetNews {
    /// Incarnation of the own member with the last change of the target.
    incarnation: Mutex<u64>,
    /// Last incarnation of the own member that was sent to each peer.
    sent: Mutex<FastMap<NodeId, u64>>,
}

impl Mesh {
    /// Replaces the target in this node's member record. Peers are told at once.
    pub fn set_own_target(&self, target: Option<&Target>) {
        let mut members = self.members();
        members.update_own(Instant::now(), |own| own.target = target.cloned());
        let changed = members.own().incarnation;
        drop(members);
        let news = &self.own_target_news;
        *news.incarnation.lock().expect("no holder panics") = changed;
        self.notify_member_changes();
    }

    /// Returns whether the last change of the own target was not sent to the peer yet.
    pub(super) fn has_own_target_for(&self, peer: &NodeId) -> bool {
        let news = &self.own_target_news;
        let changed = *news.incarnation.lock().expect("no holder panics");
        let sent = news.sent.lock().expect("no holder panics");
        sent.get(peer).is_none_or(|sent| *sent < changed)
    }

    /// Adds the own member to `updates` for the peer if it lacks the last change of the own target,
    /// and counts it as sent.
    pub(super) fn add_own_target(&self, peer: &NodeId, updates: &mut Vec<Member>) {
        if !self.has_own_target_for(peer) {
            return;
        }
        let own = self.members().own().clone();
        let mut sent = self.own_target_news.sent.lock().expect("no holder panics");
        sent.insert(peer.clone(), own.incarnation);
        if updates.iter().all(|update| update.node_id != own.node_id) {
            updates.push(own);
        }
    }
}
