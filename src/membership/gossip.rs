//! The entry hosts of the users' platform, as one of them knows them.
//!
//! The platform lists targets and no entry hosts. Each host calls all others
//! of its availability zone and a few of each other zone, and each call passes
//! on who is known and how long they have been silent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{HostId, IncarnationId, ZoneId};
use crate::peer::{HostView, KnownHost};

/// Pause between two exchanges with a host of the zone. Requests take about a
/// second on an engine, so that a quarter of that keeps the loads fresh.
const ZONE_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two exchanges with another zone, whose engines are used for
/// what the own zone cannot take.
const REMOTE_PAUSE: Duration = Duration::from_millis(500);
/// Exchanges a second with the hosts of the zone at the most; with more hosts
/// each is called less often, and the cost of a host stays.
const ZONE_CALLS_PER_S: f64 = 48.0;
/// Hosts of each other zone that are called in turn at each pause.
const REMOTE_CALLS: usize = 1;
/// Silence after which a host counts as dead: six pauses, and longer than
/// the second that a host may be held up when its processor's share is used up.
const DEAD_AFTER: Duration = Duration::from_millis(1500);
/// Silence after which a host is forgotten. Hosts are replaced at other
/// addresses, so that a table that only grows would be called for ever.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// Another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipMember {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens to peers.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// When it was last heard, by whomever.
    pub heard: Instant,
    sequence: u64,
    called: Option<Instant>,
}

/// The other entry hosts that are known.
#[derive(Debug)]
pub struct GossipTable {
    host: HostId,
    zone: ZoneId,
    own_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<HostId, GossipMember>,
    last_seed_call: Option<Instant>,
    last_remote: Option<Instant>,
    remote_turn: usize,
}

impl GossipTable {
    /// A table that knows nobody but the seeds' addresses.
    pub fn new(
        host: HostId,
        zone: ZoneId,
        own_address: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let others = seeds.into_iter().filter(|seed| *seed != own_address);
        Self {
            host,
            zone,
            own_address,
            seeds: others.collect(),
            members: BTreeMap::new(),
            last_seed_call: None,
            last_remote: None,
            remote_turn: 0,
        }
    }

    /// Takes in what a host says of itself and of others. Says whether it is
    /// news: an earlier statement that arrives late is none.
    pub fn observe_view(&mut self, view: &HostView, now: Instant) -> bool {
        if view.host == self.host {
            return false;
        }
        let known = self.members.get(&view.host);
        let overtaken = known.is_some_and(|member| {
            (member.incarnation, member.sequence) >= (view.incarnation, view.sequence)
        });
        if overtaken {
            return false;
        }
        let called = known.and_then(|member| member.called);
        let member = GossipMember {
            zone: view.zone.clone(),
            address: view.address,
            incarnation: view.incarnation,
            heard: now,
            sequence: view.sequence,
            called,
        };
        self.members.insert(view.host.clone(), member);
        for listed in &view.hosts {
            self.observe_listed(listed, now);
        }
        true
    }

    fn observe_listed(&mut self, listed: &KnownHost, now: Instant) {
        let Some(heard) = now.checked_sub(listed.silent) else {
            return;
        };
        if listed.host == self.host || listed.silent > FORGOTTEN_AFTER {
            return;
        }
        match self.members.get_mut(&listed.host) {
            Some(member) if member.incarnation > listed.incarnation => {}
            Some(member) if member.incarnation == listed.incarnation => {
                member.heard = member.heard.max(heard);
            }
            _ => {
                let member = GossipMember {
                    zone: listed.zone.clone(),
                    address: listed.address,
                    incarnation: listed.incarnation,
                    heard,
                    sequence: 0,
                    called: None,
                };
                self.members.insert(listed.host.clone(), member);
            }
        }
    }

    /// Addresses to call now; they count as called.
    pub fn due_calls(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.members
            .retain(|_, member| now.saturating_duration_since(member.heard) < FORGOTTEN_AFTER);
        let mut due = self.due_in_zone(now);
        due.extend(self.due_remote(now));
        due.extend(self.due_seeds(now));
        due.sort_unstable();
        due.dedup();
        due.retain(|address| *address != self.own_address);
        due
    }

    fn due_in_zone(&mut self, now: Instant) -> Vec<SocketAddr> {
        let zone = &self.zone;
        let own = &self.host;
        let neighbours = self
            .members
            .values()
            .filter(|member| member.zone == *zone)
            .count();
        let pause = ZONE_PAUSE.max(Duration::from_secs_f64(
            neighbours as f64 / ZONE_CALLS_PER_S,
        ));
        let mut due = Vec::new();
        for (host, member) in &mut self.members {
            // A call informs both sides, so that one of two hosts calls, and
            // the other only after it was not called.
            let patience = if host > own { 1 } else { 3 };
            let silent = now.saturating_duration_since(member.heard);
            let waited = member.called.is_none_or(|called| now >= called + pause);
            let wanted = patience == 1 || silent >= pause * patience;
            if member.zone == *zone && waited && wanted {
                member.called = Some(now);
                due.push(member.address);
            }
        }
        due
    }

    fn due_remote(&mut self, now: Instant) -> Vec<SocketAddr> {
        let due = self
            .last_remote
            .is_none_or(|last| now >= last + REMOTE_PAUSE);
        if !due || !self.is_lead(now) {
            return Vec::new();
        }
        self.last_remote = Some(now);
        self.remote_turn = self.remote_turn.wrapping_add(1);
        let mut zones = BTreeMap::<&ZoneId, Vec<SocketAddr>>::new();
        let remote = self
            .members
            .values()
            .filter(|member| member.zone != self.zone);
        for member in remote {
            zones.entry(&member.zone).or_default().push(member.address);
        }
        let turn = self.remote_turn;
        let called = zones.values().flat_map(|addresses| {
            (0..REMOTE_CALLS).map(move |call| addresses[(turn + call) % addresses.len()])
        });
        called.collect()
    }

    /// Seeds are asked while few hosts are known: they may be stale or down.
    fn due_seeds(&mut self, now: Instant) -> Vec<SocketAddr> {
        /// Pause between two rounds over the seeds.
        const SEED_PAUSE: Duration = Duration::from_secs(1);
        let due = self
            .last_seed_call
            .is_none_or(|last| now >= last + SEED_PAUSE);
        if !due {
            return Vec::new();
        }
        self.last_seed_call = Some(now);
        let known =
            |seed: &&SocketAddr| self.members.values().any(|member| member.address == **seed);
        self.seeds
            .iter()
            .filter(|seed| !known(seed))
            .copied()
            .collect()
    }

    /// Hosts to name to others.
    pub fn known_hosts(&self, now: Instant) -> Vec<KnownHost> {
        let known = self.members.iter().map(|(host, member)| KnownHost {
            host: host.clone(),
            zone: member.zone.clone(),
            address: member.address,
            incarnation: member.incarnation,
            silent: now.saturating_duration_since(member.heard),
        });
        known.collect()
    }

    /// Live hosts of a zone by name, this one among them if it is its zone.
    pub fn live_hosts(&self, zone: &str, now: Instant) -> Vec<HostId> {
        let live = |member: &GossipMember| now < member.heard + DEAD_AFTER;
        let others = self.members.iter();
        let others = others.filter(|(_, member)| *member.zone == *zone && live(member));
        let mut hosts = others.map(|(host, _)| host.clone()).collect::<Vec<_>>();
        if *self.zone == *zone {
            hosts.push(self.host.clone());
        }
        hosts.sort_unstable();
        hosts
    }

    /// Live hosts of all zones, this one among them.
    pub fn live_count(&self, now: Instant) -> usize {
        let live = |member: &&GossipMember| now < member.heard + DEAD_AFTER;
        self.members.values().filter(live).count() + 1
    }

    /// Whether this host speaks for its zone: the first live one by name. It
    /// reads the log for the others and exchanges with other zones, so that
    /// both cost the same however many hosts a zone has.
    pub fn is_lead(&self, now: Instant) -> bool {
        self.leads(now, 1).is_empty()
    }

    /// The first live hosts of this zone by name, up to this one and at most
    /// `most`: the first speaks for the zone, the next ones where it cannot.
    pub fn leads(&self, now: Instant, most: usize) -> Vec<(HostId, SocketAddr)> {
        let hosts = self.live_hosts(&self.zone, now).into_iter();
        let before = hosts.take_while(|host| *host != self.host).take(most);
        let known = before.filter_map(|host| {
            let address = self.members.get(&host)?.address;
            Some((host, address))
        });
        known.collect()
    }

    /// Hosts that were heard of lately, live or not, this one among them.
    pub fn known_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Whether an address is that of a host of this zone.
    pub fn is_neighbour(&self, address: SocketAddr) -> bool {
        let mut members = self.members.values();
        members.any(|member| member.address == address && member.zone == self.zone)
    }
}
