//! Creates checkpoints and restores tables from them.

use std::time::Duration;

use super::hash::{HashSum, HashedEntry};
use super::table::{DeclarationTable, WindowRules};
use crate::ids::LogOffset;
use crate::records::{
    CheckpointResource, CheckpointTombstone, JUDGING_RULES, StateCheckpoint, StateHash,
};
use crate::resources::ResourceKey;

/// Why a checkpoint cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CheckpointError {
    /// The content does not match the hash.
    #[error("the checkpoint as of {as_of} is damaged: its content does not match its hash")]
    Damaged {
        /// Offset of the state.
        as_of: LogOffset,
    },
    /// The state was computed under the rules of a newer program.
    #[error("the checkpoint requires judging rules {rules}, this program supports up to {known}")]
    UnknownRules {
        /// Rules version that the checkpoint requires.
        rules: u32,
        /// Highest rules version that this program supports.
        known: u32,
    },
    /// The state is not newer than the current one, which is kept.
    #[error("the state as of {as_of} is not newer than the current one as of {applied}")]
    NotNewer {
        /// Offset of the rejected state.
        as_of: LogOffset,
        /// Offset of the current state.
        applied: LogOffset,
    },
}

/// When a new checkpoint is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckpointSchedule {
    /// Maximum number of records after the newest checkpoint; bounds how many records a
    /// start replays.
    pub max_records: u64,
    /// Maximum age of the newest checkpoint. It must be well below the retention time of
    /// the log, because the records of an idle log expire too.
    pub max_age: Duration,
}

/// Bounds of the log that determine whether a checkpoint is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogHorizon {
    /// Oldest offset that the log retains.
    pub first_offset: LogOffset,
    /// Time since the append of the newest checkpoint; `None` if this host did not
    /// observe the append, which counts as too old.
    pub newest_age: Option<Duration>,
}

impl DeclarationTable {
    /// Returns the state as a checkpoint.
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

    /// Restores a table from a checkpoint. The next record to apply is the one at
    /// `as_of`, followed by all later ones.
    ///
    /// # Errors
    /// Returns an error if the checkpoint is damaged or was written by a newer program.
    pub fn from_checkpoint(checkpoint: &StateCheckpoint) -> Result<Self, CheckpointError> {
        Self::restore(WindowRules::CURRENT, checkpoint)
    }

    /// Restores a table as [`Self::from_checkpoint`] does, with other window sizes, for
    /// tests and simulations.
    ///
    /// # Errors
    /// Returns an error if the checkpoint is damaged or was written by a newer program.
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
        // The hash is computed from the restored table, not from the text, so that a
        // truncated, duplicated or altered entry is detected.
        match table.hash() == checkpoint.hash {
            true => Ok(table),
            false => Err(CheckpointError::Damaged {
                as_of: checkpoint.as_of,
            }),
        }
    }

    /// Replaces this table with a newer one that was started from a checkpoint, when the
    /// records in between have expired.
    ///
    /// # Errors
    /// Returns an error if the other table is not newer. This one is kept then, so that
    /// active configuration is never reverted.
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

    /// Returns whether records that this table has yet to apply have expired.
    pub fn missed_records(&self, first_offset: LogOffset) -> bool {
        first_offset > self.applied
    }

    /// Returns whether a checkpoint of this table should be appended now.
    pub fn should_checkpoint(&self, horizon: &LogHorizon, schedule: &CheckpointSchedule) -> bool {
        match self.newest_checkpoint {
            _ if self.applied == 0 || self.stopped.is_some() => false,
            None => true,
            Some(as_of) if as_of < self.safe_offset(horizon.first_offset) => true,
            Some(as_of) if self.applied - as_of >= schedule.max_records => true,
            Some(_) => horizon.newest_age.is_none_or(|age| age >= schedule.max_age),
        }
    }

    /// Returns the lowest `as_of` for which a checkpoint is still safe from expiry.
    ///
    /// A checkpoint is unusable once its `as_of` has expired. If the next one were due
    /// only then, no host could start from the log in the meantime, and a loss of all
    /// hosts would lose the configuration. A checkpoint is therefore due once less than
    /// a quarter of the retained records lie before the `as_of` of the newest one.
    fn safe_offset(&self, first_offset: LogOffset) -> LogOffset {
        match first_offset {
            0 => 0,
            _ => first_offset + self.applied.saturating_sub(first_offset) / 4,
        }
    }

    /// Returns the hash of the state at an offset, if it is still kept.
    pub(super) fn hash_at(&self, as_of: LogOffset) -> Option<StateHash> {
        let back = usize::try_from(self.applied.checked_sub(as_of)?).ok()?;
        let position = self.hashes.len().checked_sub(back + 1)?;
        self.hashes.get(position).copied()
    }
}

/// Computes the hash of the content of a checkpoint, regardless of the hash that the
/// checkpoint states.
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
