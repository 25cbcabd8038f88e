//! Statements of targets that this host no longer knows.

use std::collections::VecDeque;
use std::time::Instant;

use crate::collections::FastMap;
use crate::fleet::TargetState;
use crate::ids::TargetId;

/// Maximum number of targets that are remembered; an entry takes about 150 bytes.
const MAX_ENTRIES: usize = 4096;

/// What a target has stated about itself.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TargetStatement {
    pub(super) paused_until: Option<Instant>,
    pub(super) states_leaving: bool,
}

/// What removed targets had stated about themselves.
///
/// The entry of a target that cannot reach the log expires while the target is alive, and
/// returns with the same id. Without this table the host would forget the statements and
/// send requests again.
#[derive(Debug, Default)]
pub(super) struct RetainedStatements {
    statements: FastMap<TargetId, TargetStatement>,
    /// The targets in the order in which they were added.
    order: VecDeque<TargetId>,
}

impl RetainedStatements {
    /// Keeps what a target has stated that is being removed.
    pub(super) fn retain(&mut self, state: &TargetState) {
        let statement = TargetStatement {
            paused_until: state.paused_until,
            states_leaving: state.states_leaving,
        };
        if statement.paused_until.is_none() && !statement.states_leaving {
            return;
        }
        *self.statement(&state.entry.id) = statement;
    }

    /// Returns the statement of a target that is not listed now, for a response that arrives
    /// late to add to it.
    pub(super) fn statement(&mut self, id: &str) -> &mut TargetStatement {
        let id = TargetId::from(id);
        if !self.statements.contains_key(&id) {
            self.make_room();
            self.order.push_back(id.clone());
        }
        self.statements.entry(id).or_default()
    }

    /// Applies what a target had stated before it was removed.
    pub(super) fn restore(&self, state: &mut TargetState) {
        let Some(statement) = self.statements.get(&state.entry.id) else {
            return;
        };
        state.paused_until = statement.paused_until;
        state.states_leaving = statement.states_leaving;
    }

    /// Forgets the target that was added first if the table is full.
    fn make_room(&mut self) {
        if self.order.len() < MAX_ENTRIES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.statements.remove(&oldest);
        }
    }
}
