//! Targets' records as last read from the platform's log, by their offsets.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::collections::{FastMap, FastSet};
use crate::ids::{LogOffset, TargetId};
use crate::peer::TargetChange;

/// Changes of targets that are kept for hosts that follow. A host asks twice a
/// second; 100 targets that all change layers make 200 changes in a few.
const MAX_CHANGES: usize = 2048;
/// Targets that have left and are remembered, oldest forgotten first. Each
/// start of a target draws a new id: with 90 restarts a day this is weeks.
const MAX_LEFT: usize = 2048;

/// A record and where it stands in the log.
#[derive(Debug, Clone)]
struct KeptRecord {
    offset: LogOffset,
    value: Bytes,
    /// Where the log dropped the entry, which may have lapsed.
    dropped_at: Option<LogOffset>,
}

impl KeptRecord {
    /// Offset of the last thing that the log says of the target.
    fn last(&self) -> LogOffset {
        self.dropped_at.unwrap_or(self.offset)
    }
}

/// The newest record of each target, and of those that have left the offset
/// at which they did.
///
/// Hosts pass records on to each other, and one that lags behind, or waits for
/// lapsed entries to come back, still lists targets that this host knows to
/// have left. Without the offsets this host takes them in again and sends
/// requests to them seconds after they said that they leave.
#[derive(Debug, Default)]
pub struct KeptRecords {
    targets: FastMap<TargetId, KeptRecord>,
    left: FastMap<TargetId, LogOffset>,
    left_order: VecDeque<TargetId>,
    changes: VecDeque<TargetChange>,
    /// Number of the first change that is kept.
    first_change: u64,
    /// Offset up to which the log is covered, this one excluded.
    read_to: LogOffset,
}

impl KeptRecords {
    /// Whether a record at `offset` says more of a target than is known.
    pub fn is_newer(&self, id: &str, offset: LogOffset) -> bool {
        let left = self.left.get(id).copied();
        let kept = self.targets.get(id).map(KeptRecord::last);
        left.max(kept).is_none_or(|known| offset > known)
    }

    /// Takes in a target's record. `changed` says whether it differs from the
    /// one before, so that hosts that follow are told.
    pub fn observe(&mut self, id: &TargetId, offset: LogOffset, value: Bytes, changed: bool) {
        if !self.is_newer(id, offset) {
            return;
        }
        self.left.remove(id);
        let kept = KeptRecord {
            offset,
            value: value.clone(),
            dropped_at: None,
        };
        let before = self.targets.insert(id.clone(), kept);
        // Whoever was told that it may have lapsed has to hear that it lives.
        let is_back = before.is_some_and(|kept| kept.dropped_at.is_some());
        if changed || is_back {
            self.push_change(TargetChange {
                id: id.clone(),
                offset,
                value: Some(value),
                dropped_at: None,
            });
        }
    }

    /// Takes in that the log dropped a target's entry at `offset`, which may have lapsed.
    /// Hosts that follow are told as much, and judge it by what they know themselves.
    pub fn mark_dropped(&mut self, id: &str, offset: LogOffset) {
        let Some(kept) = self.targets.get_mut(id) else {
            return;
        };
        if kept.last() >= offset {
            return;
        }
        kept.dropped_at = Some(offset);
        let change = TargetChange {
            id: id.into(),
            offset: kept.offset,
            value: Some(kept.value.clone()),
            dropped_at: kept.dropped_at,
        };
        self.push_change(change);
    }

    /// Takes in that a target left at `offset`, or that a list that covers the
    /// log up to there lacks it; says whether it was known.
    pub fn remove(&mut self, id: &str, offset: LogOffset) -> bool {
        let kept = self.targets.get(id);
        if kept.is_some_and(|kept| kept.offset > offset) {
            return false;
        }
        let id = TargetId::from(id);
        let known = self.left.get(&id).copied();
        let latest = known.map_or(offset, |known| known.max(offset));
        self.left.insert(id.clone(), latest);
        if known.is_none() {
            self.left_order.push_back(id.clone());
        }
        if self.left_order.len() > MAX_LEFT
            && let Some(oldest) = self.left_order.pop_front()
        {
            self.left.remove(&oldest);
        }
        let known = self.targets.remove(&id).is_some();
        if known {
            self.push_change(TargetChange {
                id,
                offset,
                value: None,
                dropped_at: None,
            });
        }
        known
    }

    /// Whether a target is known to have left.
    pub fn has_left(&self, id: &str) -> bool {
        self.left.contains_key(id)
    }

    /// Targets that are kept and not among `listed`, which covers the log up
    /// to `read_to`. What stands later in the log is not expected there.
    pub fn unlisted<'a, I>(&self, listed: I, read_to: LogOffset) -> Vec<TargetId>
    where
        I: Iterator<Item = &'a str>,
    {
        let listed = listed.collect::<FastSet<_>>();
        let missing = self
            .targets
            .iter()
            .filter(|(id, kept)| kept.offset < read_to && !listed.contains(&***id));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// The log is covered up to `read_to`.
    pub fn advance(&mut self, read_to: LogOffset) {
        self.read_to = self.read_to.max(read_to);
    }

    /// Offset up to which the log is covered.
    pub fn read_to(&self) -> LogOffset {
        self.read_to
    }

    /// Whether any target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The changes from number `from` on; `None` if they are not all kept.
    pub fn changes_since(&self, from: u64) -> Option<Vec<TargetChange>> {
        let skipped = from.checked_sub(self.first_change)?;
        let skipped = usize::try_from(skipped).ok()?;
        let kept = skipped <= self.changes.len();
        kept.then(|| self.changes.iter().skip(skipped).cloned().collect())
    }

    /// Every target that is known, each as a change.
    pub fn all(&self) -> Vec<TargetChange> {
        let kept = self.targets.iter().map(|(id, kept)| TargetChange {
            id: id.clone(),
            offset: kept.offset,
            value: Some(kept.value.clone()),
            dropped_at: kept.dropped_at,
        });
        kept.collect()
    }

    /// Number of the next change.
    pub fn next_change(&self) -> u64 {
        self.first_change + self.changes.len() as u64
    }

    fn push_change(&mut self, change: TargetChange) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
            self.first_change += 1;
        }
    }
}
