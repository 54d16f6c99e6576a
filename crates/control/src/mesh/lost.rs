//! Changes that this node knows and the log has lost, since it went back to an older copy.

use figway_profile::{
    FoldState,
    LostChange, //
};
use figway_types::Offset;
use tokio::sync::watch;

use super::Mesh;

impl Mesh {
    pub(super) fn remember_lost(&self, state: &FoldState) {
        self.lost.lock().expect("no holder panics").remember(state);
        self.lost_signal.send_modify(|count| *count += 1);
    }

    /// Returns a watch that changes whenever the log may have lost changes that this node knows.
    pub(crate) fn watch_lost(&self) -> watch::Receiver<u64> {
        self.lost_signal.subscribe()
    }

    /// Returns the changes that this node knows and the applied state lacks, since the log lost them.
    pub(crate) fn lost_changes(&self) -> Vec<LostChange> {
        let fold = self.fold();
        let mut lost = self.lost.lock().expect("no holder panics");
        lost.forget_held(fold.state());
        lost.missing_from(fold.state())
    }

    /// Takes over the era of a peer whose change stream is empty, if this node's is empty too.
    pub(crate) fn adopt_empty_era(&self, peer_offset: Offset) {
        let own_offset = self.applied_offset();
        let both_empty = own_offset.index() == 0 && peer_offset.index() == 0;
        if !both_empty || peer_offset <= own_offset {
            return;
        }
        self.install_state(FoldState {
            as_of_offset: peer_offset,
            ..FoldState::default()
        });
    }
}
