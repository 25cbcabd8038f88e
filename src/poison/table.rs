//! The table of targets that ended under requests, which decides what is refused.

use std::time::Instant;

use super::evidence::{PoisonEvent, PoisonEvidence};
use super::record::{ENDS_TO_REFUSE, PoisonRecord, TargetEnd};
use super::survivors::RecentSurvivors;
use crate::collections::FastMap;
use crate::delta_sync::DeltaProgress;
use crate::ids::{RequestKey, TargetKey};

/// Maximum number of remembered requests. An engine takes 192 requests at once, so that all
/// that ran on one fit beside 64 refused requests. A record takes about 120 bytes, 31 KB in
/// all, whatever the size of the fleet.
const MAX_RECORDS: usize = 256;

/// The conclusion on a request after a target ended under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// A target survived the request recently, which clears it.
    Survived,
    /// This number of different targets has ended under it.
    Suspect(usize),
    /// The request is refused from now on.
    Poison,
}

impl PoisonVerdict {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Survived => "survived",
            Self::Suspect(_) => "suspect",
            Self::Poison => "poison",
        }
    }
}

/// The evidence on requests that targets ended under.
///
/// A record is a set of targets and a moment before which no evidence counts. Hosts that
/// merge each other's evidence, in any order and more than once, arrive at the same record
/// without further coordination.
#[derive(Debug, Default)]
pub struct PoisonTable {
    pub(super) records: FastMap<RequestKey, PoisonRecord>,
    /// Incremented with each change of a record.
    pub(super) version: u64,
    pub(super) progress: DeltaProgress,
    survivors: RecentSurvivors,
}

/// A change that the platform's log lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogChange {
    /// The request.
    pub request: RequestKey,
    /// The targets that ended under it; empty if the log has to drop the request.
    pub ends: Vec<PoisonEvidence>,
}

impl PoisonTable {
    /// Returns whether a request is refused. Called before every attempt.
    pub fn is_poison(&self, request: RequestKey, now: Instant) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(|record| record.is_poison(now))
    }

    /// Records that the process of a target ended as a request began to run there.
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

    /// Records that a target survived a request; returns whether there was evidence against
    /// it.
    pub fn observe_survival(&mut self, request: RequestKey, now: Instant) -> bool {
        self.survivors.insert(request, now);
        let record = self.records.get(&request);
        let suspected = record.is_some_and(|record| !record.ends.is_empty());
        if suspected {
            self.observe(request, PoisonEvent::Survived, now, now);
        }
        suspected
    }

    /// Merges evidence from other hosts or the log and returns the requests that are
    /// refused from now on.
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

    /// Removes expired records and, if that is not enough, the one with the least evidence:
    /// a flood of requests that ran on one lost engine must not evict those that are
    /// refused.
    fn make_room(&mut self, now: Instant) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        // A record that the log still lists has to be removed from the log first.
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

    /// Sets the number of targets that the platform's log names for a request.
    pub fn set_in_log(&mut self, request: RequestKey, in_log: usize) {
        if let Some(record) = self.records.get_mut(&request) {
            record.in_log = in_log;
        }
    }

    /// Returns the changes that have to be written to the platform's log, in the order of
    /// the keys of their requests.
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
        let mut changes = changes.collect::<Vec<_>>();
        changes.sort_unstable_by_key(|change| change.request);
        changes
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no evidence on any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
