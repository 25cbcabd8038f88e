//! Events that change the table of hosts.

use std::net::SocketAddr;
use std::time::Instant;

use super::decision::{MembershipDecision, RemovalCause};
use super::member::{HostMember, MemberPhase};
use super::schedule::ExchangePlan;
use super::table::MembershipTable;
use crate::ids::{HostId, LogOffset, ZoneId};
use crate::peer::PeerHeartbeat;
use crate::platform::wire::{HostList, ListedHost};

impl MembershipTable {
    /// Sets the applied offset that this host reports in its heartbeats.
    pub fn set_applied_offset(&mut self, applied_offset: LogOffset) {
        self.applied_offset = applied_offset;
    }

    /// Sets whether this host reports that it accepts no new work.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Sets which host holds the lease on the zone's shares. That host is always called,
    /// because calls to it carry demands and its replies carry grants.
    pub fn set_share_holder(&mut self, holder: Option<HostId>) {
        self.share_holder = holder;
    }

    /// Adds a host named in the settings, so that a start does not depend on the
    /// platform.
    pub fn observe_known_host(
        &mut self,
        host: HostId,
        zone: ZoneId,
        peer_address: SocketAddr,
        now: Instant,
    ) {
        if host == self.settings.host {
            return;
        }
        self.members.entry(host).or_insert_with_key(|host| {
            HostMember::new(&self.settings, host.clone(), zone, peer_address, now)
        });
    }

    /// Processes a heartbeat that arrived in a call or in a reply.
    ///
    /// A heartbeat of an ended incarnation, or one older than the last one received,
    /// changes nothing.
    pub fn observe_heartbeat(
        &mut self,
        heartbeat: &PeerHeartbeat,
        now: Instant,
    ) -> Vec<MembershipDecision> {
        if heartbeat.host == self.settings.host {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        let remove_after = self.settings.remove_after;
        let awake_since = self.awake_since;
        let member = self
            .members
            .entry(heartbeat.host.clone())
            .or_insert_with(|| {
                HostMember::new(
                    &self.settings,
                    heartbeat.host.clone(),
                    heartbeat.zone.clone(),
                    heartbeat.peer_address,
                    now,
                )
            });
        let silence = now.saturating_duration_since(member.silent_since(awake_since));
        match member.incarnation {
            // A process that was frozen while its host was replaced resumes sending
            // heartbeats when it wakes. They are dropped, because they would overwrite
            // the offset and the grants of the newer incarnation with old ones.
            _ if member.has_ended(heartbeat.incarnation) => return decisions,
            Some(current)
                if current == heartbeat.incarnation && heartbeat.sequence <= member.sequence =>
            {
                return decisions;
            }
            Some(current) if current == heartbeat.incarnation => {}
            // Incarnations grow with the clock of the host. After the clock is set back,
            // the lower incarnation is accepted only once the higher one has been silent
            // for `remove_after`.
            Some(current) if heartbeat.incarnation < current && silence < remove_after => {
                return decisions;
            }
            before => {
                member.replace_incarnation(heartbeat.incarnation);
                decisions.extend(before.map(|incarnation| MembershipDecision::HostRemoved {
                    host: heartbeat.host.clone(),
                    incarnation: Some(incarnation),
                    cause: RemovalCause::Replaced,
                }));
                decisions.push(MembershipDecision::HostJoined {
                    host: heartbeat.host.clone(),
                    zone: heartbeat.zone.clone(),
                    incarnation: heartbeat.incarnation,
                });
            }
        }
        if member.phase == MemberPhase::Suspected {
            decisions.push(MembershipDecision::HostRecovered {
                host: heartbeat.host.clone(),
            });
        }
        apply_heartbeat(member, heartbeat, now);
        decisions
    }

    /// Processes the platform's list of hosts.
    ///
    /// An empty list is ignored as a fault of the platform, because it would mark every
    /// host as delisted at once.
    pub fn observe_host_list(&mut self, list: &HostList, now: Instant) {
        if list.hosts.is_empty() {
            return;
        }
        self.last_list = Some(now);
        for member in self.members.values_mut() {
            member.listed = None;
        }
        for listed in &list.hosts {
            self.observe_listed_host(listed, now);
        }
    }

    fn observe_listed_host(&mut self, listed: &ListedHost, now: Instant) {
        let Ok(address) = listed.peer_address.parse() else {
            log::warn!(
                "the platform's list has no usable peer address for host {}",
                listed.host
            );
            return;
        };
        if listed.host == self.settings.host {
            return;
        }
        let member = self
            .members
            .entry(listed.host.clone())
            .or_insert_with_key(|host| {
                HostMember::new(
                    &self.settings,
                    host.clone(),
                    listed.zone.clone(),
                    address,
                    now,
                )
            });
        member.listed = Some(listed.phase);
        member.was_listed = true;
        // The address that a live host reports itself is newer than the list.
        if member.phase != MemberPhase::Live {
            member.peer_address = address;
        }
    }

    /// Detects silent hosts, removes ended ones and returns the heartbeats that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipDecision> {
        self.detect_pause(now);
        let plan = self.exchange_plan();
        let mut decisions = self.detect_silence(&plan, now);
        decisions.extend(self.remove_ended(now));
        decisions.extend(self.due_heartbeats(&plan, now));
        decisions
    }

    /// Restarts the silence timeouts after a pause of this process. It received nothing
    /// while it was paused, and would otherwise count every other host as unreachable.
    fn detect_pause(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_tick);
        if pause >= self.settings.suspect_after / 2 {
            self.awake_since = now;
        }
        self.last_tick = now;
    }

    fn detect_silence(&mut self, plan: &ExchangePlan, now: Instant) -> Vec<MembershipDecision> {
        let awake_since = self.awake_since;
        let own_zone = &self.settings.zone;
        let minimum = self.settings.suspect_after;
        let mut decisions = Vec::new();
        for member in self.members.values_mut() {
            let in_zone = member.zone == *own_zone;
            let suspect_after = plan.suspect_after(minimum, in_zone);
            let silent = now.saturating_duration_since(member.silent_since(awake_since));
            let unanswered = member
                .unanswered_since
                .is_some_and(|since| now.saturating_duration_since(since) >= suspect_after);
            // A host of another zone is only expected to reply to calls.
            let expected = in_zone || unanswered;
            match member.phase {
                MemberPhase::Suspected => {}
                _ if silent < suspect_after => {}
                _ if !expected => member.phase = MemberPhase::Unknown,
                _ => {
                    member.phase = MemberPhase::Suspected;
                    decisions.push(MembershipDecision::HostSuspected {
                        host: member.host.clone(),
                    });
                }
            }
        }
        decisions
    }

    fn remove_ended(&mut self, now: Instant) -> Vec<MembershipDecision> {
        let ended: Vec<_> = self
            .members
            .values()
            .filter_map(|member| Some((member.host.clone(), self.removal_cause(member, now)?)))
            .collect();
        ended
            .into_iter()
            .filter_map(|(host, cause)| {
                let member = self.members.remove(&host)?;
                Some(MembershipDecision::HostRemoved {
                    host,
                    incarnation: member.incarnation,
                    cause,
                })
            })
            .collect()
    }

    /// Returns why a member is to be removed, if it is.
    ///
    /// Silence alone never removes a host, because it may be partitioned from this host
    /// and still serve callers under its last grant. Only the platform's list removes it,
    /// and only a list fetched after the silence began.
    fn removal_cause(&self, member: &HostMember, now: Instant) -> Option<RemovalCause> {
        let silent_since = member.silent_since(self.awake_since);
        let silence = now.saturating_duration_since(silent_since);
        let list_is_newer = self.last_list.is_some_and(|list| list > silent_since);
        match member.listed {
            Some(_) => None,
            None if !list_is_newer || silence < self.settings.remove_after => None,
            None if member.was_listed => Some(RemovalCause::Delisted),
            None if silence >= self.settings.forget_after => Some(RemovalCause::Forgotten),
            None => None,
        }
    }
}

fn apply_heartbeat(member: &mut HostMember, heartbeat: &PeerHeartbeat, now: Instant) {
    member.sequence = heartbeat.sequence;
    member.zone = heartbeat.zone.clone();
    member.peer_address = heartbeat.peer_address;
    member.applied_offset = heartbeat.applied_offset;
    member.draining = heartbeat.draining;
    member.phase = MemberPhase::Live;
    member.last_contact = Some(now);
    member.unanswered_since = None;
    if let Some(digest) = &heartbeat.digest {
        member.digest = Some((digest.clone(), now));
    }
}
