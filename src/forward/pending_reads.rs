//! Counts the connections of a target on which this host waits for bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The connections of one target on which this host waits for bytes, so that the end of the
/// target's process would show on them at once.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingReads(Arc<AtomicUsize>);

/// Whether one connection is among those that wait; dropping it takes the connection out.
#[derive(Debug)]
pub(super) struct ReadMark {
    reads: PendingReads,
    is_pending: bool,
}

impl PendingReads {
    /// Returns whether a connection waits.
    pub(super) fn any(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }

    /// Returns whether a connection or a request refers to the count.
    pub(super) fn is_used(&self) -> bool {
        Arc::strong_count(&self.0) > 1
    }

    /// Adds a connection that does not wait yet.
    pub(super) fn open(&self) -> ReadMark {
        ReadMark {
            reads: self.clone(),
            is_pending: false,
        }
    }
}

impl ReadMark {
    /// Records whether the last read found nothing to read on the open connection.
    pub(super) fn set_pending(&mut self, is_pending: bool) {
        match (self.is_pending, is_pending) {
            (false, true) => {
                self.reads.0.fetch_add(1, Ordering::Relaxed);
            }
            (true, false) => {
                self.reads.0.fetch_sub(1, Ordering::Relaxed);
            }
            (false, false) | (true, true) => {}
        }
        self.is_pending = is_pending;
    }
}

impl Drop for ReadMark {
    fn drop(&mut self) {
        self.set_pending(false);
    }
}
