//! The table of targets that ended under requests, which decides what is refused.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use super::end_source::short_target;
use super::evidence::{PoisonEvent, PoisonEvidence};
use super::key::is_part;
use super::recent_ends::RecentEnds;
use super::record::{ENDS_TO_REFUSE, PoisonRecord, TargetEnd};
use super::survivors::RecentSurvivors;
use super::suspect_index::SuspectIndex;
use crate::collections::{FastMap, FastSet};
use crate::delta_sync::DeltaProgress;
use crate::ids::{RequestKey, SuspectKey, TargetKey};

/// Maximum number of remembered requests, and of remembered parts. An engine takes 192
/// requests at once, so that all that ran on one fit beside 64 refused requests. A record
/// takes 64 bytes and 24 for each end, at most 131 KB in all, whatever the size of the fleet.
const MAX_RECORDS: usize = 256;
/// Maximum number of parts of which more ends are remembered than of others, 3 KB in all.
pub(super) const MAX_LONG_RECORDS: usize = 8;
/// Time for which a survived request is not suspected. Requests that many callers send
/// alike, for a status or a price list, come several times a second.
const RECENT_TIME: Duration = Duration::from_secs(10);

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

/// The evidence on requests and parts of prompts that targets ended under.
///
/// A record is a set of targets and a moment before which no evidence counts. Hosts that
/// merge each other's evidence, in any order and more than once, arrive at the same record
/// without further coordination.
#[derive(Debug, Default)]
pub struct PoisonTable {
    pub(super) records: FastMap<SuspectKey, PoisonRecord>,
    /// Incremented with each change of a record.
    pub(super) version: u64,
    pub(super) progress: DeltaProgress,
    pub(super) survivors: RecentSurvivors,
    pub(super) recent: RecentEnds,
    /// When this host first observed the survival of a part, or heard of one.
    pub(super) first_survival: Option<Instant>,
    /// Built when a decision first needs it after a record of a part has changed.
    pub(super) index: OnceLock<SuspectIndex>,
}

/// A change that the platform's log lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogChange {
    /// The request or part.
    pub suspect: SuspectKey,
    /// The ends under it; empty if the log has to drop it.
    pub ends: Vec<PoisonEvidence>,
}

impl PoisonTable {
    /// Returns whether a request is refused. Called before every attempt.
    pub fn is_poison(&self, request: RequestKey, now: Instant) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(|record| record.is_poison(now))
    }

    /// Returns whether requests are refused for a request's or part's evidence.
    fn is_refused(&self, suspect: SuspectKey, now: Instant) -> bool {
        let record = self.records.get(&suspect);
        record.is_some_and(|record| match is_part(suspect) {
            true => record.is_poison_part(self.part_context(), now),
            false => record.is_poison(now),
        })
    }

    /// Records that the process of a target ended as a request began to run there.
    pub fn observe_end(
        &mut self,
        request: RequestKey,
        target: TargetKey,
        now: Instant,
    ) -> PoisonVerdict {
        let survived = self.survivors.last(request);
        if survived.is_some_and(|at| now < at + RECENT_TIME) {
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

    /// Merges evidence from other hosts or the log and returns the requests and parts
    /// that are refused from now on.
    pub fn merge(&mut self, evidence: &[PoisonEvidence], now: Instant) -> Vec<SuspectKey> {
        let at = |item: &PoisonEvidence| now.checked_sub(item.age).unwrap_or(now);
        let mut refused_before = FastMap::default();
        for item in evidence {
            let record = self.records.get(&item.suspect);
            let is_known = record.is_some_and(|record| record.lists(item.event, at(item)));
            if !is_known && !refused_before.contains_key(&item.suspect) {
                let refused = self.is_refused(item.suspect, now);
                refused_before.insert(item.suspect, refused);
            }
        }
        let mut changed = Vec::new();
        let mut listed = FastSet::default();
        for item in evidence {
            let has_changed = self.observe(item.suspect, item.event, at(item), now);
            if has_changed && listed.insert(item.suspect) {
                changed.push(item.suspect);
            }
        }
        changed.retain(|suspect| {
            refused_before.get(suspect) != Some(&true) && self.is_refused(*suspect, now)
        });
        changed
    }

    /// Adds an observation; returns whether the record of the request or part has changed.
    pub(super) fn observe(
        &mut self,
        suspect: SuspectKey,
        event: PoisonEvent,
        at: Instant,
        now: Instant,
    ) -> bool {
        if !self.records.contains_key(&suspect) {
            self.make_room(is_part(suspect), now);
        }
        let known_survival = match event {
            PoisonEvent::Ended(_) if is_part(suspect) => self.survivors.last(suspect),
            _ => None,
        };
        if event == PoisonEvent::Survived && is_part(suspect) {
            self.first_survival.get_or_insert(now);
        }
        if let PoisonEvent::Ended(source) = event {
            self.recent.observe(short_target(source), at);
        }
        let may_grow = self.may_grow(suspect);
        let record = self.records.entry(suspect).or_default();
        let survival_changed = known_survival.is_some_and(|at| record.observe_survival(at));
        let changed = match event {
            PoisonEvent::Ended(source) => {
                record.observe_end(suspect, TargetEnd { source, at }, may_grow)
            }
            PoisonEvent::Survived => record.observe_survival(at),
        };
        if changed || survival_changed {
            self.version += 1;
            record.changed = self.version;
            if is_part(suspect) {
                self.index.take();
            }
        }
        changed || survival_changed
    }

    /// Returns whether the record of a part may hold more ends than most.
    fn may_grow(&self, suspect: SuspectKey) -> bool {
        match self.records.get(&suspect) {
            Some(record) if record.is_long() => true,
            Some(record) if record.is_full() => {
                let long = self.records.values().filter(|record| record.is_long());
                long.count() < MAX_LONG_RECORDS
            }
            _ => false,
        }
    }

    /// Removes expired records and, if that is not enough, the one with the least evidence:
    /// a flood of requests that ran on one lost engine must not evict those that are
    /// refused.
    fn make_room(&mut self, of_parts: bool, now: Instant) {
        let is_of_kind = |suspect: SuspectKey| is_part(suspect) == of_parts;
        let count = |records: &FastMap<SuspectKey, PoisonRecord>| {
            let kept = records.keys().filter(|suspect| is_of_kind(**suspect));
            kept.count()
        };
        if self.records.len() < MAX_RECORDS || count(&self.records) < MAX_RECORDS {
            return;
        }
        self.index.take();
        // A record that the log still lists has to be removed from the log first.
        self.records
            .retain(|_, record| record.in_log > 0 || !record.has_expired(now));
        if count(&self.records) < MAX_RECORDS {
            return;
        }
        let priority = |record: &PoisonRecord| (record.ends.len(), record.changed);
        let of_kind = self.records.iter().filter(|(key, _)| is_of_kind(**key));
        let least = of_kind.min_by_key(|(_, record)| priority(record));
        if let Some(suspect) = least.map(|(suspect, _)| *suspect) {
            self.records.remove(&suspect);
        }
    }

    /// Sets the number of targets that the platform's log names for a request or part.
    pub fn set_in_log(&mut self, suspect: SuspectKey, in_log: usize) {
        if let Some(record) = self.records.get_mut(&suspect) {
            record.in_log = in_log;
        }
    }

    /// Records that the platform's log was restored from an older copy, so that it may lack
    /// any of the records.
    pub fn observe_log_restore(&mut self) {
        for record in self.records.values_mut() {
            record.in_log = 0;
        }
    }

    /// Returns the changes that have to be written to the platform's log, in the order of
    /// the keys.
    pub fn log_changes(&self, now: Instant) -> Vec<LogChange> {
        let records = self.records.iter();
        let required = records.map(|(suspect, record)| {
            let required = match is_part(*suspect) {
                true => record.required_part_in_log(self.part_context(), now),
                false => record.required_in_log(now),
            };
            (suspect, record, required)
        });
        let behind = required.filter(|(_, record, required)| *required != record.in_log);
        let changes = behind.map(|(suspect, record, required)| LogChange {
            suspect: *suspect,
            ends: match required {
                0 => Vec::new(),
                _ => record.newest_end_evidence(*suspect, required, now),
            },
        });
        let mut changes = changes.collect::<Vec<_>>();
        changes.sort_unstable_by_key(|change| change.suspect);
        changes
    }

    /// Returns the number of remembered requests and parts.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
