//! Whether this host's configuration is good enough to take work.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::ids::LogOffset;
use crate::replay::{DeclarationTable, NotReadyReason, Readiness, ReadinessTracker};

/// How long a host that had caught up may be behind what it knows to exist.
///
/// Covers the ordinary way of a record through the log or a peer; a change
/// must be in force within a few seconds.
const LAG_GRACE: Duration = Duration::from_secs(3);

/// What the host holds against what it knows to exist. A lock of its own that
/// is held for no other: it may be taken with any table locked.
pub(super) struct ReadinessGate {
    state: Mutex<GateState>,
}

struct GateState {
    tracker: ReadinessTracker,
    /// Whether the log was read to its end, or every peer was asked.
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

    /// Learns that records up to an end offset exist.
    pub(super) fn learn(&self, end_offset: LogOffset, now: Instant) {
        self.state.lock().tracker.learn(end_offset, now);
    }

    /// Takes note of what the table has applied.
    pub(super) fn advance(&self, table: &DeclarationTable, now: Instant) {
        self.state.lock().tracker.advance(table, now);
    }

    /// Notes that the host has heard of what exists.
    ///
    /// The first peer that answers a starting host may itself be cut off and
    /// old. Taking work on its word alone would serve a configuration that
    /// has long been replaced everywhere else.
    pub(super) fn confirm(&self) {
        self.state.lock().confirmed = true;
    }

    /// Whether the host may take work now.
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
        Readiness::Ready => log::info!("the configuration is good: taking work"),
        Readiness::NotReady(reason @ NotReadyReason::UnknownRules) => {
            log::error!("taking no work: {reason}");
        }
        Readiness::NotReady(reason) => log::warn!("taking no work: {reason}"),
    }
}
