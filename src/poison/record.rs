//! The evidence on one request, or on one part of prompts.

use std::time::{Duration, Instant};

use super::end_source::short_target;
use super::evidence::{PoisonEvent, PoisonEvidence};
use super::key::is_part;
use crate::ids::SuspectKey;

/// Number of different targets that must end under a request before it is refused.
///
/// One would refuse everything that ran on a lost engine, 20 to 60 requests each time. Two
/// are reached by a request that is retried within a rack that loses power. A host tries a
/// request twice and the caller sends it a second time, so three are rarely reached by
/// chance, and the operators of the engines accept the loss of three.
pub(super) const ENDS_TO_REFUSE: usize = 3;
/// Maximum number of different targets that are remembered for a request.
const MAX_ENDS: usize = ENDS_TO_REFUSE + REFUSAL_TIMES.len() - 1;
/// Maximum number of ends that are remembered for a part, and of one target among them: many
/// requests on a target may have the same part.
pub(super) const MAX_PART_ENDS: usize = 8;
const MAX_PART_ENDS_OF_TARGET: usize = 2;
/// Maximum number of ends of a part that no target survived. Eight may be of four targets,
/// less than a third of those that two poison parts can end before they are told apart. Only
/// [`MAX_LONG_RECORDS`](super::table::MAX_LONG_RECORDS) parts have more than the others.
const MAX_SUSPECTED_PART_ENDS: usize = 24;
/// Time for which a request is refused after the last target that ended under it, indexed
/// by the number of targets beyond [`ENDS_TO_REFUSE`]. For a part, indexed by the number of
/// further tries that ended a target.
///
/// The evidence can be wrong: a service that loses all its targets three times in an hour
/// makes a request that all callers send alike look like poison, and a request that is
/// refused forever can never be cleared. It is therefore tried again at growing
/// intervals: a poison request takes down three more targets on the first day and one a
/// week after that.
pub(super) const REFUSAL_TIMES: [Duration; 4] = [
    Duration::from_secs(600),
    Duration::from_secs(3600),
    Duration::from_secs(24 * 3600),
    POISON_EXPIRY,
];
/// Time after which a poison request is forgotten: the software and weights of engines are
/// replaced within weeks.
const POISON_EXPIRY: Duration = Duration::from_secs(7 * 24 * 3600);
/// Time for which targets that ended under a request count as evidence: callers retry
/// within seconds, and users resend within the hour.
const SUSPECT_EXPIRY: Duration = Duration::from_secs(3600);
/// Time for which a survival is remembered. Evidence of an earlier end can still arrive,
/// usually within seconds and from a partitioned zone within minutes.
const SURVIVED_EXPIRY: Duration = Duration::from_secs(600);
/// Time within which a later moment counts as equal. The age of evidence grows by its time
/// in transit, and without a tolerance two hosts would send each other the same evidence
/// forever.
const TIME_TOLERANCE: Duration = Duration::from_secs(2);

/// A target that ended as a request began to run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TargetEnd {
    /// The target's key for a request, an [`EndSource`](super::EndSource) for a part.
    pub(super) source: u64,
    pub(super) at: Instant,
}

/// The evidence on one request, or on one part of prompts.
#[derive(Debug, Clone, Default)]
pub(super) struct PoisonRecord {
    /// The most recent ends: one per target for a request, one per source for a part.
    pub(super) ends: Vec<TargetEnd>,
    /// When a target that survived the request or part last began to run it.
    pub(super) survived: Option<Instant>,
    /// Version of the table at the last change of this record.
    pub(super) changed: u64,
    /// Number of targets that the platform's log names; 0 if the log does not list the
    /// request as poison.
    pub(super) in_log: usize,
}

impl PoisonRecord {
    fn last(&self) -> Option<Instant> {
        let ends = self.ends.iter().map(|end| end.at);
        ends.chain(self.survived).max()
    }

    pub(super) fn is_poison(&self, now: Instant) -> bool {
        let beyond = self.ends.len().checked_sub(ENDS_TO_REFUSE);
        let refused_for = beyond.and_then(|beyond| REFUSAL_TIMES.get(beyond));
        let last = self.ends.iter().map(|end| end.at).max();
        let until = refused_for.zip(last);
        until.is_some_and(|(refused_for, last)| now < last + *refused_for)
    }

    /// Returns the number of targets that the platform's log has to name.
    pub(super) fn required_in_log(&self, now: Instant) -> usize {
        match self.ends.len() {
            ends @ ENDS_TO_REFUSE.. if !self.has_expired(now) => ends,
            _ => 0,
        }
    }

    pub(super) fn has_expired(&self, now: Instant) -> bool {
        let expiry = match self.ends.len() {
            0 => SURVIVED_EXPIRY,
            ENDS_TO_REFUSE.. => POISON_EXPIRY,
            _ if self.in_log > 0 => POISON_EXPIRY,
            _ => SUSPECT_EXPIRY,
        };
        self.last().is_none_or(|last| now >= last + expiry)
    }

    /// Returns whether the record holds as many ends as most parts may have.
    pub(super) fn is_full(&self) -> bool {
        self.ends.len() >= MAX_PART_ENDS
    }

    /// Returns whether the record holds more ends than that.
    pub(super) fn is_long(&self) -> bool {
        self.ends.len() > MAX_PART_ENDS
    }

    /// Adds an end; returns whether the record has changed. `may_grow` states whether a part
    /// that no target survived may have more ends than others.
    pub(super) fn observe_end(
        &mut self,
        suspect: SuspectKey,
        end: TargetEnd,
        may_grow: bool,
    ) -> bool {
        if self.survived.is_some_and(|survived| end.at <= survived) {
            return false;
        }
        let max_ends = match is_part(suspect) {
            true if may_grow && self.survived.is_none() => MAX_SUSPECTED_PART_ENDS,
            true => MAX_PART_ENDS,
            false => MAX_ENDS,
        };
        if is_part(suspect) && self.has_enough_ends_of(end.source) {
            return false;
        }
        let same = self
            .ends
            .iter()
            .position(|known| known.source == end.source);
        let index = match same {
            None if self.ends.len() < max_ends => {
                self.ends.push(end);
                return true;
            }
            None => self.oldest_end(),
            same => same,
        };
        let known = index.and_then(|index| self.ends.get_mut(index));
        match known {
            Some(known) if end.at > known.at + TIME_TOLERANCE => {
                *known = end;
                true
            }
            _ => false,
        }
    }

    /// Returns whether the record lists an observation, so that it changes nothing.
    pub(super) fn lists(&self, event: PoisonEvent, at: Instant) -> bool {
        let limit = at.checked_sub(TIME_TOLERANCE).unwrap_or(at);
        match event {
            PoisonEvent::Ended(source) => {
                let mut ends = self.ends.iter();
                ends.any(|end| end.source == source && end.at >= limit)
            }
            PoisonEvent::Survived => false,
        }
    }

    /// Returns whether no further end of the same target under a part is remembered.
    fn has_enough_ends_of(&self, source: u64) -> bool {
        let target = short_target(source);
        let same = self.ends.iter();
        let same = same.filter(|end| short_target(end.source) == target);
        same.clone().count() >= MAX_PART_ENDS_OF_TARGET
            && !same.into_iter().any(|end| end.source == source)
    }

    /// Returns what the ends are identified by, in a fixed order.
    pub(super) fn sorted_sources(&self) -> Vec<u64> {
        let mut sources = self.ends.iter().map(|end| end.source).collect::<Vec<_>>();
        sources.sort_unstable();
        sources
    }

    fn oldest_end(&self) -> Option<usize> {
        let ends = self.ends.iter().enumerate();
        let oldest = ends.min_by_key(|(_, end)| end.at);
        oldest.map(|(index, _)| index)
    }

    pub(super) fn observe_survival(&mut self, at: Instant) -> bool {
        let is_known = self
            .survived
            .is_some_and(|known| at <= known + TIME_TOLERANCE);
        if is_known && self.ends.iter().all(|end| end.at > at) {
            return false;
        }
        self.survived = Some(at);
        self.ends.retain(|end| end.at > at);
        true
    }

    /// Returns all evidence.
    pub(super) fn evidence(&self, suspect: SuspectKey, now: Instant) -> Vec<PoisonEvidence> {
        let survived = self.survived.map(|at| PoisonEvidence {
            suspect,
            event: PoisonEvent::Survived,
            age: now.saturating_duration_since(at),
        });
        self.end_evidence(suspect, now).chain(survived).collect()
    }

    /// Returns the evidence of the newest ends, at most `count`.
    pub(super) fn newest_end_evidence(
        &self,
        suspect: SuspectKey,
        count: usize,
        now: Instant,
    ) -> Vec<PoisonEvidence> {
        let mut evidence = self.end_evidence(suspect, now).collect::<Vec<_>>();
        evidence.sort_by_key(|item| item.age);
        evidence.truncate(count);
        evidence
    }

    fn end_evidence(
        &self,
        suspect: SuspectKey,
        now: Instant,
    ) -> impl Iterator<Item = PoisonEvidence> + use<'_> {
        self.ends.iter().map(move |end| PoisonEvidence {
            suspect,
            event: PoisonEvent::Ended(end.source),
            age: now.saturating_duration_since(end.at),
        })
    }
}
