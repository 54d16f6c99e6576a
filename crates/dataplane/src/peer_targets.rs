//! Rate limits of targets beside peers. They bind this node's own calls, and are passed on with the
//! calls that it forwards, since the peer may have restarted and lost them.

use std::sync::{
    Mutex,
    MutexGuard, //
};

use figway_types::{
    FastMap,
    Member,
    NodeId, //
};

use crate::target_state::TargetState;

/// Largest number of states that are kept. Above it, all are dropped and learned anew.
const STATE_MAX_COUNT: usize = 4_096;

/// States of limited targets by the node beside them.
#[derive(Debug, Default)]
pub(crate) struct PeerTargets {
    states: Mutex<FastMap<NodeId, TargetState>>,
}

impl PeerTargets {
    /// Records the state that came with an answer from `node_id`. An answer that `is_success` tells by
    /// a missing state that the target states no limit.
    pub(crate) fn record(&self, node_id: &NodeId, stated: Option<TargetState>, is_success: bool) {
        let mut states = self.states.lock().expect("no holder panics");
        match stated.filter(|stated| stated.rate_limit.is_some()) {
            Some(limited) => {
                if states.len() >= STATE_MAX_COUNT {
                    states.clear();
                }
                states.insert(node_id.clone(), limited);
            }
            None if is_success => {
                states.remove(node_id);
            }
            None => {}
        }
    }

    /// Locks the states for several look-ups.
    pub(crate) fn lock(&self) -> KnownStates<'_> {
        KnownStates {
            states: self.states.lock().expect("no holder panics"),
        }
    }
}

/// Locked states of [`PeerTargets`].
pub(crate) struct KnownStates<'a> {
    states: MutexGuard<'a, FastMap<NodeId, TargetState>>,
}

impl KnownStates<'_> {
    /// Returns what is known of the member's target, if anything is.
    pub(crate) fn state_of(&self, member: &Member) -> Option<&TargetState> {
        if self.states.is_empty() {
            return None;
        }
        let target = member.target.as_ref()?;
        let state = self.states.get(&member.node_id)?;
        state.is_of_run(target).then_some(state)
    }
}
