//! Table of the limits that targets have named.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::observation::LimitObservation;
use super::rate::RateLimit;
use crate::collections::FastMap;
use crate::delta_sync::{DeltaBounds, DeltaProgress};
use crate::ids::{IncarnationId, TargetKey};

/// Maximum number of targets that are remembered; an entry takes about 60 bytes.
const MAX_ENTRIES: usize = 4096;
/// Maximum number of records in one delta: at 28 bytes each, four times a second in both
/// directions, 14 KB/s while there are always more updates.
const MAX_DELTA_RECORDS: usize = 64;

/// Change of a target's limit by an observation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The target names a limit, or another one than before.
    Named(RateLimit),
    /// The target no longer names a limit.
    Ended,
}

/// A target's limit as hosts report it to each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitRecord {
    /// The target.
    pub target: TargetKey,
    /// The limit; `None` if it has ended.
    pub rate: Option<RateLimit>,
    /// Time since the request was sent whose response named it.
    pub sent_age: Duration,
    /// Time since that response was received.
    pub received_age: Duration,
}

impl LimitRecord {
    /// Converts the record to an observation, as of `now`.
    pub fn observation(&self, now: Instant) -> LimitObservation {
        let before = |age: Duration| now.checked_sub(age).unwrap_or(now);
        LimitObservation {
            rate: self.rate,
            sent: before(self.sent_age),
            received: before(self.received_age),
        }
    }
}

/// What changed between two versions of a host's table.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LimitDelta {
    /// The versions that the delta covers.
    pub bounds: DeltaBounds,
    /// The limits that changed in between.
    pub records: Vec<LimitRecord>,
}

#[derive(Debug, Clone, Copy)]
struct LimitEntry {
    observation: LimitObservation,
    /// Version of the table at its last change.
    changed: u64,
}

/// The latest limits of targets, as observed by any host.
#[derive(Debug, Default)]
pub struct LimitTable {
    entries: FastMap<TargetKey, LimitEntry>,
    /// Incremented by each change of a limit.
    version: u64,
    progress: DeltaProgress,
}

impl LimitTable {
    /// Applies an observation of a target, and returns the change that it causes.
    pub fn observe(
        &mut self,
        target: TargetKey,
        observation: LimitObservation,
    ) -> Option<LimitChange> {
        match self.entries.get_mut(&target) {
            None if observation.rate.is_none() => return None,
            None => self.make_room(),
            Some(entry) if entry.observation.rate == observation.rate => {
                entry.observation.confirm(&observation);
                return None;
            }
            Some(entry) if !observation.replaces(&entry.observation) => return None,
            Some(_) => {}
        }
        self.version += 1;
        let entry = LimitEntry {
            observation,
            changed: self.version,
        };
        self.entries.insert(target, entry);
        Some(
            observation
                .rate
                .map_or(LimitChange::Ended, LimitChange::Named),
        )
    }

    /// Returns the limit of a target, if it names one.
    pub fn limit(&self, target: TargetKey) -> Option<RateLimit> {
        self.entries.get(&target)?.observation.rate
    }

    /// Returns whether no target has named a limit.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the record of a target's limit for another host.
    pub fn record(&self, target: TargetKey, now: Instant) -> Option<LimitRecord> {
        let observation = self.entries.get(&target)?.observation;
        Some(LimitRecord {
            target,
            rate: observation.rate,
            sent_age: now.saturating_duration_since(observation.sent),
            received_age: now.saturating_duration_since(observation.received),
        })
    }

    /// Returns the delta for the host at an address: all changes since the version that
    /// it has acknowledged, oldest first.
    pub fn delta_for(&self, address: SocketAddr, now: Instant) -> LimitDelta {
        let mut bounds = self.progress.bounds_for(address, self.version);
        let updates = self.entries.iter();
        let updates = updates.filter(|(_, entry)| entry.changed > bounds.from);
        let mut updates = updates.collect::<Vec<_>>();
        updates.sort_unstable_by_key(|(_, entry)| entry.changed);
        if let Some((_, first_left_out)) = updates.get(MAX_DELTA_RECORDS) {
            bounds.to = first_left_out.changed - 1;
        }
        let records = updates.into_iter().take(MAX_DELTA_RECORDS);
        let records = records.filter_map(|(target, _)| self.record(*target, now));
        LimitDelta {
            bounds,
            records: records.collect(),
        }
    }

    /// Applies the delta from an incarnation of the host at an address, and returns the
    /// changes that it causes.
    pub fn apply_delta(
        &mut self,
        address: SocketAddr,
        incarnation: IncarnationId,
        delta: &LimitDelta,
        now: Instant,
    ) -> Vec<(TargetKey, LimitChange)> {
        self.progress
            .observe(address, incarnation, delta.bounds, now);
        let records = delta.records.iter();
        let changes = records.filter_map(|record| {
            let change = self.observe(record.target, record.observation(now))?;
            Some((record.target, change))
        });
        changes.collect()
    }

    /// Removes a start of a target that has ended.
    pub fn forget(&mut self, target: TargetKey) {
        self.entries.remove(&target);
    }

    /// Removes the entry that changed longest ago if the table is full, ended limits
    /// first.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let age = |entry: &LimitEntry| (entry.observation.rate.is_some(), entry.changed);
        let oldest = self.entries.iter().min_by_key(|(_, entry)| age(entry));
        if let Some(target) = oldest.map(|(target, _)| *target) {
            self.entries.remove(&target);
        }
    }
}
