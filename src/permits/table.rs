//! The limits that targets have named.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::observation::LimitObservation;
use super::rate::RateLimit;
use crate::collections::FastMap;
use crate::ids::{IncarnationId, TargetKey};
use crate::spread::{ListingBounds, SpreadProgress};

/// Most targets that are remembered; a record takes some 60 bytes.
const MAX_ENTRIES: usize = 4096;
/// Words in one listing at the most: 28 bytes each, four times a second in both
/// directions, 14 KB a second while there is ever more news.
const MAX_DELTA_RECORDS: usize = 64;

/// What an answer changed of what is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The target names a limit, or another one than before.
    Named(RateLimit),
    /// The target no longer names a limit.
    Ended,
}

/// What a host has heard of a target's limit, as it tells others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitRecord {
    /// The target.
    pub target: TargetKey,
    /// The limit; `None` if it is over.
    pub rate: Option<RateLimit>,
    /// Time since the request was sent whose answer said so.
    pub sent_age: Duration,
    /// Time since the answer came.
    pub received_age: Duration,
}

impl LimitRecord {
    /// What it says, as of a moment.
    pub fn observation(&self, now: Instant) -> LimitObservation {
        let before = |age: Duration| now.checked_sub(age).unwrap_or(now);
        LimitObservation {
            rate: self.rate,
            sent: before(self.sent_age),
            received: before(self.received_age),
        }
    }
}

/// The words that a host has for another one.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LimitDelta {
    /// The versions that it covers.
    pub bounds: ListingBounds,
    /// What changed in between.
    pub records: Vec<LimitRecord>,
}

#[derive(Debug, Clone, Copy)]
struct LimitEntry {
    observation: LimitObservation,
    /// Version of the table at its last change.
    changed: u64,
}

/// What targets last said of their limits, to any host.
#[derive(Debug, Default)]
pub struct LimitTable {
    entries: FastMap<TargetKey, LimitEntry>,
    /// Grows with each change of a limit.
    version: u64,
    progress: SpreadProgress,
}

impl LimitTable {
    /// Takes in what an answer of a target says; gives what that changes.
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

    /// The limit of a target, if it names one.
    pub fn limit(&self, target: TargetKey) -> Option<RateLimit> {
        self.entries.get(&target)?.observation.rate
    }

    /// Whether no target has named a limit.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a target's limit, as told to another host.
    pub fn record(&self, target: TargetKey, now: Instant) -> Option<LimitRecord> {
        let observation = self.entries.get(&target)?.observation;
        Some(LimitRecord {
            target,
            rate: observation.rate,
            sent_age: now.saturating_duration_since(observation.sent),
            received_age: now.saturating_duration_since(observation.received),
        })
    }

    /// What to tell the host at an address: everything that changed since what it said
    /// that it has taken in, oldest changes first.
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

    /// Takes in what a start of the host at an address lists; gives what that changes.
    pub fn apply_delta(
        &mut self,
        address: SocketAddr,
        incarnation: IncarnationId,
        listing: &LimitDelta,
        now: Instant,
    ) -> Vec<(TargetKey, LimitChange)> {
        self.progress
            .observe(address, incarnation, listing.bounds, now);
        let records = listing.records.iter();
        let changes = records.filter_map(|record| {
            let change = self.observe(record.target, record.observation(now))?;
            Some((record.target, change))
        });
        changes.collect()
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: TargetKey) {
        self.entries.remove(&target);
    }

    /// Drops the limit that was heard of longest ago, those that are over first.
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
