//! Live hosts, as one host sees them, and the roles that hosts have for others.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use super::GossipTable;
use crate::collections::FastMap;
use crate::ids::{HostId, HostWeight, TargetKey, ZoneId};
use crate::membership::role::{RoleCandidate, aggregator_count, rank_hosts};
use crate::permits::{issued_share, issuing_host};

/// Time after the start within which a host learns of the others.
const JOIN_TIME: Duration = Duration::from_secs(1);
/// Time after the start after which a host that knows no other is considered alone.
const LONE_JOIN_TIME: Duration = Duration::from_secs(3);

impl GossipTable {
    /// Returns the live hosts of a zone by rank, including this one if it is its own
    /// zone.
    pub fn live_hosts(&self, zone: &str, now: Instant) -> Vec<HostId> {
        let ranked = self.ranked(zone, now).into_iter();
        ranked.map(|candidate| candidate.host).collect()
    }

    pub(super) fn ranked(&self, zone: &str, now: Instant) -> Vec<RoleCandidate> {
        let others = self.members.iter();
        let others = others.filter(|(_, member)| *member.zone == *zone && member.is_live(now));
        let own = (*self.zone == *zone).then_some((&self.host, self.weight));
        let others = others.map(|(host, member)| (host, member.weight));
        rank_all(others.chain(own))
    }

    /// Returns the aggregators of this zone by rank.
    pub fn aggregators(&self, now: Instant) -> Vec<HostId> {
        let ranked = self.ranked(&self.zone, now);
        let count = aggregator_count(&ranked);
        let aggregators = ranked.into_iter().take(count);
        aggregators.map(|candidate| candidate.host).collect()
    }

    /// Returns whether this host is an aggregator of its zone.
    pub fn is_aggregator(&self, now: Instant) -> bool {
        self.aggregators(now).contains(&self.host)
    }

    /// Returns the live host of the highest rank over all zones.
    pub fn global_leader(&self, now: Instant) -> HostId {
        let live = self.members.iter();
        let live = live.filter(|(_, member)| member.is_live(now));
        let live = live.map(|(host, member)| (host, member.weight));
        let ranked = rank_all(live.chain([(&self.host, self.weight)]));
        let first = ranked.into_iter().next();
        first.map_or_else(|| self.host.clone(), |first| first.host)
    }

    /// Returns the number of live hosts of all zones, including this one.
    pub fn live_count(&self, now: Instant) -> usize {
        let live = self.members.values();
        let live = live.filter(|member| member.is_live(now));
        live.count() + 1
    }

    /// Returns whether this host is the leader of its zone, the live host of the highest
    /// rank. The leader reads the log for the others and exchanges views with other
    /// zones, so that the cost of both does not grow with the number of hosts in a zone.
    pub fn is_leader(&self, now: Instant) -> bool {
        self.leaders(now, 1).is_empty()
    }

    /// Returns the live hosts of this zone that rank above this host, at most `limit` of
    /// them. The first one reads the log, and the next ones take over where it cannot.
    pub fn leaders(&self, now: Instant, limit: usize) -> Vec<(HostId, SocketAddr)> {
        let hosts = self.live_hosts(&self.zone, now).into_iter();
        let higher = hosts.take_while(|host| *host != self.host).take(limit);
        self.with_addresses(higher)
    }

    /// Returns the host that issues the permits for a target of a zone, which may be this
    /// one. If the zone has no live host, returns the host of the highest rank over all
    /// zones; `None` while this host may not know the others.
    pub fn permit_host(&self, zone: &str, target: TargetKey, now: Instant) -> Option<HostId> {
        if !self.has_joined(now) {
            return None;
        }
        let chosen = issuing_host(target, &self.live_hosts(zone, now));
        Some(chosen.unwrap_or_else(|| self.global_leader(now)))
    }

    /// Returns the share of a zone's limits that the live hosts of the zone may issue,
    /// from 0 to 1. If the zone has no live host, returns the share of the live hosts of
    /// all zones. It is 0 while there may be hosts that this one has never heard of: each of
    /// them may take itself for the only one.
    pub fn permit_share(&self, zone: &str, now: Instant) -> f64 {
        let is_own = usize::from(*self.zone == *zone);
        let members = self.members.values();
        let known = members.filter(|member| *member.zone == *zone).count() + is_own;
        match self.live_hosts(zone, now).len() {
            _ if self.may_miss_hosts(zone, now) => 0.0,
            0 => {
                let known = self.known_count() + self.registry.unknown_count();
                issued_share(self.live_count(now), known)
            }
            live => issued_share(live, known + self.registry.unknown_in(zone)),
        }
    }

    /// Returns whether this host has been up long enough to know the others.
    pub(super) fn has_joined(&self, now: Instant) -> bool {
        let knows_others = self.members.values().any(|member| member.is_live(now));
        let time = if knows_others {
            JOIN_TIME
        } else {
            LONE_JOIN_TIME
        };
        self.first_seed_call
            .is_some_and(|first| now >= first + time)
    }

    /// Returns the other live hosts of this zone by rank.
    pub fn neighbours(&self, now: Instant) -> Vec<(HostId, SocketAddr)> {
        let hosts = self.live_hosts(&self.zone, now).into_iter();
        self.with_addresses(hosts.filter(|host| *host != self.host))
    }

    fn with_addresses<H>(&self, hosts: H) -> Vec<(HostId, SocketAddr)>
    where
        H: Iterator<Item = HostId>,
    {
        let known = hosts.filter_map(|host| {
            let address = self.members.get(&host)?.address;
            Some((host, address))
        });
        known.collect()
    }

    /// Returns the other live hosts of all zones, with their zones and addresses.
    pub fn live_members(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&HostId, &ZoneId, SocketAddr)> {
        let live = self
            .members
            .iter()
            .filter(move |(_, member)| member.is_live(now));
        live.map(|(host, member)| (host, &member.zone, member.address))
    }

    /// Returns whether another host uses an IP address.
    pub fn is_member_ip(&self, ip: IpAddr) -> bool {
        let mut members = self.members.values();
        members.any(|member| member.address.ip() == ip)
    }

    /// Returns the address on which another host listens to peers.
    pub fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        Some(self.members.get(host)?.address)
    }

    /// Returns the number of hosts of all zones that are not forgotten yet, live or not,
    /// including this one.
    pub fn known_count(&self) -> usize {
        self.known_counts().into_values().sum()
    }

    /// Returns the number of known hosts like [`Self::known_count`], unless this host may be
    /// alone without knowing it, or has heard of none in one of `zones`, as after a start
    /// behind a cut.
    pub fn complete_count<'a, Z>(&self, zones: Z, now: Instant) -> Option<usize>
    where
        Z: IntoIterator<Item = &'a ZoneId>,
    {
        if self.may_miss_all(now) {
            return None;
        }
        let counts = self.known_counts();
        let knows_all = zones.into_iter().all(|zone| counts.contains_key(zone));
        knows_all.then(|| counts.into_values().sum())
    }

    fn known_counts(&self) -> FastMap<&ZoneId, usize> {
        let mut counts = FastMap::<&ZoneId, usize>::default();
        for member in self.members.values() {
            *counts.entry(&member.zone).or_default() += 1;
        }
        *counts.entry(&self.zone).or_default() += 1;
        for (zone, reported) in &self.counts {
            let count = counts.entry(zone).or_default();
            *count = (*count).max(*reported as usize);
        }
        counts
    }

    /// Returns whether an address belongs to another host of this zone.
    pub fn is_neighbour(&self, address: SocketAddr) -> bool {
        let mut members = self.members.values();
        members.any(|member| member.address == address && member.zone == self.zone)
    }
}

fn rank_all<'a, C>(hosts: C) -> Vec<RoleCandidate>
where
    C: Iterator<Item = (&'a HostId, HostWeight)>,
{
    let candidates = hosts.map(|(host, weight)| RoleCandidate {
        host: host.clone(),
        weight,
    });
    let mut ranked = candidates.collect::<Vec<_>>();
    rank_hosts(&mut ranked);
    ranked
}
