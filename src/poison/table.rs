//! The targets that ended under requests, and the requests that are refused for it.

use std::time::Instant;

use super::evidence::{PoisonEvent, PoisonEvidence};
use super::record::{ENDS_TO_REFUSE, PoisonRecord, TargetEnd};
use super::survivors::RecentSurvivors;
use crate::collections::FastMap;
use crate::delta_sync::DeltaProgress;
use crate::ids::{RequestKey, TargetKey};

/// Most requests that are remembered. An engine takes 192 requests at once, so that
/// all that ran on one fit beside 64 requests that are refused. A record takes some
/// 120 bytes: 31 KB in all, whatever the size of the fleet.
const MAX_RECORDS: usize = 256;
/// What a table knows of a request that a target ended under.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// A target ran it a moment ago and lives on: nothing speaks against it.
    Survived,
    /// So many different targets have ended under it.
    Suspect(usize),
    /// It is refused from now on.
    Poison,
}

impl PoisonVerdict {
    /// The name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Survived => "survived",
            Self::Suspect(_) => "suspect",
            Self::Poison => "poison",
        }
    }
}

/// What is known of requests that targets ended under.
///
/// A record is a set of targets, and a moment before which nothing counts. Hosts
/// that take in each other's notes, in any order and more than once, come to the
/// same record, without a word on who is right.
#[derive(Debug, Default)]
pub struct PoisonTable {
    pub(super) records: FastMap<RequestKey, PoisonRecord>,
    /// Grows with each change of a record.
    pub(super) version: u64,
    pub(super) progress: DeltaProgress,
    survivors: RecentSurvivors,
}

/// What the platform's log has to say of a request, and does not yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogChange {
    /// The request.
    pub request: RequestKey,
    /// The targets that ended under it; empty if the log has to forget it.
    pub ends: Vec<PoisonEvidence>,
}

impl PoisonTable {
    /// Whether a request is refused. Asked before every attempt.
    pub fn is_poison(&self, request: RequestKey, now: Instant) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(|record| record.is_poison(now))
    }

    /// The process of a target ended as a request began to run there.
    pub fn observe_end(
        &mut self,
        request: RequestKey,
        target: TargetKey,
        now: Instant,
    ) -> PoisonVerdict {
        if self.survivors.contains(request, now) {
            return PoisonVerdict::Survived;
        }
        self.observe(request, PoisonEvent::Ended(target), now, now);
        let record = self.records.get(&request);
        match record.map_or(0, |record| record.ends.len()) {
            ENDS_TO_REFUSE.. => PoisonVerdict::Poison,
            ends => PoisonVerdict::Suspect(ends),
        }
    }

    /// A target ran a request and lives on. Says whether anything spoke against it.
    pub fn observe_survival(&mut self, request: RequestKey, now: Instant) -> bool {
        self.survivors.insert(request, now);
        let record = self.records.get(&request);
        let suspected = record.is_some_and(|record| !record.ends.is_empty());
        if suspected {
            self.observe(request, PoisonEvent::Survived, now, now);
        }
        suspected
    }

    /// Takes in what others saw; gives the requests that are refused from now on.
    pub fn merge(&mut self, evidence: &[PoisonEvidence], now: Instant) -> Vec<RequestKey> {
        let mut refused = Vec::new();
        for item in evidence {
            let before = self.is_poison(item.request, now);
            let at = now.checked_sub(item.age).unwrap_or(now);
            self.observe(item.request, item.event, at, now);
            if !before && self.is_poison(item.request, now) {
                refused.push(item.request);
            }
        }
        refused
    }

    fn observe(&mut self, request: RequestKey, event: PoisonEvent, at: Instant, now: Instant) {
        if !self.records.contains_key(&request) {
            self.make_room(now);
        }
        let record = self.records.entry(request).or_default();
        let changed = match event {
            PoisonEvent::Ended(target) => record.observe_end(TargetEnd { target, at }),
            PoisonEvent::Survived => record.observe_survival(at),
        };
        if changed {
            self.version += 1;
            record.changed = self.version;
        }
    }

    /// Drops what has lapsed, and what says least if that is not enough: a flood of
    /// requests that ran on one lost engine must not push out those that are refused.
    fn make_room(&mut self, now: Instant) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        // What the log still says has to be taken back there first.
        self.records
            .retain(|_, record| record.in_log > 0 || !record.has_expired(now));
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let priority = |record: &PoisonRecord| (record.ends.len(), record.changed);
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| priority(record));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }

    /// How many targets the platform's log names that ended under a request.
    pub fn set_in_log(&mut self, request: RequestKey, in_log: usize) {
        if let Some(record) = self.records.get_mut(&request) {
            record.in_log = in_log;
        }
    }

    /// What the platform's log has to be told.
    pub fn log_changes(&self, now: Instant) -> Vec<LogChange> {
        let records = self.records.iter();
        let behind = records.filter(|(_, record)| record.required_in_log(now) != record.in_log);
        let changes = behind.map(|(request, record)| LogChange {
            request: *request,
            ends: match record.required_in_log(now) {
                0 => Vec::new(),
                _ => record.end_evidence(*request, now).collect(),
            },
        });
        changes.collect()
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing speaks against any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
