//! Statements of targets that this host no longer knows.

use std::time::Instant;

use crate::collections::FastMap;
use crate::fleet::TargetState;
use crate::ids::TargetId;

/// Maximum number of targets that are remembered; an entry takes about 80 bytes.
const MAX_ENTRIES: usize = 4096;

/// Pauses that removed targets had requested.
///
/// The entry of a target that cannot reach the log expires while the target is alive, and
/// returns with the same id. Without this table the host would forget the pause and send
/// requests again.
#[derive(Debug, Default)]
pub(super) struct RetainedStatements {
    paused_until: FastMap<TargetId, Instant>,
}

impl RetainedStatements {
    /// Keeps what a target has stated that is being removed.
    pub(super) fn retain(&mut self, state: &TargetState) {
        let Some(until) = state.paused_until else {
            return;
        };
        self.make_room();
        self.paused_until.insert(state.entry.id.clone(), until);
    }

    /// Applies what a target had stated before it was removed.
    pub(super) fn restore(&mut self, state: &mut TargetState) {
        state.paused_until = self.paused_until.remove(&state.entry.id);
    }

    /// Removes the pause that ends first if the table is full.
    fn make_room(&mut self) {
        if self.paused_until.len() < MAX_ENTRIES {
            return;
        }
        let first = self.paused_until.iter().min_by_key(|(_, until)| **until);
        if let Some(id) = first.map(|(id, _)| id.clone()) {
            self.paused_until.remove(&id);
        }
    }
}
