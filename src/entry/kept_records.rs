//! The newest records of the targets in the platform's log, with their positions.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::collections::{FastMap, FastSet};
use crate::ids::{HeartbeatNumber, LogPosition, TargetId};
use crate::peer::TargetChange;

/// Maximum number of changes that are kept for followers. A host polls twice a second; 100
/// targets that all change layers make 200 changes in a few seconds.
const MAX_CHANGES: usize = 2048;
/// Maximum number of targets that have left and are remembered; the oldest is forgotten
/// first. Each start of a target draws a new id: with 90 restarts a day this is weeks.
const MAX_LEFT: usize = 2048;

/// A record and its position in the log.
#[derive(Debug, Clone)]
struct KeptRecord {
    position: LogPosition,
    value: Bytes,
    /// Position at which the log dropped the entry, which may have expired.
    dropped_at: Option<LogPosition>,
    /// Whether the record is current although it looks outdated.
    reinstated: bool,
}

impl KeptRecord {
    fn change(&self, id: TargetId) -> TargetChange {
        TargetChange {
            id,
            position: self.position,
            value: Some(self.value.clone()),
            dropped_at: self.dropped_at,
            reinstated: self.reinstated,
            first_return: 0,
        }
    }

    /// Returns the position of the last record of the target, including its removal.
    fn last(&self) -> LogPosition {
        self.dropped_at.unwrap_or(self.position)
    }
}

/// The newest record of each target, and for each target that has left, the position
/// at which it left.
///
/// Hosts relay records to each other. A host that lags behind, or that waits for expired
/// entries to return, still lists targets that this host knows to have left. Without the
/// positions this host would add them again and send requests to them seconds after they
/// announced that they are leaving.
#[derive(Debug, Default)]
pub struct KeptRecords {
    targets: FastMap<TargetId, KeptRecord>,
    left: FastMap<TargetId, LogPosition>,
    left_order: VecDeque<TargetId>,
    changes: VecDeque<TargetChange>,
    /// Number of the first change in `changes`.
    first_change: u64,
    /// Position up to which the log is covered, exclusive.
    read_to: LogPosition,
}

impl KeptRecords {
    /// Returns whether a record at `position` is newer than what is known of a target.
    pub fn is_newer(&self, id: &str, position: LogPosition) -> bool {
        let left = self.left.get(id).copied();
        let kept = self.targets.get(id).map(KeptRecord::last);
        left.max(kept).is_none_or(|known| position > known)
    }

    /// Applies a target's record. `changed` is true if it differs from the previous one;
    /// followers are then notified.
    pub fn observe(&mut self, id: &TargetId, position: LogPosition, value: Bytes, changed: bool) {
        if !self.is_newer(id, position) {
            return;
        }
        self.left.remove(id);
        let kept = KeptRecord {
            position,
            value,
            dropped_at: None,
            reinstated: false,
        };
        let change = kept.change(id.clone());
        let before = self.targets.insert(id.clone(), kept);
        // Followers that were notified of the drop have to learn that the target is alive.
        let is_back = before.is_some_and(|kept| kept.dropped_at.is_some());
        if changed || is_back {
            self.push_change(change);
        }
    }

    /// Records that the newest record of a target is current although it looks outdated, so
    /// that followers would otherwise ignore it.
    pub fn mark_reinstated(&mut self, id: &str) {
        let Some(kept) = self.targets.get_mut(id) else {
            return;
        };
        kept.reinstated = true;
        let change = kept.change(id.into());
        self.push_change(change);
    }

    /// Records that the log dropped a target's entry at `position`, which may have expired.
    /// Followers receive the position and decide by their own reads whether the target left.
    /// Returns whether the drop is newer than what is known of the target.
    pub fn mark_dropped(&mut self, id: &str, position: LogPosition) -> bool {
        let Some(kept) = self.targets.get_mut(id) else {
            return false;
        };
        if kept.last() >= position {
            return false;
        }
        kept.dropped_at = Some(position);
        let change = kept.change(id.into());
        self.push_change(change);
        true
    }

    /// Records that a target left at `position`, or that a list which covers the log up to
    /// there lacks it; returns whether the target was known. It can return by a heartbeat
    /// from `first_return` on.
    pub fn remove(
        &mut self,
        id: &str,
        position: LogPosition,
        first_return: HeartbeatNumber,
    ) -> bool {
        let kept = self.targets.get(id);
        if kept.is_some_and(|kept| kept.position > position) {
            return false;
        }
        let id = TargetId::from(id);
        let known = self.left.get(&id).copied();
        let latest = known.map_or(position, |known| known.max(position));
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
                position,
                value: None,
                dropped_at: None,
                reinstated: false,
                first_return,
            });
        }
        known
    }

    /// Returns whether a target left in an era before the one of `position`.
    pub fn had_left_before(&self, id: &str, position: LogPosition) -> bool {
        let left = self.left.get(id);
        left.is_some_and(|left| left.era < position.era)
    }

    /// Returns whether a target is known to have left.
    pub fn has_left(&self, id: &str) -> bool {
        self.left.contains_key(id)
    }

    /// Returns the known targets that are missing from `listed`, a list that covers the log
    /// up to `read_to`, in the order of their ids. Targets with later records are not
    /// expected in it.
    pub fn unlisted<'a, I>(&self, listed: I, read_to: LogPosition) -> Vec<TargetId>
    where
        I: Iterator<Item = &'a str>,
    {
        let listed = listed.collect::<FastSet<_>>();
        let missing = self
            .targets
            .iter()
            .filter(|(id, kept)| kept.position < read_to && !listed.contains(&***id));
        let mut missing = missing.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        missing.sort_unstable();
        missing
    }

    /// Records that the log is covered up to `read_to`.
    pub fn advance(&mut self, read_to: LogPosition) {
        self.read_to = self.read_to.max(read_to);
    }

    /// Returns the position up to which the log is covered.
    pub fn read_to(&self) -> LogPosition {
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
        let kept = self
            .targets
            .iter()
            .map(|(id, kept)| kept.change(id.clone()));
        let mut kept = kept.collect::<Vec<_>>();
        kept.sort_unstable_by(|one, other| {
            (one.position, &one.id).cmp(&(other.position, &other.id))
        });
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
