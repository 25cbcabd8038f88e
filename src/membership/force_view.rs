//! From which offset on the configuration is in force everywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::member::{HostMember, MemberPhase};
use super::table::MembershipTable;
use crate::ids::{HostId, LogOffset, ZoneId};
use crate::peer::ZoneDigest;

/// What is known of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneForce {
    /// Lowest applied offset over the zone's live hosts; `None` if no host of
    /// the zone can be heard.
    pub lowest_applied_offset: Option<LogOffset>,
    /// Host with that offset.
    pub slowest_host: Option<HostId>,
    /// Hosts known to be unreachable, as far as they are named.
    pub unreachable: BTreeSet<HostId>,
    /// Further unreachable hosts that nobody has named here.
    pub unnamed_unreachable: u32,
}

/// What is in force, zone by zone.
///
/// Offsets only grow while a host lives, so a late figure is too low and
/// never too high: the view may say "not yet" for too long, but does not say
/// "everywhere" too early, except of hosts that nobody has heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForceView {
    /// Zones by name, this host's own among them.
    pub zones: BTreeMap<ZoneId, ZoneForce>,
}

impl ForceView {
    /// Lowest applied offset over the live hosts of all zones that are heard.
    pub fn lowest_applied_offset(&self) -> Option<LogOffset> {
        self.zones
            .values()
            .filter_map(|zone| zone.lowest_applied_offset)
            .min()
    }

    /// All hosts that are named as unreachable.
    pub fn unreachable(&self) -> impl Iterator<Item = &HostId> {
        self.zones.values().flat_map(|zone| &zone.unreachable)
    }

    /// Whether every host that is known can be heard.
    pub fn is_whole(&self) -> bool {
        self.zones.values().all(|zone| {
            zone.lowest_applied_offset.is_some()
                && zone.unreachable.is_empty()
                && zone.unnamed_unreachable == 0
        })
    }
}

impl MembershipTable {
    /// Which offset is in force in each zone.
    ///
    /// The own zone is heard directly. Of another zone only a few hosts are
    /// heard; their digests speak for the others.
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
    // A host that is known here and that no digest counts is not spoken for:
    // its zone may not have heard of it yet.
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
