//! The side of a host that uses grants.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::units::ShareUnits;
use crate::ids::{LogOffset, OrganisationId};
use crate::peer::{PeerDemand, PeerGrant};

/// What an organisation's requests take up on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ShareUsage {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests waiting in the queue.
    pub waiting: u32,
    /// Requests per minute asked for over the last seconds.
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

/// What this host may use.
///
/// A grant stays until another takes its place, also when no holder can be
/// reached, unless it was given with a time to lapse. A host without any
/// grant uses nothing.
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
    /// A user without grants.
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

    /// Lets time pass; to be called several times a second and before any
    /// other use after a wait.
    ///
    /// A process that was frozen may have been declared gone, and what it
    /// held given to others. After a pause nothing is used until the holder
    /// has answered a report made since.
    pub fn tick(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_tick);
        if pause >= self.pause_limit {
            self.suspended_at = Some(now);
        }
        self.last_tick = now;
    }

    /// Gives up all grants for good; this host is shutting down.
    pub fn hand_back(&mut self) {
        self.is_handed_back = true;
        for grant in self.grants.values_mut() {
            grant.units = ShareUnits::NONE;
        }
    }

    /// Lease of the holder that was last reported to.
    pub fn reported_lease(&self) -> Option<LogOffset> {
        self.reported_lease
    }

    /// A report to the holder of `lease`. From now on grants of earlier
    /// leases are refused: the holder counts on what is reported here. `None`
    /// if a report to a later holder was made before.
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
            // Requests in flight above a lowered grant still take up capacity;
            // it is given up only as they end.
            held_grant: granted.concurrent_requests.max(usage.in_flight),
            held_rate: granted.requests_per_minute,
            grant_number: grant.map_or(0, |grant| grant.number),
            grant_lease: grant.map(|grant| grant.lease),
        }
    }

    /// Takes in the answer to a report made at `sent_at`. Says whether
    /// anything was lowered, which is worth reporting at once: somebody else
    /// waits for it.
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
        // An answer to a report from before the pause proves nothing.
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
        // Answers may overtake each other; an old one must not bring back
        // what a newer one has taken away.
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
            expires_at: grant.lapse.map(|lapse| sent_at + lapse),
        };
        self.grants.insert(grant.organisation.clone(), held);
        !before.is_within(units)
    }

    /// What this host may use of an organisation's capacity now.
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
