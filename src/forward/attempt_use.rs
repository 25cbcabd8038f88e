//! Counts an attempt on its target while it is open.

use std::sync::Arc;

use super::tables::ServingTables;
use crate::ids::{ServiceId, TargetId};

/// An attempt in the table of silences until it is dropped.
#[derive(Debug)]
pub(super) struct AttemptUse {
    tables: Arc<ServingTables>,
    target: TargetId,
    is_silent: bool,
}

impl AttemptUse {
    pub(super) fn open(tables: Arc<ServingTables>, service: &ServiceId, target: &TargetId) -> Self {
        tables.silences.lock().observe_start(service, target);
        Self {
            tables,
            target: target.clone(),
            is_silent: false,
        }
    }

    /// Records whether the target stands still.
    pub(super) fn set_silent(&mut self, is_silent: bool) {
        if self.is_silent != is_silent {
            self.is_silent = is_silent;
            let mut silences = self.tables.silences.lock();
            silences.set_silent(&self.target, is_silent);
        }
    }
}

impl Drop for AttemptUse {
    fn drop(&mut self) {
        let mut silences = self.tables.silences.lock();
        silences.observe_end(&self.target, self.is_silent);
    }
}
