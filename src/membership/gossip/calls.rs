//! Whom an entry host calls, and when.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::GossipTable;
use crate::ids::{HostId, ZoneId};
use crate::rendezvous::rendezvous_score;

/// Pause between two reports to a speaker. Requests take about a second on an
/// engine, so that a quarter of that keeps the loads fresh.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two exchanges of speakers: what a host has is known to one that
/// reports to another speaker after two reports and this, 0.6 s at the most.
const AGGREGATOR_INTERVAL: Duration = Duration::from_millis(125);
/// Pause between two exchanges with another zone, whose engines are used for
/// what the own zone cannot take.
const REMOTE_INTERVAL: Duration = Duration::from_millis(500);
/// Exchanges a second with other zones at the most; with more zones each is
/// called less often.
const MAX_REMOTE_CALLS_PER_S: f64 = 16.0;
/// Pause between two rounds over the seeds.
const SEED_INTERVAL: Duration = Duration::from_secs(1);
/// How long the seeds are asked after a start although they are known. The
/// hosts that start first hear of nobody at their first question, and those
/// that start later do not know that they have to call them.
const STARTUP_SEED_PERIOD: Duration = Duration::from_secs(3);
/// Pause between two rounds over the seeds in that time: 195 hosts make 400
/// short calls a second to each.
const STARTUP_SEED_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two calls to hosts of the zone that have fallen silent. One
/// that lives and reports to nobody is found by it.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Seed of the hash by which hosts choose among speakers.
const AGGREGATOR_SEED: u64 = 0x7370_6b72;

impl GossipTable {
    /// Addresses to call now; they count as called.
    pub fn due_calls(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.sweep(now);
        let mut due = self.due_in_zone(now);
        due.extend(self.due_probe(now));
        due.extend(self.due_remote(now));
        due.extend(self.due_seeds(now));
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

    /// The host to which this one reports; `None` if it speaks for its zone
    /// itself, or for want of anybody else.
    pub fn reports_to(&self, now: Instant) -> Option<HostId> {
        let aggregators = self.aggregators(now);
        match aggregators.contains(&self.host) {
            true => None,
            false => self.chosen_aggregator(&aggregators, now),
        }
    }

    /// A call informs both sides, so that of two speakers the earlier one
    /// calls, and the other only after it was not called.
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
        let earlier = aggregators[..rank].iter().filter(|host| is_silent(host));
        let later = aggregators[rank + 1..].iter();
        earlier.chain(later).cloned().collect()
    }

    /// The speaker to which this host reports: spread by hash, and one to which
    /// no call failed a moment ago. If none is left, the next host in the order
    /// of duties, for all speakers may be lost at once; `None` if that is this
    /// one.
    ///
    /// Reports go to hosts that come earlier in that order, never back. Two
    /// hosts that reported to each other would each believe of a lost speaker
    /// what the other still believes, and nobody would take its place.
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

    /// The address of a host, if its last call is long enough ago; it then
    /// counts as called.
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

    /// The first host of the zone calls the silent ones, in turn.
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

    /// Of two zones the one that comes first by name calls, and the other only
    /// after it was not called.
    fn call_zone(&mut self, zone: &ZoneId, interval: Duration, now: Instant) -> Option<SocketAddr> {
        let last_call = self.last_remote_calls.get(zone);
        if last_call.is_some_and(|last_call| now < *last_call + interval) {
            return None;
        }
        let mut hosts = self.members.values().filter(|member| member.zone == *zone);
        let is_heard = hosts.any(|member| member.had_contact_within(interval * 3, now));
        if *zone < self.zone && is_heard {
            return None;
        }
        let callee = self.remote_callee(zone, now)?;
        self.last_remote_calls.insert(zone.clone(), now);
        self.call_if_due(&callee, Duration::ZERO, now)
    }

    /// The first live host of a zone that is reached; else the one that was not
    /// called for longest.
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

    /// Seeds are asked while they are not known, and for a while after a start:
    /// they may be stale or down.
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
