//! What is known of one request.

use std::time::{Duration, Instant};

use super::evidence::{PoisonEvent, PoisonEvidence};
use crate::ids::{RequestKey, TargetKey};

/// Targets that have to end under a request before it is refused.
///
/// One proves nothing: everything that ran on a lost engine would be refused with
/// it, some 20 to 60 requests each time. Two are what a request meets that is taken
/// up again in a rack that loses its power. A request is tried twice by a host and
/// comes a second time, so that three are met by chance by few; and three is what
/// the operators of the engines bear.
pub(super) const ENDS_TO_REFUSE: usize = 3;
/// Different targets that are remembered of a request.
const MAX_ENDS: usize = ENDS_TO_REFUSE + REFUSAL_TIMES.len() - 1;
/// How long a request is refused after the last target that ended under it, by how
/// many ended beyond those that prove it.
///
/// Proofs can err: a service that loses all its targets, three times in an hour, takes
/// along a request that all callers send alike. One that was refused for good would
/// never show that nothing is wrong with it. So it is tried again, ever more rarely: a
/// poison request takes down three targets more in the first day, and one a week then.
const REFUSAL_TIMES: [Duration; 4] = [
    Duration::from_secs(600),
    Duration::from_secs(3600),
    Duration::from_secs(24 * 3600),
    POISON_EXPIRY,
];
/// How long it is remembered that a request is poison: software and weights of engines
/// are replaced within weeks.
const POISON_EXPIRY: Duration = Duration::from_secs(7 * 24 * 3600);
/// How long targets that ended under a request speak against it: callers come again
/// within seconds, and those that a person sends again within the hour.
const SUSPECT_EXPIRY: Duration = Duration::from_secs(3600);
/// How long it is remembered that a request was survived: as long as word of an end
/// before may still be on its way, which takes seconds, or a cut zone's minutes.
const SURVIVED_EXPIRY: Duration = Duration::from_secs(600);
/// A later moment counts as the same one within this time: the age of a note grows
/// by its time on the way, and two hosts would tell each other the same news for ever.
const TIME_TOLERANCE: Duration = Duration::from_secs(2);

/// A target that ended as a request began to run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TargetEnd {
    pub(super) target: TargetKey,
    pub(super) at: Instant,
}

/// What is known of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct PoisonRecord {
    /// Different targets, the last ones to end.
    pub(super) ends: Vec<TargetEnd>,
    /// When a target last ran it and lived on.
    survived: Option<Instant>,
    /// Version of the table at its last change.
    pub(super) changed: u64,
    /// Targets that the platform's log names; none if it does not say that the request
    /// is poison.
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

    /// Targets that the platform's log has to name.
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
            _ => SUSPECT_EXPIRY,
        };
        self.last().is_none_or(|last| now >= last + expiry)
    }

    pub(super) fn observe_end(&mut self, end: TargetEnd) -> bool {
        if self.survived.is_some_and(|survived| end.at <= survived) {
            return false;
        }
        let same = self
            .ends
            .iter()
            .position(|known| known.target == end.target);
        let index = match same {
            None if self.ends.len() < MAX_ENDS => {
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

    fn oldest_end(&self) -> Option<usize> {
        let ends = self.ends.iter().enumerate();
        let oldest = ends.min_by_key(|(_, end)| end.at);
        oldest.map(|(index, _)| index)
    }

    pub(super) fn observe_survival(&mut self, at: Instant) -> bool {
        if self
            .survived
            .is_some_and(|known| at <= known + TIME_TOLERANCE)
        {
            return false;
        }
        self.survived = Some(at);
        self.ends.retain(|end| end.at > at);
        true
    }

    /// All that there is to tell of the request.
    pub(super) fn evidence(&self, request: RequestKey, now: Instant) -> Vec<PoisonEvidence> {
        let survived = self.survived.map(|at| PoisonEvidence {
            request,
            event: PoisonEvent::Survived,
            age: now.saturating_duration_since(at),
        });
        self.end_evidence(request, now).chain(survived).collect()
    }

    pub(super) fn end_evidence(
        &self,
        request: RequestKey,
        now: Instant,
    ) -> impl Iterator<Item = PoisonEvidence> + use<'_> {
        self.ends.iter().map(move |end| PoisonEvidence {
            request,
            event: PoisonEvent::Ended(end.target),
            age: now.saturating_duration_since(end.at),
        })
    }
}
