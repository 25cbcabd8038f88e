//! What is known of one request.

use std::time::{Duration, Instant};

use super::note::{PoisonEvent, PoisonNote};
use crate::ids::{RequestKey, TargetKey};

/// Targets that have to end under a request before it is refused.
///
/// One proves nothing: everything that ran on a lost engine would be refused with
/// it, some 20 to 60 requests each time. Two are what a request meets that is taken
/// up again in a rack that loses its power. A request is tried twice by a host and
/// comes a second time, so that three are met by chance by few; and three is what
/// the operators of the engines bear.
pub(super) const PROOFS: usize = 3;
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
/// A later moment counts as the same one within this time: the age of a note grows
/// by its time on the way, and two hosts would tell each other the same news for ever.
const SAME_MOMENT: Duration = Duration::from_secs(2);

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
        let beyond = self.ends.len().checked_sub(PROOFS);
        let refused_for = beyond.and_then(|beyond| REFUSALS.get(beyond));
        let last = self.ends.iter().map(|end| end.at).max();
        let until = refused_for.zip(last);
        until.is_some_and(|(refused_for, last)| now < last + *refused_for)
    }

    /// Targets that the platform's log has to name.
    pub(super) fn wanted_in_log(&self, now: Instant) -> usize {
        match self.ends.len() {
            ends @ PROOFS.. if !self.has_lapsed(now) => ends,
            _ => 0,
        }
    }

    pub(super) fn has_lapsed(&self, now: Instant) -> bool {
        let lapse = match self.ends.len() {
            0 => SURVIVED_LAPSE,
            PROOFS.. => POISON_LAPSE,
            _ => SUSPECT_LAPSE,
        };
        self.last().is_none_or(|last| now >= last + lapse)
    }

    pub(super) fn note_end(&mut self, end: TargetEnd) -> bool {
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

    pub(super) fn note_survival(&mut self, at: Instant) -> bool {
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

    pub(super) fn end_notes(
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
