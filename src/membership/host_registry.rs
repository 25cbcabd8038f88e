//! The entry hosts that the log names.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{HostId, ZoneId};

/// Interval between two rounds of calls to registered hosts that are not live.
const CALL_INTERVAL: Duration = Duration::from_secs(1);
/// Hosts that are called in one round. Hosts without a live seed all call the same ones first,
/// as they would call seeds.
const CALLS_PER_ROUND: usize = 3;
/// Time after which a registered host that is not live is removed from the log. It is shorter
/// than the time after which a silent host is forgotten, so that a host that is lost does not
/// turn into an unknown one.
const REMOVE_AFTER: Duration = Duration::from_secs(25);
/// Calls without a reply before a host is removed from the log.
const MIN_CALLS: u32 = 3;
/// Time for which the log must not have named an unknown host before the known ones count as
/// all: a host that was removed by mistake registers again within milliseconds.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// An entry host as the log names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredHost {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens to peers.
    pub address: SocketAddr,
}

/// A change that the log needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// This host is to be registered.
    Register(RegisteredHost),
    /// Another host cannot be reached and is to be removed.
    Remove(HostId),
}

/// What a host knows of a registered host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HostPresence {
    Live,
    /// Silent, and not yet forgotten.
    Silent,
    Unknown,
}

#[derive(Debug, Clone)]
struct RegistryEntry {
    zone: ZoneId,
    address: SocketAddr,
    presence: HostPresence,
    /// Since when the host has not been live.
    missing_since: Option<Instant>,
    /// Calls since then.
    calls: u32,
    last_call: Option<Instant>,
}

/// The entry hosts that the log names, for the leaders of availability zones.
///
/// Hosts whose seeds are outdated, and groups of hosts that know only each other, find the
/// others here. Only leaders register and read, so that the calls to the log do not grow with
/// the number of hosts. The hosts that a leader knows are all there are once the log names it
/// and no host that it does not know.
#[derive(Debug)]
pub struct HostRegistry {
    own: RegisteredHost,
    /// Whether the log was read since this host became a leader.
    is_read: bool,
    is_registered: bool,
    others: BTreeMap<HostId, RegistryEntry>,
    last_round: Option<Instant>,
    /// Since when every registered host is known.
    complete_since: Option<Instant>,
}

impl HostRegistry {
    /// Creates the registry of a host that has not read the log.
    pub fn new(own: RegisteredHost) -> Self {
        Self {
            own,
            is_read: false,
            is_registered: false,
            others: BTreeMap::new(),
            last_round: None,
            complete_since: None,
        }
    }

    /// Applies the complete list of registered hosts.
    pub fn apply_list(&mut self, listed: Vec<RegisteredHost>) {
        let before = std::mem::take(&mut self.others);
        self.is_registered = false;
        for host in listed {
            let known = before.get(&host.host);
            let known = known.filter(|known| known.address == host.address);
            if let Some(known) = known {
                self.others.insert(host.host, known.clone());
            } else {
                self.apply(host);
            }
        }
        self.is_read = true;
    }

    /// Applies the registration of a host.
    pub fn apply(&mut self, registered: RegisteredHost) {
        if registered.host == self.own.host {
            self.is_registered = registered == self.own;
            return;
        }
        let entry = RegistryEntry {
            zone: registered.zone,
            address: registered.address,
            presence: HostPresence::Unknown,
            missing_since: None,
            calls: 0,
            last_call: None,
        };
        self.others.insert(registered.host, entry);
    }

    /// Applies the removal of a host.
    pub fn remove(&mut self, host: &str) {
        match *host == *self.own.host {
            true => self.is_registered = false,
            false => drop(self.others.remove(host)),
        }
    }

    /// Forgets what was read when this host is no longer a leader.
    pub fn clear(&mut self) {
        self.is_read = false;
        self.is_registered = false;
        self.others.clear();
        self.complete_since = None;
    }

    /// Records which of the registered hosts this host knows.
    pub(super) fn sweep<F>(&mut self, presence: F, now: Instant)
    where
        F: Fn(&HostId) -> HostPresence,
    {
        for (host, entry) in &mut self.others {
            entry.presence = presence(host);
            match entry.presence {
                HostPresence::Live => {
                    entry.missing_since = None;
                    entry.calls = 0;
                }
                _ => drop(entry.missing_since.get_or_insert(now)),
            }
        }
        match self.is_read && self.is_registered && self.unknown().next().is_none() {
            true => drop(self.complete_since.get_or_insert(now)),
            false => self.complete_since = None,
        }
    }

    fn unknown(&self) -> impl Iterator<Item = &RegistryEntry> {
        let others = self.others.values();
        others.filter(|entry| entry.presence == HostPresence::Unknown)
    }

    /// Returns whether the hosts that this host knows are all there are.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.complete_since
            .is_some_and(|since| now >= since + SETTLE_TIME)
    }

    /// Returns the number of registered hosts of a zone that this host does not know.
    pub fn unknown_in(&self, zone: &str) -> usize {
        self.unknown().filter(|entry| *entry.zone == *zone).count()
    }

    /// Returns the number of registered hosts that this host does not know.
    pub fn unknown_count(&self) -> usize {
        self.unknown().count()
    }

    /// Returns the registered hosts to call now, those first whose last call is longest ago,
    /// and records the calls.
    pub(super) fn due_calls(&mut self, now: Instant) -> Vec<SocketAddr> {
        let is_due = self
            .last_round
            .is_none_or(|last| now >= last + CALL_INTERVAL);
        if !is_due {
            return Vec::new();
        }
        self.last_round = Some(now);
        let missing = self.others.values_mut();
        let mut missing = missing
            .filter(|entry| entry.presence != HostPresence::Live)
            .collect::<Vec<_>>();
        // The sort is stable, so that hosts that were not called yet stay in their order.
        missing.sort_by_key(|entry| entry.last_call);
        let called = missing.into_iter().take(CALLS_PER_ROUND).map(|entry| {
            entry.last_call = Some(now);
            entry.calls += 1;
            entry.address
        });
        called.collect()
    }

    /// Returns the changes that the log needs.
    pub fn changes(&self, now: Instant) -> Vec<RegistryChange> {
        if !self.is_read {
            return Vec::new();
        }
        let own = (!self.is_registered).then(|| RegistryChange::Register(self.own.clone()));
        let is_lost = |entry: &RegistryEntry| {
            let missing_since = entry.missing_since;
            let is_due = missing_since.is_some_and(|since| now >= since + REMOVE_AFTER);
            is_due && entry.calls >= MIN_CALLS
        };
        let lost = self.others.iter().filter(|(_, entry)| is_lost(entry));
        let lost = lost.map(|(host, _)| RegistryChange::Remove(host.clone()));
        own.into_iter().chain(lost).collect()
    }
}
