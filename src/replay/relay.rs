//! Handing records on to peers, and following a peer in place of the log.

use std::collections::VecDeque;

use super::checkpoint::CheckpointError;
use super::judgement::{ApplyError, Judgement};
use super::table::DeclarationTable;
use crate::ids::LogOffset;
use crate::platform::wire::StoredRecord;
use crate::records::StateCheckpoint;

/// How much a relay keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayLimits {
    /// Records.
    pub records: usize,
    /// Bytes of their texts together.
    pub bytes: usize,
}

/// Texts of the latest records applied, for peers that cannot read the log.
#[derive(Debug, Clone)]
pub struct RecordRelay {
    limits: RelayLimits,
    records: VecDeque<StoredRecord>,
    bytes: usize,
}

/// What a peer is handed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RelayRange {
    /// Oldest offset of which the sender keeps the text.
    pub first_offset: LogOffset,
    /// Offset after the last record that the sender has applied.
    pub end_offset: LogOffset,
    /// Records without gaps, from the offset asked for.
    pub records: Vec<StoredRecord>,
    /// JSON text of the sender's state, if it no longer keeps the offset
    /// asked for.
    pub checkpoint: Option<String>,
}

/// Why a range could not be followed to its end.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The checkpoint is not readable.
    #[error("the peer's checkpoint is not readable: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The checkpoint cannot be started from.
    #[error(transparent)]
    Checkpoint(#[from] CheckpointError),
    /// A record was not applied; those before it were.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

/// A record that was applied, and how it was judged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// Its judgement.
    pub judgement: Judgement,
}

impl RecordRelay {
    /// An empty relay.
    pub fn new(limits: RelayLimits) -> Self {
        Self {
            limits,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Keeps the text of a record that was just applied.
    pub fn push(&mut self, offset: LogOffset, body: String) {
        match self.records.back() {
            Some(last) if offset <= last.offset => return,
            // The table went on from a checkpoint. Kept texts that do not
            // join would be handed to a peer as if nothing were missing.
            Some(last) if offset > last.offset + 1 => self.clear(),
            _ => {}
        }
        self.bytes += body.len();
        self.records.push_back(StoredRecord { offset, body });
        while self.records.len() > self.limits.records || self.bytes > self.limits.bytes {
            let Some(dropped) = self.records.pop_front() else {
                return;
            };
            self.bytes -= dropped.body.len();
        }
    }

    /// What to hand to a peer that has applied everything below `from`: at
    /// most `limit` records, or the state of `table` if their texts are gone.
    /// `table` is the one whose records were pushed.
    pub fn range(&self, from: LogOffset, limit: usize, table: &DeclarationTable) -> RelayRange {
        let first_offset = self.first_contiguous(table);
        let mut range = RelayRange {
            first_offset,
            end_offset: table.applied(),
            ..RelayRange::default()
        };
        if from < first_offset {
            range.checkpoint = serde_json::to_string(&table.checkpoint()).ok();
            return range;
        }
        let wanted = self.records.iter().filter(|record| record.offset >= from);
        range.records = wanted.take(limit).cloned().collect();
        range
    }

    /// Oldest kept offset from which every text up to the table's is held.
    ///
    /// A table that went on from a checkpoint is ahead of the texts until its
    /// next record. A peer that was handed these, or none, would take itself
    /// for caught up and stay behind.
    fn first_contiguous(&self, table: &DeclarationTable) -> LogOffset {
        let applied = table.applied();
        match (self.records.front(), self.records.back()) {
            (Some(first), Some(last)) if last.offset + 1 == applied => first.offset,
            _ => applied,
        }
    }

    fn clear(&mut self) {
        self.records.clear();
        self.bytes = 0;
    }
}

impl DeclarationTable {
    /// Applies what a peer handed over. A checkpoint is taken only if it is
    /// newer than this table: the peer may itself be behind.
    ///
    /// # Errors
    /// An unusable checkpoint or record; what came before it stays applied.
    pub fn apply_range(&mut self, range: &RelayRange) -> Result<Vec<AppliedRecord>, RelayError> {
        if let Some(text) = &range.checkpoint {
            let checkpoint: StateCheckpoint = serde_json::from_str(text)?;
            if checkpoint.as_of > self.applied {
                self.supersede(Self::restore(self.windows, &checkpoint)?)?;
            }
        }
        let mut applied_records = Vec::with_capacity(range.records.len());
        for record in &range.records {
            let judgement = self.apply_raw(record.offset, &record.body)?;
            applied_records.push(AppliedRecord {
                offset: record.offset,
                judgement,
            });
        }
        Ok(applied_records)
    }
}
