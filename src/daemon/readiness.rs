//! Decides whether this host's configuration is recent enough to accept work.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::ids::LogOffset;
use crate::replay::{DeclarationTable, NotReadyReason, Readiness, ReadinessTracker};

/// How long a host that had caught up may stay behind the newest known offset.
///
/// Covers the usual delay of a record through the log or a peer. A change must take
/// effect within a few seconds.
const LAG_GRACE: Duration = Duration::from_secs(3);

/// Compares what the host has applied with what is known to exist. Its lock is a leaf: no
/// other lock is taken under it, so it may be taken while any table is locked.
pub(super) struct ReadinessGate {
    state: Mutex<GateState>,
}

struct GateState {
    tracker: ReadinessTracker,
    /// Whether the log was read to its end, or every peer was queried.
    confirmed: bool,
    last_logged: Option<Readiness>,
}

impl ReadinessGate {
    pub(super) fn new() -> Self {
        Self {
            state: Mutex::new(GateState {
                tracker: ReadinessTracker::new(LAG_GRACE),
                confirmed: false,
                last_logged: None,
            }),
        }
    }

    /// Records that the log has records up to an end offset.
    pub(super) fn observe_end_offset(&self, end_offset: LogOffset, now: Instant) {
        self.state
            .lock()
            .tracker
            .observe_end_offset(end_offset, now);
    }

    /// Updates the applied offset from the table.
    pub(super) fn observe_applied(&self, table: &DeclarationTable, now: Instant) {
        self.state.lock().tracker.observe_applied(table, now);
    }

    /// Marks the host's knowledge of existing records as confirmed.
    ///
    /// The first peer that replies to a starting host may itself be cut off and out of
    /// date. If the host accepted work on that reply alone, it could serve a
    /// configuration that has long been replaced everywhere else.
    pub(super) fn confirm(&self) {
        self.state.lock().confirmed = true;
    }

    /// Returns whether the host may accept work now, and logs each change.
    pub(super) fn readiness(&self, now: Instant) -> Readiness {
        let mut state = self.state.lock();
        let readiness = match state.tracker.readiness(now) {
            Readiness::Ready if !state.confirmed => {
                Readiness::NotReady(NotReadyReason::NoConfiguration)
            }
            readiness => readiness,
        };
        if state.last_logged != Some(readiness) {
            log_readiness(readiness);
            state.last_logged = Some(readiness);
        }
        readiness
    }
}

fn log_readiness(readiness: Readiness) {
    match readiness {
        Readiness::Ready => log::info!("the configuration is up to date: accepting work"),
        Readiness::NotReady(reason @ NotReadyReason::UnknownRules) => {
            log::error!("accepting no work: {reason}");
        }
        Readiness::NotReady(reason) => log::warn!("accepting no work: {reason}"),
    }
}
