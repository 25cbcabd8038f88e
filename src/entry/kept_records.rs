//! The newest records of the targets in the platform's log, with their offsets.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::collections::{FastMap, FastSet};
use crate::ids::{LogOffset, TargetId};
use crate::peer::TargetChange;

/// Maximum number of changes that are kept for followers. A host polls twice a second; 100
/// targets that all change layers make 200 changes in a few seconds.
const MAX_CHANGES: usize = 2048;
/// Maximum number of targets that have left and are remembered; the oldest is forgotten
/// first. Each start of a target draws a new id: with 90 restarts a day this is weeks.
const MAX_LEFT: usize = 2048;

/// A record and its offset in the log.
#[derive(Debug, Clone)]
struct KeptRecord {
    offset: LogOffset,
    value: Bytes,
    /// Offset at which the log dropped the entry, which may have expired.
    dropped_at: Option<LogOffset>,
}

impl KeptRecord {
    /// Returns the offset of the last record of the target, including its removal.
    fn last(&self) -> LogOffset {
        self.dropped_at.unwrap_or(self.offset)
    }
}

/// The newest record of each target, and for each target that has left, the offset at
/// which it left.
///
/// Hosts relay records to each other. A host that lags behind, or that waits for expired
/// entries to return, still lists targets that this host knows to have left. Without the
/// offsets this host would add them again and send requests to them seconds after they
/// announced that they are leaving.
#[derive(Debug, Default)]
pub struct KeptRecords {
    targets: FastMap<TargetId, KeptRecord>,
    left: FastMap<TargetId, LogOffset>,
    left_order: VecDeque<TargetId>,
    changes: VecDeque<TargetChange>,
    /// Number of the first change in `changes`.
    first_change: u64,
    /// Offset up to which the log is covered, exclusive.
    read_to: LogOffset,
}

impl KeptRecords {
    /// Returns whether a record at `offset` is newer than what is known of a target.
    pub fn is_newer(&self, id: &str, offset: LogOffset) -> bool {
        let left = self.left.get(id).copied();
        let kept = self.targets.get(id).map(KeptRecord::last);
        left.max(kept).is_none_or(|known| offset > known)
    }

    /// Applies a target's record. `changed` is true if it differs from the previous one;
    /// followers are then notified.
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
        // Followers that were notified of the drop have to learn that the target is alive.
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

    /// Records that the log dropped a target's entry at `offset`, which may have expired.
    /// Followers receive the offset and decide by their own reads whether the target left.
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

    /// Records that a target left at `offset`, or that a list which covers the log up to
    /// there lacks it; returns whether the target was known.
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

    /// Returns whether a target is known to have left.
    pub fn has_left(&self, id: &str) -> bool {
        self.left.contains_key(id)
    }

    /// Returns the known targets that are missing from `listed`, a list that covers the log
    /// up to `read_to`, in the order of their ids. Targets with later records are not
    /// expected in it.
    pub fn unlisted<'a, I>(&self, listed: I, read_to: LogOffset) -> Vec<TargetId>
    where
        I: Iterator<Item = &'a str>,
    {
        let listed = listed.collect::<FastSet<_>>();
        let missing = self
            .targets
            .iter()
            .filter(|(id, kept)| kept.offset < read_to && !listed.contains(&***id));
        let mut missing = missing.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        missing.sort_unstable();
        missing
    }

    /// Records that the log is covered up to `read_to`.
    pub fn advance(&mut self, read_to: LogOffset) {
        self.read_to = self.read_to.max(read_to);
    }

    /// Returns the offset up to which the log is covered.
    pub fn read_to(&self) -> LogOffset {
        self.read_to
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the changes from number `from` on; `None` if they are not all kept.
    pub fn changes_since(&self, from: u64) -> Option<Vec<TargetChange>> {
        let skipped = from.checked_sub(self.first_change)?;
        let skipped = usize::try_from(skipped).ok()?;
        let kept = skipped <= self.changes.len();
        kept.then(|| self.changes.iter().skip(skipped).cloned().collect())
    }

    /// Returns every known target as a change, in the order of the records in the log.
    pub fn all(&self) -> Vec<TargetChange> {
        let kept = self.targets.iter().map(|(id, kept)| TargetChange {
            id: id.clone(),
            offset: kept.offset,
            value: Some(kept.value.clone()),
            dropped_at: kept.dropped_at,
        });
        let mut kept = kept.collect::<Vec<_>>();
        kept.sort_unstable_by(|one, other| (one.offset, &one.id).cmp(&(other.offset, &other.id)));
        kept
    }

    /// Returns the number of the next change.
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
