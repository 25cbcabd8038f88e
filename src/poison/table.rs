//! The targets that ended under requests, and the requests that are refused for it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::note::{PoisonEvent, PoisonNote};
use super::spread::PeerProgress;
use super::survivors::RecentSurvivors;
use crate::collections::FastMap;
use crate::ids::{RequestKey, TargetKey};

/// Targets that have to end under a request before it is refused.
///
/// One proves nothing: everything that ran on a lost engine would be refused with
/// it, some 20 to 60 requests each time. Two are what a request meets that is taken
/// up again in a rack that loses its power. A request is tried twice by a host and
/// comes a second time, so that three are met by chance by few; and three is what
/// the operators of the engines bear.
const PROOFS: usize = 3;
/// Different targets that are remembered of a request.
const MOST_ENDS: usize = PROOFS + REFUSALS.len() - 1;
/// How long a request is refused after the last target that ended under it, by how
/// many ended beyond those that prove it.
///
/// Proofs can err: a service that loses all its targets, three times in an hour, takes
/// along a request that all callers send alike. One that was refused for good would
/// never show that nothing is wrong with it. So it is tried again, ever more rarely: a
/// poison request takes down three targets more in the first day, and one a week then.
const REFUSALS: [Duration; 4] = [
    Duration::from_secs(600),
    Duration::from_secs(3600),
    Duration::from_secs(24 * 3600),
    POISON_LAPSE,
];
/// How long it is remembered that a request is poison: software and weights of engines
/// are replaced within weeks.
const POISON_LAPSE: Duration = Duration::from_secs(7 * 24 * 3600);
/// How long targets that ended under a request speak against it: callers come again
/// within seconds, and those that a person sends again within the hour.
const SUSPECT_LAPSE: Duration = Duration::from_secs(3600);
/// How long it is remembered that a request was survived: as long as word of an end
/// before may still be on its way, which takes seconds, or a cut zone's minutes.
const SURVIVED_LAPSE: Duration = Duration::from_secs(600);
/// Most requests that are remembered. An engine takes 192 requests at once, so that
/// all that ran on one fit beside 64 requests that are refused. A record takes some
/// 120 bytes: 31 KB in all, whatever the size of the fleet.
const MOST_RECORDS: usize = 256;
/// A later moment counts as the same one within this time: the age of a note grows
/// by its time on the way, and two hosts would tell each other the same news for ever.
const SAME_MOMENT: Duration = Duration::from_secs(2);

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

/// A target that ended as a request began to run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TargetEnd {
    target: TargetKey,
    at: Instant,
}

/// What is known of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct PoisonRecord {
    /// Different targets, the last ones to end.
    ends: Vec<TargetEnd>,
    /// When a target last ran it and lived on.
    survived: Option<Instant>,
    /// Version of the table at its last change.
    pub(super) changed: u64,
    /// Targets that the platform's log names; none if it does not say that the request
    /// is poison.
    in_log: usize,
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
    pub(super) peers: FastMap<SocketAddr, PeerProgress>,
    survivors: RecentSurvivors,
}

/// What the platform's log has to say of a request, and does not yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogChange {
    /// The request.
    pub request: RequestKey,
    /// The targets that ended under it; empty if the log has to forget it.
    pub ends: Vec<PoisonNote>,
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
        self.note(request, PoisonEvent::Ended(target), now, now);
        let record = self.records.get(&request);
        match record.map_or(0, |record| record.ends.len()) {
            PROOFS.. => PoisonVerdict::Poison,
            ends => PoisonVerdict::Suspect(ends),
        }
    }

    /// A target ran a request and lives on. Says whether anything spoke against it.
    pub fn observe_survival(&mut self, request: RequestKey, now: Instant) -> bool {
        self.survivors.insert(request, now);
        let record = self.records.get(&request);
        let suspected = record.is_some_and(|record| !record.ends.is_empty());
        if suspected {
            self.note(request, PoisonEvent::Survived, now, now);
        }
        suspected
    }

    /// Takes in what others saw; gives the requests that are refused from now on.
    pub fn merge(&mut self, notes: &[PoisonNote], now: Instant) -> Vec<RequestKey> {
        let mut refused = Vec::new();
        for note in notes {
            let before = self.is_poison(note.request, now);
            let at = now.checked_sub(note.age).unwrap_or(now);
            self.note(note.request, note.event, at, now);
            if !before && self.is_poison(note.request, now) {
                refused.push(note.request);
            }
        }
        refused
    }

    fn note(&mut self, request: RequestKey, event: PoisonEvent, at: Instant, now: Instant) {
        if !self.records.contains_key(&request) {
            self.make_room(now);
        }
        let record = self.records.entry(request).or_default();
        let changed = match event {
            PoisonEvent::Ended(target) => record.note_end(TargetEnd { target, at }),
            PoisonEvent::Survived => record.note_survival(at),
        };
        if changed {
            self.version += 1;
            record.changed = self.version;
        }
    }

    /// Drops what has lapsed, and what says least if that is not enough: a flood of
    /// requests that ran on one lost engine must not push out those that are refused.
    fn make_room(&mut self, now: Instant) {
        if self.records.len() < MOST_RECORDS {
            return;
        }
        // What the log still says has to be taken back there first.
        self.records
            .retain(|_, record| record.in_log > 0 || !record.has_lapsed(now));
        if self.records.len() < MOST_RECORDS {
            return;
        }
        let weight = |record: &PoisonRecord| (record.ends.len(), record.changed);
        let least = self.records.iter().min_by_key(|(_, record)| weight(record));
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
        let behind = records.filter(|(_, record)| record.wanted_in_log(now) != record.in_log);
        let changes = behind.map(|(request, record)| LogChange {
            request: *request,
            ends: match record.wanted_in_log(now) {
                0 => Vec::new(),
                _ => record.end_notes(*request, now).collect(),
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

impl PoisonRecord {
    fn last(&self) -> Option<Instant> {
        let ends = self.ends.iter().map(|end| end.at);
        ends.chain(self.survived).max()
    }

    fn is_poison(&self, now: Instant) -> bool {
        let beyond = self.ends.len().checked_sub(PROOFS);
        let refused_for = beyond.and_then(|beyond| REFUSALS.get(beyond));
        let last = self.ends.iter().map(|end| end.at).max();
        let until = refused_for.zip(last);
        until.is_some_and(|(refused_for, last)| now < last + *refused_for)
    }

    /// Targets that the platform's log has to name.
    fn wanted_in_log(&self, now: Instant) -> usize {
        match self.ends.len() {
            ends @ PROOFS.. if !self.has_lapsed(now) => ends,
            _ => 0,
        }
    }

    fn has_lapsed(&self, now: Instant) -> bool {
        let lapse = match self.ends.len() {
            0 => SURVIVED_LAPSE,
            PROOFS.. => POISON_LAPSE,
            _ => SUSPECT_LAPSE,
        };
        self.last().is_none_or(|last| now >= last + lapse)
    }

    fn note_end(&mut self, end: TargetEnd) -> bool {
        if self.survived.is_some_and(|survived| end.at <= survived) {
            return false;
        }
        let same = self
            .ends
            .iter()
            .position(|known| known.target == end.target);
        let place = match same {
            None if self.ends.len() < MOST_ENDS => {
                self.ends.push(end);
                return true;
            }
            None => self.oldest_end(),
            same => same,
        };
        let known = place.and_then(|place| self.ends.get_mut(place));
        match known {
            Some(known) if end.at > known.at + SAME_MOMENT => {
                *known = end;
                true
            }
            _ => false,
        }
    }

    fn oldest_end(&self) -> Option<usize> {
        let ends = self.ends.iter().enumerate();
        let oldest = ends.min_by_key(|(_, end)| end.at);
        oldest.map(|(place, _)| place)
    }

    fn note_survival(&mut self, at: Instant) -> bool {
        if self.survived.is_some_and(|known| at <= known + SAME_MOMENT) {
            return false;
        }
        self.survived = Some(at);
        self.ends.retain(|end| end.at > at);
        true
    }

    /// All that there is to tell of the request.
    pub(super) fn notes(&self, request: RequestKey, now: Instant) -> Vec<PoisonNote> {
        let survived = self.survived.map(|at| PoisonNote {
            request,
            event: PoisonEvent::Survived,
            age: now.saturating_duration_since(at),
        });
        self.end_notes(request, now).chain(survived).collect()
    }

    fn end_notes(
        &self,
        request: RequestKey,
        now: Instant,
    ) -> impl Iterator<Item = PoisonNote> + use<'_> {
        self.ends.iter().map(move |end| PoisonNote {
            request,
            event: PoisonEvent::Ended(end.target),
            age: now.saturating_duration_since(end.at),
        })
    }
}
