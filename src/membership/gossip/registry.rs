//! How far an entry host knows the other hosts.

use std::net::SocketAddr;
use std::time::Instant;

use super::GossipTable;
use crate::membership::host_registry::{HostPresence, HostRegistry, RegistryChange};

impl GossipTable {
    /// Replaces the seeds, which are called at once.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let others = seeds.into_iter().filter(|seed| *seed != self.own_address);
        self.seeds = others.collect();
        self.last_seed_call = None;
    }

    /// Returns the hosts that the log names, as read while this host is the leader of its
    /// zone.
    pub fn registry_mut(&mut self) -> &mut HostRegistry {
        &mut self.registry
    }

    /// Returns the changes that the log needs so that other groups of hosts find this one.
    pub fn registry_changes(&mut self, now: Instant) -> Vec<RegistryChange> {
        self.sweep_registry(now);
        self.registry.changes(now)
    }

    pub(super) fn due_registered(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.sweep_registry(now);
        self.registry.due_calls(now)
    }

    fn sweep_registry(&mut self, now: Instant) {
        let members = &self.members;
        self.registry.sweep(
            |host| match members.get(host) {
                None => HostPresence::Unknown,
                Some(member) if member.is_live(now) => HostPresence::Live,
                Some(_) => HostPresence::Silent,
            },
            now,
        );
    }

    /// Returns whether there may be hosts of a zone that this host has never heard of: it
    /// knows no host there, or no other host at all, and the log has not shown that there is
    /// none.
    pub fn may_miss_hosts(&self, zone: &str, now: Instant) -> bool {
        let is_alone = self.members.is_empty() && !self.seeds.is_empty();
        let knows_zone = *self.zone == *zone
            || self.counts.contains_key(zone)
            || self.members.values().any(|member| *member.zone == *zone);
        (is_alone || !knows_zone) && !self.registry.is_complete(now)
    }

    /// Returns whether there may be other hosts although this one has heard of none.
    pub fn may_miss_all(&self, now: Instant) -> bool {
        self.may_miss_hosts(&self.zone, now)
    }

    /// Returns whether this host has looked for others long enough to have found them, and
    /// may miss them all.
    pub fn is_unsure(&self, now: Instant) -> bool {
        self.has_joined(now) && self.may_miss_all(now)
    }
}
