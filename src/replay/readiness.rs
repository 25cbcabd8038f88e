//! Whether a host's configuration is good enough to take work.

use std::time::{Duration, Instant};

use super::table::DeclarationTable;
use crate::ids::LogOffset;

/// Whether the host may take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It may.
    Ready,
    /// It may not.
    NotReady(NotReadyReason),
}

/// Why the host may not take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotReadyReason {
    /// Nothing was replayed yet.
    #[error("no configuration yet")]
    NoConfiguration,
    /// A newer configuration is known to exist.
    #[error("configuration as of {applied}, {highest_known} is known to exist")]
    Behind {
        /// Offset after the last record applied.
        applied: LogOffset,
        /// Highest such offset known.
        highest_known: LogOffset,
    },
    /// The log has a record that only a newer program can judge.
    #[error("a record needs a newer program")]
    UnknownRules,
}

/// Follows what the host has applied and what it knows to exist.
///
/// What exists is known from the end of the log and from the applied offsets
/// in peers' heartbeats. That knowledge only grows: a log that answers with
/// an older end, or a peer that starts afresh, does not make an older
/// configuration good again.
#[derive(Debug, Clone)]
pub struct ReadinessTracker {
    grace: Duration,
    applied: LogOffset,
    highest_known: LogOffset,
    stopped: bool,
    /// Whether the host ever held all that it knew of.
    caught_up: bool,
    behind: Option<Lag>,
}

/// An offset that is known but not applied, and since when.
#[derive(Debug, Clone, Copy)]
struct Lag {
    offset: LogOffset,
    since: Instant,
}

impl ReadinessTracker {
    /// A host that knows nothing yet. Once it has caught up, it may be behind
    /// for `grace`, which covers the time that a new record takes to arrive;
    /// before that, it may not.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            applied: 0,
            highest_known: 0,
            stopped: false,
            caught_up: false,
            behind: None,
        }
    }

    /// Learns that records up to an end offset exist.
    pub fn observe_end_offset(&mut self, end_offset: LogOffset, now: Instant) {
        self.highest_known = self.highest_known.max(end_offset);
        self.update_lag(now);
    }

    /// Takes note of what the table has applied.
    pub fn observe_applied(&mut self, table: &DeclarationTable, now: Instant) {
        self.applied = table.applied();
        self.stopped = table.stopped().is_some();
        self.highest_known = self.highest_known.max(self.applied);
        self.update_lag(now);
    }

    /// The highest offset known to exist.
    pub fn highest_known(&self) -> LogOffset {
        self.highest_known
    }

    /// Whether the host may take work now.
    pub fn readiness(&self, now: Instant) -> Readiness {
        let behind = NotReadyReason::Behind {
            applied: self.applied,
            highest_known: self.highest_known,
        };
        match self.behind {
            _ if self.stopped => Readiness::NotReady(NotReadyReason::UnknownRules),
            _ if self.applied == 0 => Readiness::NotReady(NotReadyReason::NoConfiguration),
            None => Readiness::Ready,
            Some(_) if !self.caught_up => Readiness::NotReady(behind),
            Some(lag) if now.duration_since(lag.since) > self.grace => Readiness::NotReady(behind),
            Some(_) => Readiness::Ready,
        }
    }

    /// Moves the mark. When its target is reached while later records are
    /// known, it starts again at those: under a steady stream of changes the
    /// host is always some records behind, and yet none of them is late.
    fn update_lag(&mut self, now: Instant) {
        if self.applied >= self.highest_known {
            self.behind = None;
            self.caught_up |= self.applied > 0;
            return;
        }
        let reached = self.behind.is_none_or(|lag| self.applied >= lag.offset);
        if reached {
            self.behind = Some(Lag {
                offset: self.highest_known,
                since: now,
            });
        }
    }
}
