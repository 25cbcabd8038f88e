//! Assignment of targets to the hosts that watch them, and the last known loads of
//! targets.
//!
//! A few hosts of a zone poll each of its targets and relay the loads in heartbeats. If
//! all hosts polled all targets, the number of calls would grow with the product of both.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::rotation::LeavingSignals;
use super::settings::WatchSettings;
use crate::ids::{HostId, TargetId, ZoneId};
use crate::peer::PeerLoad;
use crate::platform::wire::HostList;
use crate::rendezvous::top_ranked;
use crate::target::wire::LoadReport;

/// Seed of the hash that assigns watchers, which is the same on all hosts.
const WATCHER_SEED: u64 = 0x7761_7463;

/// Last known load of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSample {
    /// Steps or calls that are running.
    pub running: u32,
    /// Steps or calls that are waiting.
    pub waiting: u32,
    /// Tokens per second over the last seconds.
    pub tokens_per_second: f64,
    /// Time of the measurement by the target, derived from reported ages.
    pub measured_at: Instant,
}

/// State of one declared target.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct WatchedTarget {
    pub(super) zone: ZoneId,
    pub(super) load_sample: Option<LoadSample>,
    pub(super) signals: LeavingSignals,
    pub(super) forwarded_round: u64,
}

/// The targets of the system, as this host knows them.
#[derive(Debug)]
pub struct TargetWatch {
    pub(super) settings: WatchSettings,
    pub(super) targets: BTreeMap<TargetId, WatchedTarget>,
    pub(super) watched: BTreeSet<TargetId>,
    pub(super) working_hosts: Vec<HostId>,
    pub(super) remote_rounds: u64,
}

/// Declaration of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclaredTarget {
    /// Its name.
    pub target: TargetId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether the target is declared as draining.
    pub draining: bool,
}

impl TargetWatch {
    /// Creates a watch without targets.
    pub fn new(settings: WatchSettings) -> Self {
        Self {
            settings,
            targets: BTreeMap::new(),
            watched: BTreeSet::new(),
            working_hosts: Vec::new(),
            remote_rounds: 0,
        }
    }

    /// Replaces the declared targets and forgets all others.
    pub fn set_declared(&mut self, declared: &[DeclaredTarget]) {
        let names: BTreeSet<_> = declared.iter().map(|target| &target.target).collect();
        self.targets.retain(|name, _| names.contains(name));
        for declaration in declared {
            let target = self
                .targets
                .entry(declaration.target.clone())
                .or_insert_with(|| WatchedTarget {
                    zone: declaration.zone.clone(),
                    load_sample: None,
                    signals: LeavingSignals::default(),
                    forwarded_round: 0,
                });
            target.zone = declaration.zone.clone();
            target.signals.declared = declaration.draining;
        }
        self.assign();
    }

    /// Sets the working hosts of this zone, sorted by name. If they changed, the targets
    /// of the zone are assigned anew.
    pub fn set_working_hosts(&mut self, hosts: &[HostId]) {
        if self.working_hosts == hosts {
            return;
        }
        self.working_hosts = hosts.to_vec();
        self.assign();
    }

    fn assign(&mut self) {
        let own: &str = &self.settings.host;
        let hosts = &self.working_hosts;
        let watchers = self.settings.watchers;
        self.watched = self
            .targets
            .iter()
            .filter(|(_, target)| target.zone == self.settings.zone)
            .filter(|(name, _)| {
                let candidates = hosts.iter().map(|host| &**host);
                top_ranked(WATCHER_SEED, name, candidates, watchers).contains(&own)
            })
            .map(|(name, _)| name.clone())
            .collect();
    }

    /// Processes the platform's list.
    pub fn observe_host_list(&mut self, list: &HostList) {
        for listed in &list.targets {
            if let Some(target) = self.targets.get_mut(&listed.target) {
                target.signals.observe_listed(listed.phase);
            }
        }
    }

    /// Processes a load that this host polled, and whether the target reported itself as
    /// leaving.
    pub fn observe_poll(&mut self, target: &str, report: &LoadReport, leaving: bool, now: Instant) {
        let Some(target) = self.targets.get_mut(target) else {
            return;
        };
        let age = std::time::Duration::from_millis(report.age_ms);
        target.update_sample(LoadSample {
            running: report.running,
            waiting: report.waiting,
            tokens_per_second: report.tokens_per_second,
            measured_at: now.checked_sub(age).unwrap_or(now),
        });
        target.signals.observe_reading(leaving, now);
    }

    /// Processes a refusal of work by a target that is leaving.
    pub fn observe_refusal(&mut self, target: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(target) {
            target.signals.observe_refusal(now);
        }
    }

    /// Processes the loads in a peer's heartbeat.
    pub fn observe_peer_loads(&mut self, by: &HostId, loads: &[PeerLoad], now: Instant) {
        for load in loads {
            let Some(target) = self.targets.get_mut(&load.target) else {
                continue;
            };
            let measured_at = now.checked_sub(load.age).unwrap_or(now);
            target.update_sample(LoadSample {
                running: load.running,
                waiting: load.waiting,
                tokens_per_second: load.tokens_per_second,
                measured_at,
            });
            target.signals.observe_peer_report(by, load.leaving, now);
            if !load.leaving {
                target.signals.observe_reading(false, measured_at);
            }
        }
    }
}

impl WatchedTarget {
    /// Keeps the newer of two samples. Two watchers report the same target, and their
    /// heartbeats can arrive out of order.
    fn update_sample(&mut self, load_sample: LoadSample) {
        let is_newer = self
            .load_sample
            .is_none_or(|known| known.measured_at <= load_sample.measured_at);
        if is_newer {
            self.load_sample = Some(load_sample);
        }
    }
}
