//! Views that an entry host sends to another one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::GossipTable;
use crate::capacity::DemandReport;
use crate::fleet::UsageScope;
use crate::ids::HostId;
use crate::membership::gossip_member::{DEAD_AFTER, GossipMember};
use crate::peer::{HostListing, HostView, KnownHost, SeenListing, ZoneCount};
use crate::permits::LimitDelta;
use crate::poison::PoisonDelta;

impl GossipTable {
    /// Creates the view to send to the host at an address. The caller adds the usage of
    /// targets, the poison evidence, the limits of targets and the state of the log.
    pub fn request_view(&mut self, address: SocketAddr, now: Instant) -> HostView {
        let mut known = self.members.iter();
        let callee = known.find(|(_, member)| member.address == address);
        let callee = callee.map(|(host, member)| (host.clone(), member.clone()));
        let Some((host, member)) = callee else {
            return self.view(
                UsageScope::Host,
                HostListing::default(),
                SeenListing::default(),
            );
        };
        let scope = self.scope_for(&host, &member, now);
        let listing = match scope {
            // A host that reports sends only its own state and receives the listings of
            // others.
            UsageScope::Host | UsageScope::Neighbours => HostListing::default(),
            UsageScope::Group | UsageScope::Zone => {
                let from = listed_from(member.acknowledged, scope);
                self.listing(&member.zone, from, scope, now)
            }
        };
        self.view(scope, listing, seen_listing(&member))
    }

    /// Creates the reply to a view that was applied before.
    pub fn reply_view(&mut self, view: &HostView, now: Instant) -> HostView {
        let scope = match (view.zone == self.zone, view.scope) {
            (true, UsageScope::Host) => UsageScope::Neighbours,
            (false, UsageScope::Zone) => UsageScope::Zone,
            (true, _) => UsageScope::Group,
            (false, _) => UsageScope::Host,
        };
        let from = match view.seen.incarnation == self.incarnation {
            true => listed_from(view.seen, scope),
            false => 0,
        };
        let listing = self.listing(&view.zone, from, scope, now);
        let member = self.members.get(&view.host);
        let seen = member.map_or_else(SeenListing::default, seen_listing);
        self.view(scope, listing, seen)
    }

    fn scope_for(&self, host: &HostId, member: &GossipMember, now: Instant) -> UsageScope {
        let aggregators = self.aggregators(now);
        let is_aggregator = aggregators.contains(&self.host);
        match member.zone == self.zone {
            true if is_aggregator && aggregators.contains(host) => UsageScope::Group,
            false if self.is_leader(now) => UsageScope::Zone,
            _ => UsageScope::Host,
        }
    }

    fn view(&mut self, scope: UsageScope, listing: HostListing, seen: SeenListing) -> HostView {
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
            weight: self.weight,
            scope,
            usage: Vec::new(),
            listing,
            seen,
            counts,
            log: None,
            poison: PoisonDelta::default(),
            limits: LimitDelta::default(),
            demand: DemandReport::default(),
            ended: Vec::new(),
        }
    }

    /// Returns the hosts that changed after version `from` and that a host of `zone`
    /// needs: all hosts of its own zone and the advertised ones of every other zone.
    fn listing(&self, zone: &str, from: u64, scope: UsageScope, now: Instant) -> HostListing {
        let wanted = |member: &GossipMember| {
            member.changed_version > from && (*member.zone == *zone || member.is_advertised())
        };
        let listed = self.members.iter().filter(|(_, member)| wanted(member));
        let hosts = listed.map(|(host, member)| KnownHost {
            host: host.clone(),
            zone: member.zone.clone(),
            address: member.address,
            incarnation: member.incarnation,
            weight: member.weight,
            silent: reported_silence(member, scope, now),
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

/// Returns the version after which changes are listed to a host. A host that became an
/// aggregator, or is one no longer, receives the complete listing again, because
/// aggregators report fewer hosts as live to each other than to the other hosts.
fn listed_from(seen: SeenListing, scope: UsageScope) -> u64 {
    match seen.scope == scope {
        true => seen.to,
        false => 0,
    }
}

fn seen_listing(member: &GossipMember) -> SeenListing {
    SeenListing {
        incarnation: member.incarnation,
        to: member.received_to,
        scope: member.received_scope,
    }
}

/// Returns the silence of a member as reported in a listing of `scope`.
///
/// Aggregators report hosts to each other as live only if they have direct contact with
/// them. Otherwise two aggregators could keep reporting a lost host to each other as live
/// forever.
///
/// The value reflects the recorded state of the member and not its current one. A member
/// that falls silent and sends again before its state is recorded next does not change its
/// version, so a receiver of the silence would never receive its end.
fn reported_silence(member: &GossipMember, scope: UsageScope, now: Instant) -> Duration {
    let silent = now.saturating_duration_since(member.last_contact());
    match member.is_recorded_live(scope == UsageScope::Group) {
        true => silent.min(DEAD_AFTER - Duration::from_millis(1)),
        false => silent.max(DEAD_AFTER),
    }
}
