//! Determines whether a host's configuration is recent enough to accept work.

use std::time::{Duration, Instant};

use super::table::DeclarationTable;
use crate::ids::LogOffset;

/// Whether the host may accept work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// The host accepts work.
    Ready,
    /// The host does not accept work.
    NotReady(NotReadyReason),
}

/// Why the host does not accept work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotReadyReason {
    /// No record has been applied yet.
    #[error("no configuration yet")]
    NoConfiguration,
    /// The configuration is older than one that is known to exist.
    #[error("configuration as of {applied}, {highest_known} is known to exist")]
    Behind {
        /// Offset after the last record applied.
        applied: LogOffset,
        /// Highest end offset known to exist.
        highest_known: LogOffset,
    },
    /// The log contains a record that requires a newer program.
    #[error("a record requires a newer program")]
    UnknownRules,
}

/// Tracks the offset that the host has applied and the highest offset known to exist.
///
/// Offsets are learned from the end of the log and from the applied offsets in the
/// heartbeats of peers. The highest known offset never decreases: a log that replies with
/// an older end, or a peer that restarts, does not make an older configuration
/// acceptable.
#[derive(Debug, Clone)]
pub struct ReadinessTracker {
    grace: Duration,
    applied: LogOffset,
    highest_known: LogOffset,
    stopped: bool,
    /// Whether the host has ever applied everything that it knew of.
    caught_up: bool,
    behind: Option<Lag>,
}

/// A known offset that is not yet applied, and since when.
#[derive(Debug, Clone, Copy)]
struct Lag {
    offset: LogOffset,
    since: Instant,
}

impl ReadinessTracker {
    /// Creates a tracker without any known offset. Once the host has caught up, it may
    /// lag for `grace`, which covers the arrival time of a new record; before that, it is
    /// not ready while it lags.
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

    /// Raises the highest known offset to `end_offset`, unless it is higher already.
    pub fn observe_end_offset(&mut self, end_offset: LogOffset, now: Instant) {
        self.highest_known = self.highest_known.max(end_offset);
        self.update_lag(now);
    }

    /// Copies the applied offset from the table, and whether the table has stopped.
    pub fn observe_applied(&mut self, table: &DeclarationTable, now: Instant) {
        self.applied = table.applied();
        self.stopped = table.stopped().is_some();
        self.highest_known = self.highest_known.max(self.applied);
        self.update_lag(now);
    }

    /// Returns the highest offset known to exist.
    pub fn highest_known(&self) -> LogOffset {
        self.highest_known
    }

    /// Returns whether the host may accept work at `now`.
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

    /// Updates the lag. When its offset is reached while later records are known, it
    /// restarts at the latest of these: under steady changes the host always lags by some
    /// records, although each is applied in time.
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
