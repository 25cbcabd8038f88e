//! Schedules the calls of an entry host to other hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::GossipTable;
use crate::ids::{HostId, ZoneId};
use crate::rendezvous::rendezvous_score;

/// Interval between reports to an aggregator. Requests take about a second on an engine,
/// so that a quarter of that keeps the loads current.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between exchanges of aggregators. The state of a host reaches a host with
/// another aggregator after two reports and this interval, within 0.6 s.
const AGGREGATOR_INTERVAL: Duration = Duration::from_millis(125);
/// Interval between exchanges with another zone, whose engines take only what the own
/// zone cannot.
const REMOTE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of exchanges per second with other zones. With more zones each is
/// called less often.
const MAX_REMOTE_CALLS_PER_S: f64 = 16.0;
/// Interval between rounds of calls to unknown seeds.
const SEED_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the start in which known seeds are called too. The hosts that start first
/// receive no hosts in their first replies, and hosts that start later do not know that
/// they have to call them.
const STARTUP_SEED_PERIOD: Duration = Duration::from_secs(3);
/// Interval between rounds of calls to seeds in that time: 195 hosts make 400 short calls
/// per second to each seed.
const STARTUP_SEED_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between calls to silent hosts of the zone. They find a live host that reports
/// to no other host.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Seed of the hash by which hosts choose among aggregators.
const AGGREGATOR_SEED: u64 = 0x7370_6b72;

impl GossipTable {
    /// Returns the addresses to call now and records the calls.
    pub fn due_calls(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.sweep(now);
        let mut due = self.due_in_zone(now);
        due.extend(self.due_probe(now));
        due.extend(self.due_remote(now));
        due.extend(self.due_seeds(now));
        due.extend(self.due_registered(now));
        due.sort_unstable();
        due.dedup();
        due.retain(|address| *address != self.own_address);
        due
    }

    fn due_in_zone(&mut self, now: Instant) -> Vec<SocketAddr> {
        let aggregators = self.aggregators(now);
        let rank = aggregators.iter().position(|host| *host == self.host);
        let (callees, interval) = match rank {
            Some(rank) => (
                self.aggregators_to_call(&aggregators, rank, now),
                AGGREGATOR_INTERVAL,
            ),
            None => {
                let chosen = self.chosen_aggregator(&aggregators, now);
                (chosen.into_iter().collect(), REPORT_INTERVAL)
            }
        };
        let due = callees.iter();
        let due = due.filter_map(|host| self.call_if_due(host, interval, now));
        due.collect()
    }

    /// Returns the host to which this one reports; `None` if this host is an aggregator
    /// or no other host is available.
    pub fn reports_to(&self, now: Instant) -> Option<HostId> {
        let aggregators = self.aggregators(now);
        match aggregators.contains(&self.host) {
            true => None,
            false => self.chosen_aggregator(&aggregators, now),
        }
    }

    /// Returns the aggregators that an aggregator calls. A call informs both sides, so
    /// that of two aggregators the one of higher rank calls, and the other calls only if
    /// no call arrives.
    fn aggregators_to_call(
        &self,
        aggregators: &[HostId],
        rank: usize,
        now: Instant,
    ) -> Vec<HostId> {
        let is_silent = |host: &HostId| {
            let member = self.members.get(host);
            member.is_some_and(|member| !member.had_contact_within(REPORT_INTERVAL * 3, now))
        };
        let higher = aggregators[..rank].iter().filter(|host| is_silent(host));
        let lower = aggregators[rank + 1..].iter();
        higher.chain(lower).cloned().collect()
    }

    /// Returns the aggregator to which this host reports, chosen by hash among those that
    /// are not suspect. If all are suspect, returns the next host of the ranking, because
    /// all aggregators may be lost at once; `None` if that is this host.
    ///
    /// Reports go only to hosts of higher rank. Two hosts that reported to each other
    /// would keep confirming a lost aggregator to each other, and no host would take its
    /// place.
    fn chosen_aggregator(&self, aggregators: &[HostId], now: Instant) -> Option<HostId> {
        let is_reachable = |host: &&HostId| {
            let member = self.members.get(*host);
            member.is_some_and(|member| !member.is_suspect(now))
        };
        let score = |host: &&HostId| rendezvous_score(AGGREGATOR_SEED, &self.host, host);
        let reachable = aggregators.iter().filter(is_reachable);
        if let Some(chosen) = reachable.max_by_key(score) {
            return Some(chosen.clone());
        }
        let ranked = self.live_hosts(&self.zone, now);
        let mut ranked = ranked.into_iter();
        let next = ranked.find(|host| *host == self.host || is_reachable(&host));
        next.filter(|host| *host != self.host)
    }

    /// Returns the address of a host if its last call is at least `interval` ago, and
    /// records the call.
    fn call_if_due(
        &mut self,
        host: &HostId,
        interval: Duration,
        now: Instant,
    ) -> Option<SocketAddr> {
        let member = self.members.get_mut(host)?;
        let is_due = member
            .last_call
            .is_none_or(|last_call| now >= last_call + interval);
        if !is_due {
            return None;
        }
        member.last_call = Some(now);
        Some(member.address)
    }

    /// Returns the silent host to probe. The leader of the zone calls silent hosts in
    /// turn.
    fn due_probe(&mut self, now: Instant) -> Option<SocketAddr> {
        let due = self
            .last_probe
            .is_none_or(|last| now >= last + PROBE_INTERVAL);
        if !due || !self.is_leader(now) {
            return None;
        }
        let silent = self.members.iter();
        let silent = silent.filter(|(_, member)| member.zone == self.zone && !member.is_live(now));
        let longest_uncalled = silent.min_by_key(|(_, member)| member.last_call)?.0.clone();
        self.last_probe = Some(now);
        self.call_if_due(&longest_uncalled, PROBE_INTERVAL, now)
    }

    fn due_remote(&mut self, now: Instant) -> Vec<SocketAddr> {
        if !self.is_leader(now) {
            return Vec::new();
        }
        let others = self.members.values().map(|member| &member.zone);
        let others = others.filter(|zone| **zone != self.zone);
        let zones = others.cloned().collect::<BTreeSet<_>>();
        let round = Duration::from_secs_f64(zones.len() as f64 / MAX_REMOTE_CALLS_PER_S);
        let interval = REMOTE_INTERVAL.max(round);
        let calls = zones.iter();
        let calls = calls.filter_map(|zone| self.call_zone(zone, interval, now));
        calls.collect()
    }

    /// Returns the address to call in another zone. Of two zones the first by name calls,
    /// and the other calls only if no call arrives.
    fn call_zone(&mut self, zone: &ZoneId, interval: Duration, now: Instant) -> Option<SocketAddr> {
        let last_call = self.last_remote_calls.get(zone);
        if last_call.is_some_and(|last_call| now < *last_call + interval) {
            return None;
        }
        let mut hosts = self.members.values().filter(|member| member.zone == *zone);
        let has_contact = hosts.any(|member| member.had_contact_within(interval * 3, now));
        if *zone < self.zone && has_contact {
            return None;
        }
        let callee = self.remote_callee(zone, now)?;
        self.last_remote_calls.insert(zone.clone(), now);
        self.call_if_due(&callee, Duration::ZERO, now)
    }

    /// Returns the first live host of a zone that is not suspect, or the host whose last
    /// call is longest ago if there is none.
    fn remote_callee(&self, zone: &ZoneId, now: Instant) -> Option<HostId> {
        let live = self.live_hosts(zone, now).into_iter();
        let mut reachable = live.filter(|host| {
            let member = self.members.get(host);
            member.is_some_and(|member| !member.is_suspect(now))
        });
        reachable.next().or_else(|| {
            let hosts = self.members.iter();
            let hosts = hosts.filter(|(_, member)| member.zone == *zone);
            let longest_uncalled = hosts.min_by_key(|(_, member)| member.last_call)?;
            Some(longest_uncalled.0.clone())
        })
    }

    /// Returns the seeds to call. Unknown seeds are called always and known ones for a
    /// while after the start, because seeds may be outdated or down.
    fn due_seeds(&mut self, now: Instant) -> Vec<SocketAddr> {
        let first = *self.first_seed_call.get_or_insert(now);
        let is_new = now < first + STARTUP_SEED_PERIOD;
        let interval = if is_new {
            STARTUP_SEED_INTERVAL
        } else {
            SEED_INTERVAL
        };
        if self
            .last_seed_call
            .is_some_and(|last| now < last + interval)
        {
            return Vec::new();
        }
        self.last_seed_call = Some(now);
        let known = |seed: &SocketAddr| self.members.values().any(|member| member.address == *seed);
        let unknown = self.seeds.iter().filter(|seed| is_new || !known(seed));
        unknown.copied().collect()
    }
}
