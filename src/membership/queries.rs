//! Queries of the table of hosts.

use super::member::{HostMember, MemberPhase};
use super::settings::MembershipSettings;
use super::table::MembershipTable;
use crate::ids::{HostId, IncarnationId};
use crate::peer::{PeerHeartbeat, PeerLoad, ZoneDigest};

/// Maximum number of unreachable hosts named in a digest; further ones are only counted.
const MAX_NAMED_UNREACHABLE: usize = 8;

impl MembershipTable {
    /// Returns the identity and the timeouts of this host.
    pub fn settings(&self) -> &MembershipSettings {
        &self.settings
    }

    /// Iterates over all other known hosts in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &HostMember> {
        self.members.values()
    }

    /// Returns the state of one other host.
    pub fn member(&self, host: &str) -> Option<&HostMember> {
        self.members.get(host)
    }

    /// Returns whether this is the current incarnation of a host.
    pub fn is_current(&self, host: &str, incarnation: IncarnationId) -> bool {
        match self.members.get(host) {
            Some(member) => member.incarnation == Some(incarnation),
            None => *self.settings.host == *host && self.settings.incarnation == incarnation,
        }
    }

    /// Returns whether an incarnation named in the log has ended, as far as this host
    /// knows.
    ///
    /// A host that is not in the table counts as ended if the platform's list lacks
    /// it. The list must have been fetched at least `remove_after` after the start of
    /// this process, because it lags.
    pub fn has_ended(&self, host: &str, incarnation: IncarnationId) -> bool {
        let settled = self.started + self.settings.remove_after;
        match self.members.get(host) {
            Some(member) => member
                .incarnation
                .is_some_and(|current| current != incarnation),
            None if *self.settings.host == *host => self.settings.incarnation != incarnation,
            None => self.last_list.is_some_and(|list| list >= settled),
        }
    }

    /// Returns the hosts of this zone that are live and not draining, including this one,
    /// sorted by name. They divide the work of the zone.
    pub fn working_hosts(&self) -> Vec<HostId> {
        let own = Some(&self.settings.host).filter(|_| !self.draining);
        let mut hosts: Vec<_> = self
            .zone_members()
            .filter(|member| member.phase == MemberPhase::Live && !member.draining)
            .map(|member| &member.host)
            .chain(own)
            .cloned()
            .collect();
        hosts.sort_unstable();
        hosts
    }

    /// Creates the next heartbeat of this host.
    pub fn next_heartbeat(&mut self, remote: bool, loads: Vec<PeerLoad>) -> PeerHeartbeat {
        self.sequence += 1;
        PeerHeartbeat {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            applied_offset: self.applied_offset,
            draining: self.draining,
            peer_address: self.settings.peer_address,
            loads,
            demands: Vec::new(),
            demands_for: None,
            digest: remote.then(|| self.digest()),
        }
    }

    /// Returns a summary of this zone for hosts of other zones.
    pub fn digest(&self) -> ZoneDigest {
        let own = (self.applied_offset, &self.settings.host);
        let live = || {
            self.zone_members()
                .filter(|member| member.phase == MemberPhase::Live)
        };
        let (lowest_applied_offset, slowest_host) = live()
            .map(|member| (member.applied_offset, &member.host))
            .fold(own, std::cmp::min);
        let unreachable: Vec<_> = self
            .zone_members()
            .filter(|member| member.phase != MemberPhase::Live)
            .map(|member| member.host.clone())
            .collect();
        ZoneDigest {
            zone: self.settings.zone.clone(),
            live_hosts: count(live().count() + 1),
            lowest_applied_offset,
            slowest_host: slowest_host.clone(),
            unreachable_count: count(unreachable.len()),
            unreachable: unreachable
                .into_iter()
                .take(MAX_NAMED_UNREACHABLE)
                .collect(),
        }
    }

    pub(super) fn zone_members(&self) -> impl Iterator<Item = &HostMember> {
        self.members
            .values()
            .filter(|member| member.zone == self.settings.zone)
    }
}

fn count(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}
