//! What the lease holder of a zone's shares knows about one host.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::units::ShareUnits;
use crate::ids::{LogOffset, OrganisationId};
use crate::peer::PeerDemand;

/// One organisation's grant to one host.
#[derive(Debug, Clone, Default)]
pub(super) struct GrantEntry {
    /// Number of the last grant sent; zero if none was sent.
    pub(super) number: u64,
    /// Units of the last grant sent.
    pub(super) granted: ShareUnits,
    /// Maximum units of all grants sent since the last acknowledgement.
    outstanding: ShareUnits,
    /// Units that the host last reported to hold.
    pub(super) held: ShareUnits,
    /// Units that the host last reported to want.
    pub(super) want: ShareUnits,
    /// Whether the host has acknowledged the last grant sent.
    pub(super) is_acknowledged: bool,
    /// Whether the last grant sent is valid until it is replaced, without an expiry.
    pub(super) is_permanent: bool,
}

impl GrantEntry {
    /// Returns the units to count as used by the host. A reply may be lost or late, so a
    /// lowered grant counts in full until the host acknowledges it, and a raised one from
    /// the moment it is sent.
    pub(super) fn counted(&self) -> ShareUnits {
        self.held.higher(self.outstanding)
    }

    pub(super) fn apply_demand(&mut self, demand: &PeerDemand, lease: LogOffset) {
        self.held = ShareUnits::new(demand.held_grant, demand.held_rate);
        self.want = ShareUnits::new(
            demand.in_flight.saturating_add(demand.waiting),
            demand.wanted_rate,
        );
        self.is_acknowledged =
            demand.grant_lease == Some(lease) && demand.grant_number == self.number;
        if self.is_acknowledged {
            self.outstanding = ShareUnits::NONE;
        }
    }

    /// Clears held and wanted units. A host whose report leaves out an organisation uses
    /// none of its capacity.
    pub(super) fn clear_report(&mut self) {
        self.held = ShareUnits::NONE;
        self.want = ShareUnits::NONE;
    }

    pub(super) fn send(&mut self, number: u64, units: ShareUnits, is_permanent: bool) {
        self.number = number;
        self.granted = units;
        self.outstanding = self.outstanding.higher(units);
        self.is_acknowledged = false;
        self.is_permanent = is_permanent;
    }
}

/// One incarnation of a host.
#[derive(Debug, Clone)]
pub(super) struct HolderEntry {
    /// Sequence number of the last report.
    pub(super) sequence: u64,
    /// Whether the log names it, so that a later lease holder will wait for its report.
    pub(super) is_registered: bool,
    pub(super) last_report: Instant,
    /// When all its expiring grants have ended on any clock.
    pub(super) expires_at: Instant,
    pub(super) removed_at: Option<Instant>,
    /// Whether it is shutting down and accepts no new requests.
    pub(super) is_draining: bool,
    pub(super) registration_appended_at: Option<Instant>,
    pub(super) grants: BTreeMap<OrganisationId, GrantEntry>,
}

impl HolderEntry {
    pub(super) fn new(is_registered: bool, expires_at: Instant, now: Instant) -> Self {
        Self {
            sequence: 0,
            is_registered,
            last_report: now,
            expires_at,
            removed_at: None,
            is_draining: false,
            registration_appended_at: None,
            grants: BTreeMap::new(),
        }
    }

    pub(super) fn counted(&self, organisation: &str) -> ShareUnits {
        self.grants
            .get(organisation)
            .map(GrantEntry::counted)
            .unwrap_or_default()
    }

    pub(super) fn want(&self, organisation: &str) -> ShareUnits {
        self.grants
            .get(organisation)
            .map(|entry| entry.want)
            .unwrap_or_default()
    }

    pub(super) fn is_fresh(&self, limit: Duration, now: Instant) -> bool {
        self.removed_at.is_none()
            && !self.is_draining
            && now.saturating_duration_since(self.last_report) <= limit
    }

    /// Returns whether it can no longer hold any grant.
    pub(super) fn has_ended(&self, removal_margin: Duration, now: Instant) -> bool {
        match self.removed_at {
            Some(removed_at) => now >= removed_at + removal_margin,
            None => !self.is_registered && now >= self.expires_at,
        }
    }

    pub(super) fn apply_report(&mut self, demands: &[PeerDemand], lease: LogOffset) {
        for entry in self.grants.values_mut() {
            entry.clear_report();
        }
        for demand in demands {
            self.grants
                .entry(demand.organisation.clone())
                .or_default()
                .apply_demand(demand, lease);
        }
    }
}
