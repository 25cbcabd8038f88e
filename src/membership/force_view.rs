//! Computes up to which offset the configuration is in effect in all zones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::member::{HostMember, MemberPhase};
use super::table::MembershipTable;
use crate::ids::{HostId, LogOffset, ZoneId};
use crate::peer::ZoneDigest;

/// Configuration progress of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneForce {
    /// Lowest applied offset over the zone's live hosts; `None` if no host of the zone is
    /// reachable.
    pub lowest_applied_offset: Option<LogOffset>,
    /// Host with that offset.
    pub slowest_host: Option<HostId>,
    /// Hosts known to be unreachable by name.
    pub unreachable: BTreeSet<HostId>,
    /// Number of further unreachable hosts whose names are not known here.
    pub unnamed_unreachable: u32,
}

/// Configuration progress by zone.
///
/// Offsets only grow while a host runs, so an outdated value is too low and never too
/// high. The view may report a change as not yet in effect for too long. It reports a
/// change as in effect everywhere too early only if a host is unknown to all others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForceView {
    /// Progress of each zone, including this host's own.
    pub zones: BTreeMap<ZoneId, ZoneForce>,
}

impl ForceView {
    /// Returns the lowest applied offset over the live hosts of all reachable zones.
    pub fn lowest_applied_offset(&self) -> Option<LogOffset> {
        self.zones
            .values()
            .filter_map(|zone| zone.lowest_applied_offset)
            .min()
    }

    /// Returns the names of all unreachable hosts, as far as they are known.
    pub fn unreachable(&self) -> impl Iterator<Item = &HostId> {
        self.zones.values().flat_map(|zone| &zone.unreachable)
    }

    /// Returns whether every known host is reachable.
    pub fn is_whole(&self) -> bool {
        self.zones.values().all(|zone| {
            zone.lowest_applied_offset.is_some()
                && zone.unreachable.is_empty()
                && zone.unnamed_unreachable == 0
        })
    }
}

impl MembershipTable {
    /// Returns the configuration progress of each zone.
    ///
    /// The hosts of the own zone report directly. Other zones are covered by the digests
    /// of the few hosts that exchange heartbeats with this one.
    pub fn force_view(&self, now: Instant) -> ForceView {
        let max_age = self
            .exchange_plan()
            .suspect_after(self.settings.suspect_after, false);
        let mut by_zone: BTreeMap<ZoneId, Vec<&HostMember>> = BTreeMap::new();
        for member in self.members.values() {
            by_zone.entry(member.zone.clone()).or_default().push(member);
        }
        by_zone.remove(&self.settings.zone);
        let mut zones: BTreeMap<_, _> = by_zone
            .into_iter()
            .map(|(zone, members)| (zone, remote_force(&members, max_age, now)))
            .collect();
        let own = zone_force(&[&self.digest()], self.silent_zone_members());
        zones.insert(self.settings.zone.clone(), own);
        ForceView { zones }
    }

    fn silent_zone_members(&self) -> BTreeSet<HostId> {
        self.zone_members()
            .filter(|member| member.phase != MemberPhase::Live)
            .map(|member| member.host.clone())
            .collect()
    }
}

fn remote_force(members: &[&HostMember], max_age: Duration, now: Instant) -> ZoneForce {
    let digests: Vec<_> = members
        .iter()
        .filter_map(|member| member.digest.as_ref())
        .filter(|(_, received)| now.saturating_duration_since(*received) <= max_age)
        .map(|(digest, _)| digest)
        .collect();
    let named = match digests.is_empty() {
        true => members.iter().map(|member| member.host.clone()).collect(),
        false => digests
            .iter()
            .flat_map(|digest| digest.unreachable.iter().cloned())
            .collect(),
    };
    let mut force = zone_force(&digests, named);
    // A host that is known here but counted in no digest counts as unreachable, because
    // its zone may not know it yet.
    let covered = digests
        .iter()
        .map(|digest| digest.live_hosts + digest.unreachable_count)
        .min();
    let known = u32::try_from(members.len()).unwrap_or(u32::MAX);
    if let Some(covered) = covered {
        force.unnamed_unreachable += known.saturating_sub(covered);
    }
    force
}

fn zone_force(digests: &[&ZoneDigest], named: BTreeSet<HostId>) -> ZoneForce {
    let slowest = digests
        .iter()
        .map(|digest| (digest.lowest_applied_offset, &digest.slowest_host))
        .min();
    let counted = digests
        .iter()
        .map(|digest| digest.unreachable_count)
        .max()
        .unwrap_or(0);
    let named_count = u32::try_from(named.len()).unwrap_or(u32::MAX);
    ZoneForce {
        lowest_applied_offset: slowest.map(|(offset, _)| offset),
        slowest_host: slowest.map(|(_, host)| host.clone()),
        unnamed_unreachable: counted.saturating_sub(named_count),
        unreachable: named,
    }
}
