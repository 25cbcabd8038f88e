//! Reasons for which a target takes no new work.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::HostId;
use crate::platform::wire::ListedPhase;

/// Why a target is out of rotation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RotationReason {
    /// The target is declared as draining.
    Declared,
    /// The platform lists the target as leaving.
    Listed,
    /// The target refused work or reported itself as leaving.
    Refused,
    /// A peer reports the target as leaving.
    Reported,
}

/// Signals that a target is leaving. One of them is enough to take the target out of
/// rotation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct LeavingSignals {
    pub(super) declared: bool,
    pub(super) listed: bool,
    refused_at: Option<Instant>,
    reported_by: BTreeMap<HostId, Instant>,
}

impl LeavingSignals {
    /// Applies the target's phase in the platform's list. A target that was leaving and
    /// is no longer listed has left, so that only a list with another phase clears the
    /// signal.
    pub(super) fn observe_listed(&mut self, phase: ListedPhase) {
        self.listed = phase == ListedPhase::Leaving;
    }

    pub(super) fn observe_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Applies a target's own report, read at `measured_at` by this host or another
    /// watcher. A reading older than the last refusal does not clear it, because the
    /// target may have begun to leave after the reading.
    pub(super) fn observe_reading(&mut self, leaving: bool, measured_at: Instant) {
        match self.refused_at {
            _ if leaving => self.refused_at = self.refused_at.max(Some(measured_at)),
            Some(refused_at) if measured_at > refused_at => self.refused_at = None,
            _ => {}
        }
    }

    pub(super) fn observe_peer_report(&mut self, by: &HostId, leaving: bool, now: Instant) {
        match leaving {
            true => self.reported_by.insert(by.clone(), now),
            false => self.reported_by.remove(by),
        };
    }

    /// Returns the strongest reason, if there is one.
    ///
    /// A peer's report that is not repeated expires after `expiry`.
    pub(super) fn reason(&self, expiry: Duration, now: Instant) -> Option<RotationReason> {
        let is_reported = || {
            self.reported_by
                .values()
                .any(|reported_at| now.saturating_duration_since(*reported_at) < expiry)
        };
        match self.direct_reason(expiry, now) {
            Some(reason) => Some(reason),
            None if is_reported() => Some(RotationReason::Reported),
            None => None,
        }
    }

    /// Returns the strongest reason that does not depend on a peer's report.
    ///
    /// Only this one is reported to the own zone. If peers' reports were relayed, two
    /// hosts would keep repeating them to each other after the target's return.
    ///
    /// A refusal that is not repeated expires. Where no host polls the target, nothing
    /// else clears the refusal, and a target that has returned would stay idle forever.
    /// The next refusal sets the signal again.
    pub(super) fn direct_reason(&self, expiry: Duration, now: Instant) -> Option<RotationReason> {
        let refused = self
            .refused_at
            .filter(|refused| now.saturating_duration_since(*refused) < expiry);
        match refused {
            _ if self.declared => Some(RotationReason::Declared),
            _ if self.listed => Some(RotationReason::Listed),
            Some(_) => Some(RotationReason::Refused),
            None => None,
        }
    }
}
