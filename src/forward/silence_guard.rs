//! Counts an attempt on its target while it is open.

use std::sync::Arc;

use super::tables::ServingTables;
use crate::ids::{ServiceId, TargetId};

/// An attempt in the table of silences until it is dropped.
#[derive(Debug)]
pub(super) struct SilenceGuard {
    tables: Arc<ServingTables>,
    target: TargetId,
    is_unresponsive: bool,
}

impl SilenceGuard {
    pub(super) fn open(tables: Arc<ServingTables>, service: &ServiceId, target: &TargetId) -> Self {
        tables.silences.lock().observe_start(service, target);
        Self {
            tables,
            target: target.clone(),
            is_unresponsive: false,
        }
    }

    /// Records whether the target does not respond.
    pub(super) fn set_unresponsive(&mut self, is_unresponsive: bool) {
        if self.is_unresponsive != is_unresponsive {
            self.is_unresponsive = is_unresponsive;
            let mut silences = self.tables.silences.lock();
            silences.set_unresponsive(&self.target, is_unresponsive);
        }
    }
}

impl Drop for SilenceGuard {
    fn drop(&mut self) {
        let mut silences = self.tables.silences.lock();
        silences.observe_end(&self.target, self.is_unresponsive);
    }
}
