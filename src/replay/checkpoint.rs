//! Writing checkpoints, and starting from one.

use std::time::Duration;

use super::hash::{HashSum, HashedEntry};
use super::table::{DeclarationTable, WindowRules};
use crate::ids::LogOffset;
use crate::records::{
    CheckpointResource, CheckpointTombstone, JUDGING_RULES, StateCheckpoint, StateHash,
};
use crate::resources::ResourceKey;

/// Why a checkpoint cannot be started from.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CheckpointError {
    /// The content does not belong to the hash.
    #[error("the checkpoint as of {as_of} is damaged: its content has another hash")]
    Damaged {
        /// Offset of the state.
        as_of: LogOffset,
    },
    /// The state was judged by rules of a newer program.
    #[error("the checkpoint needs judging rules {rules}, this program knows none above {known}")]
    UnknownRules {
        /// Rules that it needs.
        rules: u32,
        /// Highest rules known.
        known: u32,
    },
    /// The state is not newer than the one held, which therefore stays.
    #[error("the state as of {as_of} is not newer than the one held, as of {applied}")]
    NotNewer {
        /// Offset of the state refused.
        as_of: LogOffset,
        /// Offset of the state held.
        applied: LogOffset,
    },
}

/// When a new checkpoint is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckpointSchedule {
    /// Records after the newest checkpoint, so that a start replays few.
    pub max_records: u64,
    /// Age of the newest checkpoint: well under the time for which the log
    /// keeps a record, because a quiet log expires too.
    pub max_age: Duration,
}

/// What is known of the log when a checkpoint may be due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogHorizon {
    /// Oldest offset that the log still keeps.
    pub first_offset: LogOffset,
    /// Time since the newest checkpoint was seen to be appended; `None` if
    /// this host was not there to see it, which counts as too old.
    pub newest_age: Option<Duration>,
}

impl DeclarationTable {
    /// The state as a checkpoint.
    pub fn checkpoint(&self) -> StateCheckpoint {
        let resources = self.resources.iter().flat_map(|(kind, named)| {
            named.iter().map(|(name, resource)| CheckpointResource {
                key: ResourceKey::new(*kind, name.clone()),
                resource: resource.clone(),
            })
        });
        let tombstones = self
            .tombstones
            .iter()
            .map(|(key, tombstone)| CheckpointTombstone {
                key: key.clone(),
                tombstone: tombstone.clone(),
            });
        StateCheckpoint {
            as_of: self.applied,
            rules: self.rules,
            resources: resources.collect(),
            tombstones: tombstones.collect(),
            recent: self.recent.iter().cloned().collect(),
            hash: self.hash(),
        }
    }

    /// The table at a checkpoint. Records from `as_of` on are to be applied
    /// next, all of them.
    ///
    /// # Errors
    /// A damaged checkpoint, or one of a newer program.
    pub fn from_checkpoint(checkpoint: &StateCheckpoint) -> Result<Self, CheckpointError> {
        Self::restore(WindowRules::CURRENT, checkpoint)
    }

    /// As [`Self::from_checkpoint`], under other windows: for trials.
    ///
    /// # Errors
    /// A damaged checkpoint, or one of a newer program.
    pub fn restore(
        windows: WindowRules,
        checkpoint: &StateCheckpoint,
    ) -> Result<Self, CheckpointError> {
        if checkpoint.rules > JUDGING_RULES {
            return Err(CheckpointError::UnknownRules {
                rules: checkpoint.rules,
                known: JUDGING_RULES,
            });
        }
        let mut table = Self::new(windows);
        table.hashes.clear();
        table.applied = checkpoint.as_of;
        table.rules = checkpoint.rules;
        for entry in &checkpoint.resources {
            table.put(&entry.key, entry.resource.clone());
        }
        for entry in &checkpoint.tombstones {
            table.insert_tombstone(&entry.key, entry.tombstone.clone());
        }
        for record in &checkpoint.recent {
            table.recent.restore(record, &mut table.sum);
        }
        table.push_hash();
        // The hash is taken of the table built, not of the text: an entry
        // that was cut off, doubled or altered on the way shows here.
        match table.hash() == checkpoint.hash {
            true => Ok(table),
            false => Err(CheckpointError::Damaged {
                as_of: checkpoint.as_of,
            }),
        }
    }

    /// Puts a newer table, started from a checkpoint, in the place of this
    /// one, when the records in between have expired.
    ///
    /// # Errors
    /// The other table is not newer: this one stays, so that configuration in
    /// force is never reverted.
    pub fn supersede(&mut self, newer: Self) -> Result<(), CheckpointError> {
        if newer.applied <= self.applied {
            return Err(CheckpointError::NotNewer {
                as_of: newer.applied,
                applied: self.applied,
            });
        }
        *self = newer;
        Ok(())
    }

    /// Whether records that this table needs next have expired.
    pub fn missed_records(&self, first_offset: LogOffset) -> bool {
        first_offset > self.applied
    }

    /// Whether a checkpoint of this table should be appended now.
    pub fn should_checkpoint(&self, horizon: &LogHorizon, schedule: &CheckpointSchedule) -> bool {
        match self.newest_checkpoint {
            _ if self.applied == 0 || self.stopped.is_some() => false,
            None => true,
            Some(as_of) if as_of < self.safe_offset(horizon.first_offset) => true,
            Some(as_of) if self.applied - as_of >= schedule.max_records => true,
            Some(_) => horizon.newest_age.is_none_or(|age| age >= schedule.max_age),
        }
    }

    /// Oldest state whose checkpoint is not about to become useless.
    ///
    /// A checkpoint is of no use once its `as_of` has expired. If the next one
    /// were due only then, no host could start from the log until it is there,
    /// and with all hosts lost meanwhile the configuration would be lost too.
    /// So it is due when only a quarter of the kept records lie before it.
    fn safe_offset(&self, first_offset: LogOffset) -> LogOffset {
        match first_offset {
            0 => 0,
            _ => first_offset + self.applied.saturating_sub(first_offset) / 4,
        }
    }

    /// The hash of the state at an offset, if it is still kept.
    pub(super) fn hash_at(&self, as_of: LogOffset) -> Option<StateHash> {
        let back = usize::try_from(self.applied.checked_sub(as_of)?).ok()?;
        let position = self.hashes.len().checked_sub(back + 1)?;
        self.hashes.get(position).copied()
    }
}

/// The hash of what a checkpoint carries, whatever hash it claims.
pub(super) fn content_hash(checkpoint: &StateCheckpoint) -> StateHash {
    let mut sum = HashSum::default();
    for entry in &checkpoint.resources {
        sum.add(&HashedEntry::Resource {
            key: &entry.key,
            resource: &entry.resource,
        });
    }
    for entry in &checkpoint.tombstones {
        sum.add(&HashedEntry::Tombstone {
            key: &entry.key,
            tombstone: &entry.tombstone,
        });
    }
    for record in &checkpoint.recent {
        sum.add(&HashedEntry::Recent(record));
    }
    sum.finish(checkpoint.as_of, checkpoint.rules)
}
