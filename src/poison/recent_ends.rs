//! Targets that ended recently, under whatever request.

use std::collections::VecDeque;
use std::ops::RangeBounds;
use std::time::Instant;

/// Maximum number of remembered targets, 2 KB. The loss of a zone exceeds it, during which
/// no part can be told apart anyway.
const MAX_TARGETS: usize = 64;

/// The targets that ended most recently.
#[derive(Debug, Default)]
pub(super) struct RecentEnds {
    ends: VecDeque<(u32, Instant)>,
}

impl RecentEnds {
    /// Records the end of a target, unless it is known.
    pub(super) fn observe(&mut self, target: u32, at: Instant) {
        if self.ends.iter().any(|(known, _)| *known == target) {
            return;
        }
        if self.ends.len() >= MAX_TARGETS {
            self.ends.pop_front();
        }
        self.ends.push_back((target, at));
    }

    /// Returns the targets that ended in a period.
    pub(super) fn within<R>(&self, period: R) -> impl Iterator<Item = u32>
    where
        R: RangeBounds<Instant>,
    {
        let ends = self.ends.iter();
        let within = ends.filter(move |(_, at)| period.contains(at));
        within.map(|(target, _)| *target)
    }
}
