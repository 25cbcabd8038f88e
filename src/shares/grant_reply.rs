//! Replies of the lease holder of a zone's shares to reports of hosts.

use std::time::Instant;

use super::division::divide;
use super::grant_entry::{GrantEntry, HolderEntry};
use super::grant_table::{GrantTable, TablePhase};
use super::record::GrantHolder;
use super::units::ShareUnits;
use crate::ids::OrganisationId;
use crate::peer::PeerGrant;

impl GrantTable {
    /// Returns the changed grants for a host that has just reported, or `None` if this
    /// table does not divide, in which case the host keeps its grants.
    pub fn reply(&mut self, holder: &GrantHolder, now: Instant) -> Option<Vec<PeerGrant>> {
        if !matches!(
            self.phase(now),
            TablePhase::Collecting | TablePhase::Dividing
        ) {
            return None;
        }
        let known = self.entries.get(holder)?.grants.keys();
        let mut organisations: Vec<_> = self.shares.keys().chain(known).cloned().collect();
        organisations.sort_unstable();
        organisations.dedup();
        let grants: Vec<_> = organisations
            .into_iter()
            .filter_map(|organisation| self.grant(holder, organisation, now))
            .collect();
        let expires_at = now + self.max_expiry();
        if let Some(entry) = self.entries.get_mut(holder) {
            entry.expires_at = expires_at;
        }
        Some(grants)
    }

    fn grant(
        &mut self,
        holder: &GrantHolder,
        organisation: OrganisationId,
        now: Instant,
    ) -> Option<PeerGrant> {
        let units = self.units_to_grant(holder, &organisation, now);
        let expiry = self.settings.expiry;
        let entry = self.entries.get_mut(holder)?;
        let is_permanent = entry.is_registered;
        let grant = entry.grants.entry(organisation.clone()).or_default();
        let is_current = match grant.number {
            0 => units == ShareUnits::NONE && grant.counted() == ShareUnits::NONE,
            _ => {
                grant.is_acknowledged
                    && grant.granted == units
                    && grant.is_permanent
                    && is_permanent
            }
        };
        if is_current {
            return None;
        }
        grant.send(self.next_number, units, is_permanent);
        self.next_number += 1;
        Some(PeerGrant {
            organisation,
            concurrent_requests: units.concurrent_requests,
            requests_per_minute: units.requests_per_minute,
            number: grant.number,
            expires_after: (!is_permanent).then_some(expiry),
        })
    }

    /// Returns the units to grant to a host: its part of a fair division, limited by what
    /// the other hosts have released.
    fn units_to_grant(&self, holder: &GrantHolder, organisation: &str, now: Instant) -> ShareUnits {
        let limit = self.limit(organisation, now);
        let others: ShareUnits = self
            .entries
            .iter()
            .filter(|(other, _)| *other != holder)
            .map(|(_, entry)| entry.counted(organisation))
            .sum();
        let free = limit - others;
        let fair = self.fair_share(holder, organisation, limit, now);
        let grant = self
            .entries
            .get(holder)
            .and_then(|entry| entry.grants.get(organisation));
        match grant {
            Some(grant) if self.can_keep(grant, fair, organisation, now) => {
                grant.granted.lower(free)
            }
            _ => fair.lower(free),
        }
    }

    /// Returns whether a grant may stay as it is although a division from scratch would
    /// give another. It may if the host has acknowledged it, every host has what it wants,
    /// no unit is free, and the grant is within a factor of two of its fair share.
    /// Without this rule each start or end of a request would move units between hosts.
    fn can_keep(
        &self,
        grant: &GrantEntry,
        fair: ShareUnits,
        organisation: &str,
        now: Instant,
    ) -> bool {
        let is_close = fair.is_within(grant.granted + grant.granted)
            && fair != ShareUnits::NONE
            && grant.granted.is_within(fair + fair);
        // A host that joined after the others had divided everything wants nothing yet
        // and holds nothing, and its first request would have to wait.
        let hosts = u32::try_from(self.fresh_entries(now).count()).unwrap_or(u32::MAX);
        let one_per_host = ShareUnits {
            concurrent_requests: hosts,
            requests_per_minute: hosts,
        };
        let covers_all_hosts = one_per_host.is_within(self.limit(organisation, now));
        let all_satisfied = self.fresh_entries(now).all(|(_, entry)| {
            let granted = entry.grants.get(organisation).map(|other| other.granted);
            let granted = granted.unwrap_or_default();
            let has_minimum = granted.concurrent_requests > 0 && granted.requests_per_minute > 0;
            entry.want(organisation).is_within(granted) && (has_minimum || !covers_all_hosts)
        });
        let nothing_free = self
            .limit(organisation, now)
            .is_within(self.counted(organisation));
        grant.is_acknowledged && is_close && all_satisfied && nothing_free
    }

    fn fair_share(
        &self,
        holder: &GrantHolder,
        organisation: &str,
        limit: ShareUnits,
        now: Instant,
    ) -> ShareUnits {
        let held_by_silent: ShareUnits = self
            .entries
            .values()
            .filter(|entry| !entry.is_fresh(self.settings.max_report_age, now))
            .map(|entry| entry.counted(organisation))
            .sum();
        let available = limit - held_by_silent;
        let wants: Vec<_> = self
            .fresh_entries(now)
            .map(|(_, entry)| entry.want(organisation))
            .collect();
        let Some(index) = self
            .fresh_entries(now)
            .position(|(other, _)| other == holder)
        else {
            return ShareUnits::NONE;
        };
        let concurrent: Vec<_> = wants.iter().map(|want| want.concurrent_requests).collect();
        let rates: Vec<_> = wants.iter().map(|want| want.requests_per_minute).collect();
        ShareUnits::new(
            divide(available.concurrent_requests, &concurrent)[index],
            divide(available.requests_per_minute, &rates)[index],
        )
    }

    fn fresh_entries(&self, now: Instant) -> impl Iterator<Item = (&GrantHolder, &HolderEntry)> {
        let limit = self.settings.max_report_age;
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.is_fresh(limit, now))
    }
}
