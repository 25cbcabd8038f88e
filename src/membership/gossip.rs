//! The gossip table of an entry host, by which entry hosts find each other.
//!
//! The platform lists targets but no entry hosts. The heaviest hosts of each availability
//! zone are its aggregators: every other host reports to one of them and receives the
//! changes from it. The traffic of a host does not grow with the number of hosts.

mod calls;
mod registry;
mod roles;
mod views;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::ids::{HostId, HostWeight, IncarnationId, ZoneId};
use crate::membership::gossip_member::{DEAD_AFTER, GossipMember};
use crate::membership::host_registry::{HostRegistry, RegisteredHost};
use crate::membership::role::{RoleCandidate, compare_ranks};
use crate::peer::{HostView, KnownHost};

/// Silence after which a host is forgotten. Hosts are replaced at new addresses, so that
/// a table that only grows would call the old addresses forever.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Silence after which the last known hosts of a zone without a live host are forgotten.
/// Regions lose contact with each other for an hour now and then, and would not find each
/// other again if the seed hosts have been replaced meanwhile.
const LOST_ZONE_FORGET_AFTER: Duration = Duration::from_secs(2 * 3600);
/// Hosts of a zone that other zones know: its leader and the hosts that take over from it
/// one after another.
const ADVERTISED_HOSTS: usize = 4;

/// The other entry hosts that this host knows.
#[derive(Debug)]
pub struct GossipTable {
    host: HostId,
    zone: ZoneId,
    own_address: SocketAddr,
    incarnation: IncarnationId,
    weight: HostWeight,
    seeds: Vec<SocketAddr>,
    registry: HostRegistry,
    members: BTreeMap<HostId, GossipMember>,
    /// Incremented by each change of a member that other hosts have to receive.
    version: u64,
    /// Sequence number of the last view that this host sent.
    sequence: u64,
    /// Number of hosts of each other zone, as reported by hosts of those zones.
    counts: BTreeMap<ZoneId, u32>,
    first_seed_call: Option<Instant>,
    last_seed_call: Option<Instant>,
    last_probe: Option<Instant>,
    last_remote_calls: FastMap<ZoneId, Instant>,
}

impl GossipTable {
    /// Creates a table that knows only the addresses of the seeds.
    pub fn new(
        host: HostId,
        zone: ZoneId,
        own_address: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let others = seeds.into_iter().filter(|seed| *seed != own_address);
        let registry = HostRegistry::new(RegisteredHost {
            host: host.clone(),
            zone: zone.clone(),
            address: own_address,
        });
        Self {
            host,
            zone,
            own_address,
            incarnation: 0,
            weight: 0,
            seeds: others.collect(),
            registry,
            members: BTreeMap::new(),
            version: 1,
            sequence: 0,
            counts: BTreeMap::new(),
            first_seed_call: None,
            last_seed_call: None,
            last_probe: None,
            last_remote_calls: FastMap::default(),
        }
    }

    /// Sets the incarnation and the weight of this host.
    pub fn with_identity(mut self, incarnation: IncarnationId, weight: HostWeight) -> Self {
        self.incarnation = incarnation;
        self.weight = weight;
        self
    }

    /// Applies the view of another host. Returns whether it is new: a view that is older
    /// than the last one received changes nothing.
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
        self.observe_sender(view, now);
        self.observe_listing(view, now);
        self.observe_counts(view);
        true
    }

    fn observe_sender(&mut self, view: &HostView, now: Instant) {
        let listed = KnownHost {
            host: view.host.clone(),
            zone: view.zone.clone(),
            address: view.address,
            incarnation: view.incarnation,
            weight: view.weight,
            silent: Duration::ZERO,
        };
        self.observe_listed(&listed, None, now);
        let own = self.incarnation;
        if let Some(member) = self.members.get_mut(&view.host) {
            member.sequence = view.sequence;
            member.direct_contact = Some(now);
            member.suspicion = None;
            if view.seen.incarnation == own {
                member.acknowledged = view.seen;
            }
        }
    }

    /// Applies a listing of hosts, unless changes before it are missing.
    fn observe_listing(&mut self, view: &HostView, now: Instant) {
        let listing = &view.listing;
        let received_to = self
            .members
            .get(&view.host)
            .map_or(0, |member| member.received_to);
        if listing.to == 0 || listing.from > received_to {
            return;
        }
        if listing.from == 0 {
            self.remove_witness(&view.host);
        }
        for listed in &listing.hosts {
            let is_witness = view.zone == self.zone || listed.zone == view.zone;
            let witness = is_witness.then_some(&view.host);
            self.observe_listed(listed, witness, now);
        }
        for member in self.members.values_mut() {
            member.renew_witness(&view.host, now);
        }
        if let Some(member) = self.members.get_mut(&view.host) {
            member.received_to = listing.to;
            member.received_scope = view.scope;
        }
    }

    fn remove_witness(&mut self, witness: &HostId) {
        for member in self.members.values_mut() {
            member.drop_witness(witness);
        }
    }

    fn observe_listed(&mut self, listed: &KnownHost, witness: Option<&HostId>, now: Instant) {
        let Some(last_contact) = now.checked_sub(listed.silent) else {
            return;
        };
        if listed.host == self.host || listed.silent > LOST_ZONE_FORGET_AFTER {
            return;
        }
        let known = self.members.get(&listed.host);
        let is_changed = match known {
            Some(member) if member.incarnation > listed.incarnation => return,
            Some(member) => !member.is_same_start(listed),
            None => true,
        };
        if is_changed {
            self.version += 1;
            let member = GossipMember::new(listed, last_contact, self.version);
            self.members.insert(listed.host.clone(), member);
        }
        if let Some(member) = self.members.get_mut(&listed.host) {
            member.reported_contact = member.reported_contact.max(last_contact);
            match witness {
                Some(witness) if listed.silent < DEAD_AFTER => member.add_witness(witness, now),
                Some(witness) => member.drop_witness(witness),
                None => {}
            }
        }
    }

    /// Applies the host counts of other zones. The hosts of a zone know its count. Within
    /// this zone counts go from higher to lower ranks only, so that an old count cannot
    /// return to a host that has replaced it. A host that has no count takes any, because
    /// it may start while the other zone is out of reach.
    fn observe_counts(&mut self, view: &HostView) {
        let is_relay = view.zone == self.zone;
        let is_outranked = is_relay && self.is_outranked_by(view);
        for count in &view.counts {
            let is_missing = is_relay && !self.counts.contains_key(&count.zone);
            let knows = count.zone == view.zone || is_outranked || is_missing;
            if knows && count.zone != self.zone {
                self.counts.insert(count.zone.clone(), count.hosts);
            }
        }
    }

    fn is_outranked_by(&self, view: &HostView) -> bool {
        let sender = RoleCandidate {
            host: view.host.clone(),
            weight: view.weight,
        };
        let own = RoleCandidate {
            host: self.host.clone(),
            weight: self.weight,
        };
        compare_ranks(&sender, &own).is_lt()
    }

    /// Marks a host as suspect after a failed call, so that another one is called in its
    /// place for a while.
    pub fn observe_failed_call(&mut self, address: SocketAddr, now: Instant) {
        let mut members = self.members.values_mut();
        if let Some(member) = members.find(|member| member.address == address) {
            member.suspect(now);
        }
    }

    /// Applies changes that come with time alone: records which hosts have fallen silent
    /// and which are advertised to other zones, and forgets hosts that have been silent
    /// for long.
    fn sweep(&mut self, now: Instant) {
        let mut zones = BTreeMap::<ZoneId, Vec<HostId>>::new();
        for (host, member) in &self.members {
            zones
                .entry(member.zone.clone())
                .or_default()
                .push(host.clone());
        }
        for (zone, hosts) in zones {
            let live = self.ranked(&zone, now);
            let live = live.into_iter().map(|candidate| candidate.host);
            let live = live.filter(|host| *host != self.host);
            let mut top = live.take(ADVERTISED_HOSTS).collect::<Vec<_>>();
            let is_lost = top.is_empty();
            if is_lost {
                top = self.latest_contacts(hosts.clone());
            }
            for host in hosts {
                let is_advertised = top.contains(&host);
                let retention = match is_lost && is_advertised {
                    true => LOST_ZONE_FORGET_AFTER,
                    false => FORGET_AFTER,
                };
                self.sweep_member(&host, is_advertised, retention, now);
            }
        }
    }

    /// Returns the hosts with the latest contacts, for a zone without a live host.
    fn latest_contacts(&self, mut hosts: Vec<HostId>) -> Vec<HostId> {
        let last_contact = |host: &HostId| self.members.get(host).map(GossipMember::last_contact);
        hosts.sort_by_key(|host| std::cmp::Reverse(last_contact(host)));
        hosts.truncate(ADVERTISED_HOSTS);
        hosts
    }

    fn sweep_member(
        &mut self,
        host: &HostId,
        is_advertised: bool,
        retention: Duration,
        now: Instant,
    ) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if now.saturating_duration_since(member.last_contact()) >= retention {
            self.members.remove(host);
        } else if member.record_state(is_advertised, now) {
            self.version += 1;
            member.changed_version = self.version;
        }
    }
}
