//! Schedules heartbeats to other hosts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::decision::MembershipDecision;
use super::member::{HostMember, MemberPhase};
use super::table::MembershipTable;
use crate::ids::{HostId, ZoneId};

/// Intervals that the callee of a pair waits for a call before it calls itself.
const WAITING_ROUNDS: u32 = 2;
/// Intervals between calls to a silent remote host that another host has replaced as
/// callee.
const PROBE_ROUNDS: u32 = 10;
/// Intervals without a heartbeat after which a host counts as unreachable.
const SILENT_ROUNDS: u32 = 3;

/// Callees and intervals of the exchanges at one moment.
///
/// With more hosts the intervals grow while the rate of calls stays constant. This bounds
/// the cost of heartbeats and delays only the propagation of updates.
pub(super) struct ExchangePlan {
    chosen: BTreeSet<HostId>,
    zone_interval: Duration,
    remote_interval: Duration,
}

impl ExchangePlan {
    /// Returns the silence after which a host counts as unreachable.
    pub(super) fn suspect_after(&self, minimum: Duration, in_zone: bool) -> Duration {
        let interval = match in_zone {
            true => self.zone_interval,
            false => self.remote_interval,
        };
        minimum.max(interval * SILENT_ROUNDS)
    }
}

impl MembershipTable {
    /// Computes the plan for the hosts that are known now.
    pub(super) fn exchange_plan(&self) -> ExchangePlan {
        let chosen = self.chosen_remote_hosts();
        let settings = &self.settings;
        let stretched = |pace: Duration, hosts: usize, minimum: Duration| {
            minimum.max(pace.saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX)))
        };
        let neighbours = self.zone_members().count();
        ExchangePlan {
            zone_interval: stretched(settings.zone_pace, neighbours, settings.zone_interval),
            remote_interval: stretched(
                settings.remote_pace,
                chosen.len(),
                settings.remote_interval,
            ),
            chosen,
        }
    }

    /// Returns the heartbeats that are due and records them as sent.
    pub(super) fn due_heartbeats(
        &mut self,
        plan: &ExchangePlan,
        now: Instant,
    ) -> Vec<MembershipDecision> {
        let due: Vec<_> = self
            .members
            .values()
            .filter(|member| self.is_due(member, plan, now))
            .map(|member| member.host.clone())
            .collect();
        due.into_iter()
            .filter_map(|host| {
                let member = self.members.get_mut(&host)?;
                member.last_sent = Some(now);
                member.unanswered_since.get_or_insert(now);
                Some(MembershipDecision::SendHeartbeat {
                    to: host,
                    address: member.peer_address,
                    remote: member.zone != self.settings.zone,
                })
            })
            .collect()
    }

    fn is_due(&self, member: &HostMember, plan: &ExchangePlan, now: Instant) -> bool {
        let in_zone = member.zone == self.settings.zone;
        let is_holder = self.share_holder.as_ref() == Some(&member.host);
        let (reference, interval) = match in_zone {
            // The share holder is called from either side of a pair, because only its
            // reply carries grants. It is not called more often than others, because
            // reports name every organisation and the holder receives those of the whole
            // zone.
            true if is_holder => (member.last_sent, plan.zone_interval),
            // An exchange informs both sides, so that one host of a pair calls and the
            // other calls only if no call arrives. This halves the number of calls.
            true if member.is_called => (member.last_sent, plan.zone_interval),
            true => (
                member.last_sent.max(member.last_contact),
                plan.zone_interval * WAITING_ROUNDS,
            ),
            false if plan.chosen.contains(&member.host) => (member.last_sent, plan.remote_interval),
            false if member.unanswered_since.is_some() => {
                (member.last_sent, plan.remote_interval * PROBE_ROUNDS)
            }
            false => return false,
        };
        reference.is_none_or(|last| now.saturating_duration_since(last) >= interval)
    }

    /// Returns the hosts called in each other zone: the highest ranked, those that are
    /// not suspected first.
    pub fn chosen_remote_hosts(&self) -> BTreeSet<HostId> {
        let mut zones: BTreeMap<&ZoneId, Vec<&HostMember>> = BTreeMap::new();
        for member in self.members.values() {
            zones.entry(&member.zone).or_default().push(member);
        }
        zones.remove(&self.settings.zone);
        zones
            .into_values()
            .flat_map(|members| best_ranked(members, self.settings.remote_peers))
            .collect()
    }
}

fn best_ranked(mut members: Vec<&HostMember>, count: usize) -> Vec<HostId> {
    members.sort_by_key(|member| {
        let silent = member.phase == MemberPhase::Suspected;
        (silent, Reverse(member.remote_rank))
    });
    members
        .into_iter()
        .take(count)
        .map(|member| member.host.clone())
        .collect()
}
