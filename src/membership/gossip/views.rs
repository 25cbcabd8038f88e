//! What an entry host says to another one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::GossipTable;
use crate::fleet::UseScope;
use crate::ids::HostId;
use crate::membership::gossip_member::{DEAD_AFTER, GossipMember};
use crate::peer::{HostListing, HostView, KnownHost, SeenListing, ZoneCount};
use crate::permits::LimitListing;
use crate::poison::PoisonDelta;

impl GossipTable {
    /// What to say to the host at an address; the requests, those that targets ended
    /// under and what this host has of the log are left to the caller.
    pub fn open_view(&mut self, address: SocketAddr, now: Instant) -> HostView {
        let mut known = self.members.iter();
        let callee = known.find(|(_, member)| member.address == address);
        let callee = callee.map(|(host, member)| (host.clone(), member.clone()));
        let Some((host, member)) = callee else {
            return self.view(
                UseScope::Host,
                HostListing::default(),
                SeenListing::default(),
            );
        };
        let scope = self.scope_to(&host, &member, now);
        let listing = match scope {
            // Whoever reports hears of others, and tells of itself alone.
            UseScope::Host | UseScope::Neighbours => HostListing::default(),
            UseScope::Group | UseScope::Zone => {
                let from = listed_from(member.told, scope);
                self.listing(&member.zone, from, scope, now)
            }
        };
        self.view(scope, listing, seen_of(&member))
    }

    /// What to answer to a view that was taken in before.
    pub fn answer_view(&mut self, view: &HostView, now: Instant) -> HostView {
        let scope = match (view.zone == self.zone, view.scope) {
            (true, UseScope::Host) => UseScope::Neighbours,
            (false, UseScope::Zone) => UseScope::Zone,
            (true, _) => UseScope::Group,
            (false, _) => UseScope::Host,
        };
        let from = match view.seen.incarnation == self.incarnation {
            true => listed_from(view.seen, scope),
            false => 0,
        };
        let listing = self.listing(&view.zone, from, scope, now);
        let member = self.members.get(&view.host);
        let seen = member.map_or_else(SeenListing::default, seen_of);
        self.view(scope, listing, seen)
    }

    fn scope_to(&self, host: &HostId, member: &GossipMember, now: Instant) -> UseScope {
        let speakers = self.speakers(now);
        let speaks = speakers.contains(&self.host);
        match member.zone == self.zone {
            true if speaks && speakers.contains(host) => UseScope::Group,
            false if self.is_lead(now) => UseScope::Zone,
            _ => UseScope::Host,
        }
    }

    fn view(&mut self, scope: UseScope, listing: HostListing, seen: SeenListing) -> HostView {
        self.sequence += 1;
        let counts = match listing.to {
            0 => Vec::new(),
            _ => self.zone_counts(),
        };
        HostView {
            host: self.host.clone(),
            zone: self.zone.clone(),
            address: self.own_address,
            incarnation: self.incarnation,
            sequence: self.sequence,
            configuration_version: 0,
            strength: self.strength,
            scope,
            uses: Vec::new(),
            listing,
            seen,
            counts,
            log: None,
            poison: PoisonDelta::default(),
            limits: LimitListing::default(),
        }
    }

    /// Hosts that changed after version `from`, as far as a host of `zone` has
    /// to know them: all of its own zone, the first ones of each other one.
    fn listing(&self, zone: &str, from: u64, scope: UseScope, now: Instant) -> HostListing {
        let wanted = |member: &GossipMember| {
            member.changed > from && (*member.zone == *zone || member.is_top())
        };
        let listed = self.members.iter().filter(|(_, member)| wanted(member));
        let hosts = listed.map(|(host, member)| KnownHost {
            host: host.clone(),
            zone: member.zone.clone(),
            address: member.address,
            incarnation: member.incarnation,
            strength: member.strength,
            silent: silence(member, scope, now),
        });
        HostListing {
            from,
            to: self.version,
            hosts: hosts.collect(),
        }
    }

    fn zone_counts(&self) -> Vec<ZoneCount> {
        let own = self.members.values();
        let own = own.filter(|member| member.zone == self.zone).count() + 1;
        let own = ZoneCount {
            zone: self.zone.clone(),
            hosts: u32::try_from(own).unwrap_or(u32::MAX),
        };
        let others = self.counts.iter().map(|(zone, hosts)| ZoneCount {
            zone: zone.clone(),
            hosts: *hosts,
        });
        others.chain([own]).collect()
    }
}

/// The version from which on changes are listed to a host that has seen so much.
/// One that became a speaker, or is one no longer, hears everything again:
/// speakers are told of fewer live hosts than the others.
fn listed_from(seen: SeenListing, scope: UseScope) -> u64 {
    match seen.scope == scope {
        true => seen.to,
        false => 0,
    }
}

fn seen_of(member: &GossipMember) -> SeenListing {
    SeenListing {
        incarnation: member.incarnation,
        to: member.heard_to,
        scope: member.heard_scope,
    }
}

/// Since when a member has been silent, as told to a host that hears the sums
/// of `scope`.
///
/// Speakers vouch to each other only for hosts that they hear themselves. Two
/// that each took the other's word for a third host would keep it alive for
/// each other for ever.
///
/// Whether the member counts as live is told as it was last noted, and not as
/// it is by now: a member that falls silent and is heard again before the next
/// note changes nothing there, and a listener that was told of the silence in
/// between would never hear of the end of it.
fn silence(member: &GossipMember, scope: UseScope, now: Instant) -> Duration {
    let silent = now.saturating_duration_since(member.heard());
    match member.is_told_live(scope == UseScope::Group) {
        true => silent.min(DEAD_AFTER - Duration::from_millis(1)),
        false => silent.max(DEAD_AFTER),
    }
}
