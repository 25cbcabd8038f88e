//! Queries of the watch over targets.

use std::time::Instant;

use super::rotation::RotationReason;
use super::target_watch::{LoadSample, TargetWatch, WatchedTarget};
use crate::ids::TargetId;
use crate::peer::PeerLoad;

impl TargetWatch {
    /// Iterates over the targets that this host polls.
    pub fn watched(&self) -> impl Iterator<Item = &TargetId> {
        self.watched.iter()
    }

    /// Returns the last known load of a target, however old it is.
    pub fn load_sample(&self, target: &str) -> Option<LoadSample> {
        self.targets.get(target)?.load_sample
    }

    /// Returns why a target takes no new work; `None` if it takes work.
    pub fn out_of_rotation(&self, target: &str, now: Instant) -> Option<RotationReason> {
        let target = self.targets.get(target)?;
        target.signals.reason(self.settings.leaving_expiry, now)
    }

    /// Returns the loads for hosts of this zone: targets that this host polls, and any
    /// others for which it has a direct reason to count them as leaving.
    pub fn zone_loads(&self, now: Instant) -> Vec<PeerLoad> {
        self.targets
            .iter()
            .filter_map(|(name, target)| {
                let reason = target
                    .signals
                    .direct_reason(self.settings.leaving_expiry, now);
                let is_forwarded = self.watched.contains(name) || reason.is_some();
                is_forwarded
                    .then(|| self.load(name, target, reason.is_some(), now))
                    .flatten()
            })
            .collect()
    }

    /// Returns the loads for a host of another zone: a bounded number of this zone's
    /// targets, least recently relayed first, and targets of other zones for which this
    /// host has a direct reason to count them as leaving.
    ///
    /// Peers' reports about this zone's own targets are included. They cannot come back
    /// as reports of other zones, because hosts there relay only their own zone's targets
    /// and direct reasons.
    pub fn remote_loads(&mut self, now: Instant) -> Vec<PeerLoad> {
        self.remote_rounds += 1;
        let mut waiting: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| target.zone == self.settings.zone)
            .map(|(name, target)| (target.forwarded_round, name.clone()))
            .collect();
        waiting.sort_unstable();
        let mut loads = self.remote_leaving_loads(now);
        for (_, name) in waiting {
            if loads.len() >= self.settings.remote_loads {
                break;
            }
            let Some(target) = self.targets.get(&name) else {
                continue;
            };
            let leaving = target
                .signals
                .reason(self.settings.leaving_expiry, now)
                .is_some();
            loads.extend(self.load(&name, target, leaving, now));
            if let Some(target) = self.targets.get_mut(&name) {
                target.forwarded_round = self.remote_rounds;
            }
        }
        loads
    }

    /// Returns the targets of other zones that are leaving for a direct reason.
    ///
    /// A zone that is cut off from the platform no longer receives its list. Without
    /// these reports its hosts would keep sending work to targets that the platform
    /// removes, and the targets of that zone are not among this zone's.
    fn remote_leaving_loads(&self, now: Instant) -> Vec<PeerLoad> {
        let expiry = self.settings.leaving_expiry;
        self.targets
            .iter()
            .filter(|(_, target)| target.zone != self.settings.zone)
            .filter(|(_, target)| target.signals.direct_reason(expiry, now).is_some())
            .filter_map(|(name, target)| self.load(name, target, true, now))
            .collect()
    }

    fn load(
        &self,
        name: &TargetId,
        target: &WatchedTarget,
        leaving: bool,
        now: Instant,
    ) -> Option<PeerLoad> {
        let max_age = self.settings.max_load_age;
        let fresh = target
            .load_sample
            .map(|load_sample| {
                (
                    load_sample,
                    now.saturating_duration_since(load_sample.measured_at),
                )
            })
            .filter(|(_, age)| *age <= max_age);
        match fresh {
            Some((load_sample, age)) => Some(PeerLoad {
                target: name.clone(),
                running: load_sample.running,
                waiting: load_sample.waiting,
                tokens_per_second: load_sample.tokens_per_second,
                age,
                leaving,
            }),
            // A target that is leaving may no longer respond to polls. It is still
            // reported as leaving, with a load too old to be used.
            None if leaving => Some(PeerLoad {
                target: name.clone(),
                running: 0,
                waiting: 0,
                tokens_per_second: 0.0,
                age: max_age,
                leaving,
            }),
            None => None,
        }
    }
}
