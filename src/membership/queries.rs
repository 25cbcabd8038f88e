//! What can be asked of the table of hosts.

use super::member::{HostMember, MemberPhase};
use super::settings::MembershipSettings;
use super::table::MembershipTable;
use crate::ids::{HostId, IncarnationId};
use crate::peer::{PeerHeartbeat, PeerLoad, ZoneDigest};

/// Unreachable hosts named in a digest; the others are only counted.
const MAX_NAMED_UNREACHABLE: usize = 8;

impl MembershipTable {
    /// This host's identity and times.
    pub fn settings(&self) -> &MembershipSettings {
        &self.settings
    }

    /// All other hosts known, by name.
    pub fn members(&self) -> impl Iterator<Item = &HostMember> {
        self.members.values()
    }

    /// What is known of one other host.
    pub fn member(&self, host: &str) -> Option<&HostMember> {
        self.members.get(host)
    }

    /// Whether this is the incarnation of the host that counts.
    pub fn is_current(&self, host: &str, incarnation: IncarnationId) -> bool {
        match self.members.get(host) {
            Some(member) => member.incarnation == Some(incarnation),
            None => *self.settings.host == *host && self.settings.incarnation == incarnation,
        }
    }

    /// Whether an incarnation that the log names has ended, as far as this
    /// host can tell.
    ///
    /// This host may be new and never have heard of it. Then the platform's
    /// list decides, if it was fetched late enough for its lag to have passed.
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

    /// Hosts of this zone that are live and not draining, this one among
    /// them, by name: those that divide the zone's work.
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

    /// The next heartbeat of this host.
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

    /// A summary of this zone for hosts of other zones.
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
