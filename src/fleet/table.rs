//! The table of targets: what they reported and what this host observed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::fleet::ended::{ENDED_PAUSE, EndedTargets};
use crate::fleet::statements::RetainedStatements;
use crate::fleet::usage::UsageTable;
use crate::fleet::{EndedTarget, LayerRange, TargetEntry, TargetLoad, TargetState};
use crate::fleet::{TargetUsage, UsageScope, UsageSource, ZoneUsage};
use crate::ids::{HostId, ServiceId, TargetId, TargetKey};

/// Duration of the first ejection after a failure that may be transient: about ten passes
/// of an engine, each of which takes about 50 ms.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection: a fault that lasts longer is probed by one request in this time.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive failures that eject a target. A single failure may be one corrupted
/// response of a healthy target.
const EJECTING_FAILURES: u32 = 2;
/// Least time between two requests for a target's pace: each is billed, and slowness
/// lasts for seconds.
const PACE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Pause of a target that refused a request for lack of capacity: about the time after
/// which hosts know each other's requests.
const FULL_PAUSE: Duration = Duration::from_millis(300);
/// Most doublings of that pause on consecutive refusals. A draining engine refuses
/// everything too, and while the log is unavailable no host is notified that it drains.
const MAX_FULL_DOUBLINGS: u32 = 4;
/// Duration of the ejection of a target that does not respond at all.
const SILENT_EJECTION: Duration = Duration::from_secs(3);

/// Targets of one service in the order of their ids.
pub type ServiceMembers = BTreeMap<TargetId, TargetState>;

/// All known targets.
#[derive(Debug, Default)]
pub struct FleetTable {
    services: BTreeMap<ServiceId, ServiceMembers>,
    service_of: FastMap<TargetId, ServiceId>,
    id_of: FastMap<TargetKey, TargetId>,
    usage: UsageTable,
    ended: EndedTargets,
    /// What removed targets have stated, for the case that the log lists them again.
    statements: RetainedStatements,
    /// End of the last pause that any target has requested.
    last_pause_end: Option<Instant>,
}

impl FleetTable {
    /// Records a heartbeat and returns whether it changed the target's entry.
    pub fn observe_entry(&mut self, entry: TargetEntry) -> bool {
        let id = entry.id.clone();
        let service = entry.service.clone();
        self.service_of.insert(id.clone(), service.clone());
        let members = self.services.entry(service).or_default();
        match members.get_mut(&id) {
            Some(state) if state.entry == entry => false,
            Some(state) => {
                state.entry = entry;
                true
            }
            None => {
                let mut state = TargetState::new(entry);
                self.statements.restore(&mut state);
                self.id_of.insert(state.key, id.clone());
                members.insert(id, state);
                true
            }
        }
    }

    /// Removes a target. If the log lists it again, what it has stated is still in effect.
    pub fn remove(&mut self, id: &str) -> Option<TargetState> {
        let service = self.service_of.remove(id)?;
        let state = self.services.get_mut(&service)?.remove(id)?;
        self.id_of.remove(&state.key);
        self.statements.retain(&state);
        Some(state)
    }

    /// Returns the targets of a service.
    pub fn members(&self, service: &str) -> Option<&ServiceMembers> {
        self.services.get(service)
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetState> {
        self.services.values().flat_map(BTreeMap::values)
    }

    /// Returns the target with an id.
    pub fn get(&self, id: &str) -> Option<&TargetState> {
        let service = self.service_of.get(id)?;
        self.services.get(service)?.get(id)
    }

    /// Returns the target with an id, mutably.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut TargetState> {
        let service = self.service_of.get(id)?;
        self.services.get_mut(service)?.get_mut(id)
    }

    /// Returns the id of the target of a service at an address.
    pub fn id_at(&self, service: &str, address: SocketAddr) -> Option<TargetId> {
        let members = self.members(service)?;
        let mut states = members.values();
        let state = states.find(|state| state.entry.address == address)?;
        Some(state.entry.id.clone())
    }

    /// Returns whether a service has a target that may get work.
    pub fn has_usable(&self, service: &str, now: Instant) -> bool {
        let members = self.members(service);
        members.is_some_and(|members| members.values().any(|state| state.is_usable(now)))
    }

    /// Records that a request was sent to a target.
    pub fn observe_start(&mut self, id: &str, load: TargetLoad) {
        if let Some(state) = self.get_mut(id) {
            state.own.add(load);
        }
    }

    /// Records that a target has processed a prompt that counted as `unread`.
    pub fn observe_prefill(&mut self, id: &str, unread: f64) {
        if let Some(state) = self.get_mut(id) {
            state.own.unread = (state.own.unread - unread).max(0.0);
        }
    }

    /// Records that a request ended on a target.
    pub fn observe_end(&mut self, id: &str, load: TargetLoad) {
        if let Some(state) = self.get_mut(id) {
            state.own.remove(load);
        }
    }

    /// Records the load that other hosts report of their requests on targets.
    pub fn observe_usage(&mut self, source: UsageSource, usage: Vec<TargetUsage>, now: Instant) {
        self.usage.observe(source, usage, now);
        self.add_up_usage();
    }

    /// Records the load of the requests of the hosts of other zones.
    pub fn observe_remote(&mut self, zones: Vec<ZoneUsage>, now: Instant) {
        if zones.is_empty() {
            return;
        }
        for zone in zones {
            self.usage
                .observe(UsageSource::Zone(zone.zone), zone.usage, now);
        }
        self.add_up_usage();
    }

    /// Forgets the sums of an aggregator; from now on this host adds up the requests of
    /// its zone itself.
    pub fn forget_neighbours(&mut self) {
        self.usage.forget_neighbours();
        self.add_up_usage();
    }

    fn add_up_usage(&mut self) {
        for state in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            state.near = TargetLoad::default();
            state.remote = TargetLoad::default();
        }
        for (source, usage) in self.usage.all() {
            for used in usage {
                let Some(id) = self.id_of.get(&used.key) else {
                    continue;
                };
                let service = self.service_of.get(id);
                let members = service.and_then(|service| self.services.get_mut(service));
                let Some(state) = members.and_then(|members| members.get_mut(id)) else {
                    continue;
                };
                match source.is_own_zone() {
                    true => state.near.add(used.load),
                    false => state.remote.add(used.load),
                }
            }
        }
    }

    /// Returns the last reported usage by the hosts of other zones.
    pub fn remote_usage(&self) -> Vec<ZoneUsage> {
        self.usage.remote()
    }

    /// Returns the usage to report to `recipient`.
    pub fn usage(&self, scope: UsageScope, recipient: Option<&HostId>) -> Vec<TargetUsage> {
        let reported = match scope {
            UsageScope::Group => self.usage.reported(),
            _ => FastMap::default(),
        };
        let sent = match (scope, recipient) {
            (UsageScope::Neighbours, Some(recipient)) => self.usage.reported_by(recipient),
            _ => FastMap::default(),
        };
        let used = self.targets().map(|state| {
            let mut load = state.own;
            if matches!(scope, UsageScope::Neighbours | UsageScope::Zone) {
                load.add(state.near);
            }
            if let Some(reported) = reported.get(&state.key) {
                load.add(*reported);
            }
            if let Some(sent) = sent.get(&state.key) {
                load.remove(*sent);
            }
            TargetUsage {
                key: state.key,
                load,
            }
        });
        used.filter(|used| used.load.requests > 0).collect()
    }

    /// Returns whether to request a target's pace now, and if so records the request.
    pub fn begin_pace_request(&mut self, id: &str, now: Instant) -> bool {
        let Some(state) = self.get_mut(id) else {
            return false;
        };
        let due = state.remaining_pause(now).is_zero()
            && state
                .pace_requested
                .is_none_or(|at| now >= at + PACE_REQUEST_INTERVAL);
        if due {
            state.pace_requested = Some(now);
        }
        due
    }

    /// Records the pace that a target reported.
    pub fn observe_pace(&mut self, id: &str, pace: f64, now: Instant) {
        if let Some(state) = self.get_mut(id) {
            state.pace = Some((pace, now));
        }
    }

    /// Records that a target responded as it should.
    pub fn observe_success(&mut self, id: &str, now: Instant) {
        let Some(state) = self.get_mut(id) else {
            return;
        };
        state.readmit();
        state.refusals = 0;
        state.full_until = None;
        state.ended_until = None;
        state.last_success = Some(now);
        let key = state.key;
        self.ended.forget(key);
    }

    /// Records that this host found a target ended, for other hosts. Returns whether the
    /// target is known and had not been reported.
    ///
    /// Without the report, each host finds out at the cost of an attempt, of which a
    /// request has two.
    pub fn report_ended(&mut self, id: &str, now: Instant) -> bool {
        let key = self.get(id).map(|state| state.key);
        key.is_some_and(|key| self.ended.observe(key, now, now))
    }

    /// Returns the targets that this host or another one recently found ended.
    pub fn ended_targets(&self, now: Instant) -> Vec<EndedTarget> {
        self.ended.reports(now)
    }

    /// Records which targets another host found ended or has heard to have ended. Returns
    /// those that are avoided because of it.
    ///
    /// A target that has responded to this host since is not avoided, and the report is not
    /// passed on.
    pub fn observe_ended(&mut self, reports: &[EndedTarget], now: Instant) -> Vec<TargetId> {
        let mut avoided = Vec::new();
        for report in reports {
            let Some(at) = now.checked_sub(report.age) else {
                continue;
            };
            let id = self.id_of.get(&report.key).cloned();
            let state = id.as_ref().and_then(|id| self.get(id));
            let has_responded = state.is_some_and(|state| state.last_success >= Some(at));
            if has_responded || !self.ended.observe(report.key, at, now) {
                continue;
            }
            if let Some(id) = id
                && let Some(state) = self.get_mut(&id)
            {
                state.ended_until = state.ended_until.max(Some(at + ENDED_PAUSE));
                avoided.push(id);
            }
        }
        avoided
    }

    /// Records that a target failed a request; returns the end of its ejection, if it is
    /// ejected.
    ///
    /// Without ejection, a target that fails quickly looks idle and attracts more and
    /// more requests, while its health check still succeeds.
    pub fn observe_failure(&mut self, id: &str, now: Instant) -> Option<Instant> {
        let state = self.get_mut(id)?;
        state.failures += 1;
        if state.failures < EJECTING_FAILURES {
            return None;
        }
        let doublings = (state.failures - EJECTING_FAILURES).min(4);
        let time = (FIRST_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
        state.ejected_until = Some(now + time);
        state.ejected_until
    }

    /// Records that a target refused a request for lack of capacity.
    ///
    /// The requests of other hosts are known with a delay. Without this pause, all
    /// requests that arrive in the meantime are sent to the same engines, refused, and
    /// use up the retries.
    pub fn observe_full(&mut self, id: &str, now: Instant) {
        if let Some(state) = self.get_mut(id) {
            let doublings = state.refusals.min(MAX_FULL_DOUBLINGS);
            state.refusals += 1;
            state.full_until = Some(now + FULL_PAUSE * 2_u32.pow(doublings));
        }
    }

    /// Returns the first of these targets that must not be sent a request now: it pauses, is
    /// leaving or has left.
    pub fn find_unavailable<'a, I>(&self, mut ids: I, now: Instant) -> Option<&'a TargetId>
    where
        I: Iterator<Item = &'a TargetId>,
    {
        let is_available = |id: &TargetId| {
            let state = self.get(id);
            state.is_some_and(|state| !state.is_leaving() && state.remaining_pause(now).is_zero())
        };
        ids.find(|id| !is_available(id))
    }

    /// Records that a target has stated that it is leaving, and returns whether that was
    /// unknown.
    pub fn observe_leaving(&mut self, id: &str) -> bool {
        let known = match self.get_mut(id) {
            Some(state) => &mut state.states_leaving,
            None => &mut self.statements.statement(id).states_leaving,
        };
        !std::mem::replace(known, true)
    }

    /// Returns the longest pause of these targets.
    pub fn longest_pause<'a, I>(&self, ids: I, now: Instant) -> Duration
    where
        I: Iterator<Item = &'a TargetId>,
    {
        let states = ids.filter_map(|id| self.get(id));
        let pauses = states.map(|state| state.remaining_pause(now));
        pauses.max().unwrap_or_default()
    }

    /// Returns the targets of a service that have requested a pause.
    pub fn paused(&self, service: &str, now: Instant) -> impl Iterator<Item = &TargetState> {
        // Every request calls this function, and usually no target pauses.
        let is_possible = self.last_pause_end.is_some_and(|end| now < end);
        let members = self.members(service).filter(|_| is_possible).into_iter();
        let states = members.flat_map(BTreeMap::values);
        states.filter(move |state| !state.remaining_pause(now).is_zero())
    }

    /// Records that a target wants no requests of this host until `until`. Pauses that it
    /// requested before remain in effect.
    pub fn observe_pause(&mut self, id: &str, until: Instant) {
        let known = match self.get_mut(id) {
            Some(state) => &mut state.paused_until,
            None => &mut self.statements.statement(id).paused_until,
        };
        *known = (*known).max(Some(until));
        self.last_pause_end = self.last_pause_end.max(Some(until));
    }

    /// Records that a target limits its rate and that there is no permit for it before
    /// `until`.
    pub fn observe_withheld(&mut self, id: &str, until: Instant) {
        if let Some(state) = self.get_mut(id) {
            state.withheld_until = state.withheld_until.max(Some(until));
        }
    }

    /// Records that a target no longer limits its rate.
    pub fn observe_unlimited(&mut self, id: &str) {
        if let Some(state) = self.get_mut(id) {
            state.withheld_until = None;
        }
    }

    /// Returns the id of the target with a key.
    pub fn id_of(&self, key: TargetKey) -> Option<&TargetId> {
        self.id_of.get(&key)
    }

    /// Records that a target does not respond at all.
    pub fn observe_silence(&mut self, id: &str, now: Instant) {
        if let Some(state) = self.get_mut(id) {
            state.failures = state.failures.max(EJECTING_FAILURES);
            state.ejected_until = Some(now + SILENT_EJECTION);
            state.silent_until = state.ejected_until;
        }
    }

    /// Ends the ejection of a target that other hosts reach.
    pub fn readmit(&mut self, id: &str) {
        if let Some(state) = self.get_mut(id) {
            state.readmit();
        }
    }

    /// Ends all ejections: this host has lost its own links, so that its failures say
    /// nothing about the targets.
    pub fn readmit_all(&mut self) {
        let members = self.services.values_mut();
        for state in members.flat_map(BTreeMap::values_mut) {
            state.readmit();
        }
    }

    /// Records the layers that an engine holds, which may differ from its last heartbeat.
    pub fn observe_layers(&mut self, id: &str, layers: Option<LayerRange>) {
        if let Some(state) = self.get_mut(id) {
            state.entry.layers = layers;
        }
    }
}
