//! Ends and records the requests that meet the shutdown of this host.

use std::sync::Arc;
use std::time::Instant;

use super::progress::RequestProgress;
use super::tables::ServingTables;
use crate::drain::DrainWindow;

/// How the shutdown ended a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ShutdownEnd {
    /// Its connection was closed.
    Cut,
}

impl ShutdownEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Cut => "cut",
        }
    }
}

impl ServingTables {
    /// Returns the times of the shutdown, once it has begun.
    pub fn drain_window(&self) -> Option<DrainWindow> {
        *self.drain.borrow()
    }

    /// Begins the shutdown.
    pub fn begin_drain(&self, window: DrainWindow) {
        self.drain.send_replace(Some(window));
    }

    /// Logs and counts a request that the shutdown ends.
    pub(super) fn record_shutdown_end(
        self: &Arc<Self>,
        progress: &RequestProgress,
        end: ShutdownEnd,
        now: Instant,
    ) {
        let stopping = self.drain_window().map(|window| window.age(now));
        let millis = |time: std::time::Duration| time.as_millis() as u64;
        self.metrics.shutdown_ended(end.name());
        log::info!(
            request:% = progress.id,
            end:% = end.name(),
            is_sent = progress.is_sent(),
            after_ms = millis(progress.age(now)),
            left_ms:? = progress.left(now).map(millis),
            stopping_ms:? = stopping.map(millis);
            "request ended by the shutdown"
        );
    }
}
