//! Why a target takes no new work.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::HostId;
use crate::platform::wire::ListedPhase;

/// Why a target is out of rotation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RotationReason {
    /// It is declared as draining.
    Declared,
    /// The platform lists it as leaving.
    Listed,
    /// It refused work or said itself that it is leaving.
    Refused,
    /// A peer says that it is leaving.
    Reported,
}

/// What is known of one target's leaving. Any one reason is enough.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct LeavingSignals {
    pub(super) declared: bool,
    pub(super) listed: bool,
    refused_at: Option<Instant>,
    reported_by: BTreeMap<HostId, Instant>,
}

impl LeavingSignals {
    /// A target that was leaving and is no longer listed has left: only a
    /// list that calls it live again takes the sign back.
    pub(super) fn observe_listed(&mut self, phase: ListedPhase) {
        self.listed = phase == ListedPhase::Leaving;
    }

    pub(super) fn observe_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Takes in a target's own word, read at `measured_at` by this host or a
    /// watcher. An older reading does not take back a newer refusal: the
    /// reading may have been under way when the target began to leave.
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

    /// The strongest reason, if there is one.
    ///
    /// A word that is not repeated lapses after `expiry`.
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

    /// The strongest reason that does not rest on a peer's word.
    ///
    /// Only this is told to the own zone. Were hearsay passed on too, two
    /// hosts would go on telling each other after the target's return.
    ///
    /// Where no host polls the target, nothing takes its refusal back, and a
    /// target that has returned would stay idle for ever. So a refusal that
    /// no newer one confirms lapses; the next one brings the sign back.
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
