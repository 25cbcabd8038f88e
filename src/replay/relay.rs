//! Passes records to peers, and applies the records that a peer passes.

use std::collections::VecDeque;

use super::checkpoint::CheckpointError;
use super::judgement::{ApplyError, Judgement};
use super::table::DeclarationTable;
use crate::ids::LogOffset;
use crate::platform::wire::StoredRecord;
use crate::records::StateCheckpoint;

/// Limits of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayLimits {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum total size of their texts, in bytes.
    pub bytes: usize,
}

/// Texts of the latest records applied, for peers that cannot read the log.
#[derive(Debug, Clone)]
pub struct RecordRelay {
    limits: RelayLimits,
    records: VecDeque<StoredRecord>,
    bytes: usize,
}

/// A range of records, or a checkpoint, for a peer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RelayRange {
    /// Oldest offset whose text the sender keeps.
    pub first_offset: LogOffset,
    /// Offset after the last record that the sender has applied.
    pub end_offset: LogOffset,
    /// Contiguous records from the requested offset.
    pub records: Vec<StoredRecord>,
    /// JSON text of the sender's state, if the sender no longer keeps the requested
    /// offset.
    pub checkpoint: Option<String>,
}

/// Why a range was not applied completely.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The checkpoint cannot be parsed.
    #[error("the peer's checkpoint is not readable: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The checkpoint is damaged, too new for this program or older than the table.
    #[error(transparent)]
    Checkpoint(#[from] CheckpointError),
    /// A record was not applied; the records before it were.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

/// An applied record and its judgement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// Its judgement.
    pub judgement: Judgement,
}

impl RecordRelay {
    /// Creates an empty relay.
    pub fn new(limits: RelayLimits) -> Self {
        Self {
            limits,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Adds the text of a record that was just applied.
    pub fn push(&mut self, offset: LogOffset, body: String) {
        match self.records.back() {
            Some(last) if offset <= last.offset => return,
            // The table continued from a checkpoint. Texts with a gap between them would
            // appear complete to a peer.
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

    /// Returns what a peer needs that has applied everything below `from`: at most
    /// `limit` records, or the state of `table` if their texts are no longer kept.
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

    /// Returns the oldest offset from which the texts are contiguous up to the table's
    /// offset.
    ///
    /// A table that continued from a checkpoint is ahead of the texts until its next
    /// record. A peer that received these texts, or none, would count itself as caught up
    /// and stay behind.
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
    /// Applies a range received from a peer. A checkpoint is used only if it is newer
    /// than this table, because the peer may lag itself.
    ///
    /// # Errors
    /// Returns an error if the checkpoint or a record is unusable; the records before it
    /// stay applied.
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
