//! Grants as used by a host.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::units::ShareUnits;
use crate::ids::{LogOffset, OrganisationId};
use crate::peer::{PeerDemand, PeerGrant};

/// Load of one organisation's requests on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ShareUsage {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests waiting in the queue.
    pub waiting: u32,
    /// Requests per minute wanted over the last seconds.
    pub wanted_rate: u32,
}

/// The last grant of one organisation's capacity.
#[derive(Debug, Clone)]
struct HeldGrant {
    lease: LogOffset,
    number: u64,
    units: ShareUnits,
    expires_at: Option<Instant>,
}

/// Grants that this host may use.
///
/// A grant is valid until another replaces it, even if no lease holder can be reached,
/// unless it was given with an expiry. A host without a grant uses nothing.
#[derive(Debug)]
pub struct GrantUser {
    pause_limit: Duration,
    reported_lease: Option<LogOffset>,
    grants: BTreeMap<OrganisationId, HeldGrant>,
    last_tick: Instant,
    suspended_at: Option<Instant>,
    is_handed_back: bool,
}

impl GrantUser {
    /// Creates a user without grants.
    pub fn new(pause_limit: Duration, now: Instant) -> Self {
        Self {
            pause_limit,
            reported_lease: None,
            grants: BTreeMap::new(),
            last_tick: now,
            suspended_at: None,
            is_handed_back: false,
        }
    }

    /// Advances time. Must be called several times a second, and before any other use
    /// after a wait.
    ///
    /// A process that was frozen may count as ended at the other hosts, and its units may
    /// have been granted to them. After a pause it uses nothing until the lease holder
    /// has replied to a report sent since then.
    pub fn tick(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_tick);
        if pause >= self.pause_limit {
            self.suspended_at = Some(now);
        }
        self.last_tick = now;
    }

    /// Returns all grants permanently, because this host is shutting down.
    pub fn hand_back(&mut self) {
        self.is_handed_back = true;
        for grant in self.grants.values_mut() {
            grant.units = ShareUnits::NONE;
        }
    }

    /// Returns the lease whose holder received the last report.
    pub fn reported_lease(&self) -> Option<LogOffset> {
        self.reported_lease
    }

    /// Returns a report for the holder of `lease`, or `None` after a report to a later
    /// holder. From now on grants of earlier leases are rejected, because the lease
    /// holder relies on the reported units.
    pub fn report(
        &mut self,
        lease: LogOffset,
        usage: &BTreeMap<OrganisationId, ShareUsage>,
        now: Instant,
    ) -> Option<Vec<PeerDemand>> {
        if self.reported_lease.is_some_and(|reported| reported > lease) {
            return None;
        }
        self.reported_lease = Some(lease);
        let mut organisations: Vec<_> = self.grants.keys().chain(usage.keys()).collect();
        organisations.sort_unstable();
        organisations.dedup();
        let demands = organisations
            .into_iter()
            .map(|organisation| {
                let usage = usage.get(organisation).copied().unwrap_or_default();
                self.demand(organisation, usage, now)
            })
            .collect();
        Some(demands)
    }

    fn demand(&self, organisation: &OrganisationId, usage: ShareUsage, now: Instant) -> PeerDemand {
        let grant = self.grants.get(organisation);
        let granted = self.granted(organisation, now);
        PeerDemand {
            organisation: organisation.clone(),
            in_flight: usage.in_flight,
            waiting: usage.waiting,
            wanted_rate: usage.wanted_rate,
            // Requests in flight above a lowered grant still use capacity, which is
            // released only as they end.
            held_grant: granted.concurrent_requests.max(usage.in_flight),
            held_rate: granted.requests_per_minute,
            grant_number: grant.map_or(0, |grant| grant.number),
            grant_lease: grant.map(|grant| grant.lease),
        }
    }

    /// Applies the reply to a report sent at `sent_at`. Returns whether any grant was
    /// lowered, in which case the host should report again at once, as another host waits
    /// for the units.
    pub fn observe_reply(
        &mut self,
        lease: LogOffset,
        grants: &[PeerGrant],
        sent_at: Instant,
    ) -> bool {
        if self.reported_lease != Some(lease) {
            return false;
        }
        let mut is_lowered = false;
        for grant in grants {
            is_lowered |= self.apply_grant(lease, grant, sent_at);
        }
        // A reply to a report from before the pause does not confirm the grants.
        if self
            .suspended_at
            .is_some_and(|suspended| sent_at >= suspended)
        {
            self.suspended_at = None;
        }
        is_lowered
    }

    fn apply_grant(&mut self, lease: LogOffset, grant: &PeerGrant, sent_at: Instant) -> bool {
        let known = self.grants.get(&grant.organisation);
        // Replies may arrive out of order; an older one must not restore units that a
        // newer one has taken away.
        if known.is_some_and(|known| known.lease == lease && known.number >= grant.number) {
            return false;
        }
        let before = known.map(|known| known.units).unwrap_or_default();
        let units = match self.is_handed_back {
            true => ShareUnits::NONE,
            false => ShareUnits::new(grant.concurrent_requests, grant.requests_per_minute),
        };
        let held = HeldGrant {
            lease,
            number: grant.number,
            units,
            expires_at: grant.expires_after.map(|expiry| sent_at + expiry),
        };
        self.grants.insert(grant.organisation.clone(), held);
        !before.is_within(units)
    }

    /// Returns what this host may use of an organisation's capacity at `now`.
    pub fn limit(&self, organisation: &str, now: Instant) -> ShareUnits {
        let pause = now.saturating_duration_since(self.last_tick);
        match self.suspended_at {
            Some(_) => ShareUnits::NONE,
            None if pause >= self.pause_limit => ShareUnits::NONE,
            None => self.granted(organisation, now),
        }
    }

    fn granted(&self, organisation: &str, now: Instant) -> ShareUnits {
        match self.grants.get(organisation) {
            Some(grant) if grant.expires_at.is_none_or(|expires_at| now < expires_at) => {
                grant.units
            }
            _ => ShareUnits::NONE,
        }
    }
}
