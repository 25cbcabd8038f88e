//! Who lives, as one host sees it, and which duties the hosts have for others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::GossipTable;
use crate::collections::FastMap;
use crate::ids::{HostId, HostWeight, TargetKey, ZoneId};
use crate::membership::role::{RoleCandidate, aggregator_count, rank_hosts};
use crate::permits::{issued_part, issuing_host};

/// Time after its start in which a host hears of the others, and after which one that
/// hears of nobody is taken to be alone.
const JOIN_TIME: Duration = Duration::from_secs(1);
const LONE_JOIN_TIME: Duration = Duration::from_secs(3);

impl GossipTable {
    /// Live hosts of a zone in the order of their duties, this one among them
    /// if it is its zone.
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

    /// The hosts that speak for this zone, in the order of their duties.
    pub fn aggregators(&self, now: Instant) -> Vec<HostId> {
        let ranked = self.ranked(&self.zone, now);
        let count = aggregator_count(&ranked);
        let aggregators = ranked.into_iter().take(count);
        aggregators.map(|candidate| candidate.host).collect()
    }

    /// Whether this host is one of those that speak for its zone.
    pub fn is_aggregator(&self, now: Instant) -> bool {
        self.aggregators(now).contains(&self.host)
    }

    /// The live host that comes first in the order of duties, over all zones.
    pub fn global_leader(&self, now: Instant) -> HostId {
        let live = self.members.iter();
        let live = live.filter(|(_, member)| member.is_live(now));
        let live = live.map(|(host, member)| (host, member.weight));
        let ranked = rank_all(live.chain([(&self.host, self.weight)]));
        let first = ranked.into_iter().next();
        first.map_or_else(|| self.host.clone(), |first| first.host)
    }

    /// Live hosts of all zones that this host knows, this one among them.
    pub fn live_count(&self, now: Instant) -> usize {
        let live = self.members.values();
        let live = live.filter(|member| member.is_live(now));
        live.count() + 1
    }

    /// Whether this host is the first live one of its zone in the order of
    /// duties. It reads the log for the others and exchanges with other zones,
    /// so that both cost the same however many hosts a zone has.
    pub fn is_leader(&self, now: Instant) -> bool {
        self.leaders(now, 1).is_empty()
    }

    /// The first live hosts of this zone in the order of duties, up to this one
    /// and at most `limit`: the first reads the log, the next ones where it
    /// cannot.
    pub fn leaders(&self, now: Instant, limit: usize) -> Vec<(HostId, SocketAddr)> {
        let hosts = self.live_hosts(&self.zone, now).into_iter();
        let before = hosts.take_while(|host| *host != self.host).take(limit);
        self.with_addresses(before)
    }

    /// The host that hands out the permits for a target of a zone, this one or another;
    /// where the zone has no live host, the first of all zones. `None` while this host
    /// may not know the others.
    pub fn permit_host(&self, zone: &str, target: TargetKey, now: Instant) -> Option<HostId> {
        if !self.has_joined(now) {
            return None;
        }
        let chosen = issuing_host(target, &self.live_hosts(zone, now));
        Some(chosen.unwrap_or_else(|| self.global_leader(now)))
    }

    /// The part of a zone's limits that the live hosts of the zone hand out.
    pub fn permit_part(&self, zone: &str, now: Instant) -> f64 {
        let is_own = usize::from(*self.zone == *zone);
        let members = self.members.values();
        let known = members.filter(|member| *member.zone == *zone).count() + is_own;
        match self.live_hosts(zone, now).len() {
            0 => issued_part(self.live_count(now), self.known_count()),
            live => issued_part(live, known),
        }
    }

    /// Whether this host has been up for long enough to have heard of the others.
    fn has_joined(&self, now: Instant) -> bool {
        let knows_others = self.members.values().any(|member| member.is_live(now));
        let time = if knows_others {
            JOIN_TIME
        } else {
            LONE_JOIN_TIME
        };
        self.first_seed_call
            .is_some_and(|first| now >= first + time)
    }

    /// The other live hosts of this zone, in the order of their duties.
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

    /// Where another host listens to peers.
    pub fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        Some(self.members.get(host)?.address)
    }

    /// Hosts of all zones that were heard of lately, live or not, this one
    /// among them.
    pub fn known_count(&self) -> usize {
        let mut counts = FastMap::<&ZoneId, usize>::default();
        for member in self.members.values() {
            *counts.entry(&member.zone).or_default() += 1;
        }
        *counts.entry(&self.zone).or_default() += 1;
        for (zone, reported) in &self.counts {
            let count = counts.entry(zone).or_default();
            *count = (*count).max(*reported as usize);
        }
        counts.values().sum()
    }

    /// Whether an address is that of a host of this zone.
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
