//! The limits that targets have named.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::observation::LimitObservation;
use super::rate::RateLimit;
use crate::collections::FastMap;
use crate::delta_sync::{DeltaBounds, DeltaProgress};
use crate::ids::{IncarnationId, TargetKey};

/// Most targets that are remembered; a record takes some 60 bytes.
const MOST_RECORDS: usize = 4096;
/// Words in one listing at the most: 28 bytes each, four times a second in both
/// directions, 14 KB a second while there is ever more news.
const MOST_WORDS: usize = 64;

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
pub struct LimitWord {
    /// The target.
    pub target: TargetKey,
    /// The limit; `None` if it is over.
    pub rate: Option<RateLimit>,
    /// Time since the request was sent whose answer said so.
    pub sent_age: Duration,
    /// Time since the answer came.
    pub heard_age: Duration,
}

impl LimitWord {
    /// What it says, as of a moment.
    pub fn observation(&self, now: Instant) -> LimitObservation {
        let before = |age: Duration| now.checked_sub(age).unwrap_or(now);
        LimitObservation {
            rate: self.rate,
            sent: before(self.sent_age),
            heard: before(self.heard_age),
        }
    }
}

/// The words that a host has for another one.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LimitListing {
    /// The versions that it covers.
    pub bounds: DeltaBounds,
    /// What changed in between.
    pub words: Vec<LimitWord>,
}

#[derive(Debug, Clone, Copy)]
struct LimitRecord {
    observation: LimitObservation,
    /// Version of the table at its last change.
    changed: u64,
}

/// What targets last said of their limits, to any host.
#[derive(Debug, Default)]
pub struct LimitTable {
    records: FastMap<TargetKey, LimitRecord>,
    /// Grows with each change of a limit.
    version: u64,
    progress: DeltaProgress,
}

impl LimitTable {
    /// Takes in what an answer of a target says; gives what that changes.
    pub fn observe(
        &mut self,
        target: TargetKey,
        observation: LimitObservation,
    ) -> Option<LimitChange> {
        match self.records.get_mut(&target) {
            None if observation.rate.is_none() => return None,
            None => self.make_room(),
            Some(record) if record.observation.rate == observation.rate => {
                record.observation.confirm(&observation);
                return None;
            }
            Some(record) if !observation.replaces(&record.observation) => return None,
            Some(_) => {}
        }
        self.version += 1;
        let record = LimitRecord {
            observation,
            changed: self.version,
        };
        self.records.insert(target, record);
        Some(
            observation
                .rate
                .map_or(LimitChange::Ended, LimitChange::Named),
        )
    }

    /// The limit of a target, if it names one.
    pub fn limit(&self, target: TargetKey) -> Option<RateLimit> {
        self.records.get(&target)?.observation.rate
    }

    /// Whether no target has named a limit.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What is known of a target's limit, as told to another host.
    pub fn word(&self, target: TargetKey, now: Instant) -> Option<LimitWord> {
        let observation = self.records.get(&target)?.observation;
        Some(LimitWord {
            target,
            rate: observation.rate,
            sent_age: now.saturating_duration_since(observation.sent),
            heard_age: now.saturating_duration_since(observation.heard),
        })
    }

    /// What to tell the host at an address: everything that changed since what it said
    /// that it has taken in, oldest changes first.
    pub fn listing_for(&self, address: SocketAddr, now: Instant) -> LimitListing {
        let mut bounds = self.progress.bounds_for(address, self.version);
        let news = self.records.iter();
        let news = news.filter(|(_, record)| record.changed > bounds.from);
        let mut news = news.collect::<Vec<_>>();
        news.sort_unstable_by_key(|(_, record)| record.changed);
        if let Some((_, first_left_out)) = news.get(MOST_WORDS) {
            bounds.to = first_left_out.changed - 1;
        }
        let words = news.into_iter().take(MOST_WORDS);
        let words = words.filter_map(|(target, _)| self.word(*target, now));
        LimitListing {
            bounds,
            words: words.collect(),
        }
    }

    /// Takes in what a start of the host at an address lists; gives what that changes.
    pub fn take_listing(
        &mut self,
        address: SocketAddr,
        incarnation: IncarnationId,
        listing: &LimitListing,
        now: Instant,
    ) -> Vec<(TargetKey, LimitChange)> {
        self.progress
            .observe(address, incarnation, listing.bounds, now);
        let words = listing.words.iter();
        let changes = words.filter_map(|word| {
            let change = self.observe(word.target, word.observation(now))?;
            Some((word.target, change))
        });
        changes.collect()
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: TargetKey) {
        self.records.remove(&target);
    }

    /// Drops the limit that was heard of longest ago, those that are over first.
    fn make_room(&mut self) {
        if self.records.len() < MOST_RECORDS {
            return;
        }
        let age = |record: &LimitRecord| (record.observation.rate.is_some(), record.changed);
        let oldest = self.records.iter().min_by_key(|(_, record)| age(record));
        if let Some(target) = oldest.map(|(target, _)| *target) {
            self.records.remove(&target);
        }
    }
}
