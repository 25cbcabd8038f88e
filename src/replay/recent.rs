//! The ids of recent records, by which a repeated append is detected.

use std::collections::VecDeque;

use super::hash::{HashSum, HashedEntry};
use super::judgement::{Judgement, RecordOutcome};
use crate::collections::FastMap;
use crate::ids::{LogOffset, RecordId};
use crate::records::RecentRecord;

/// The records within a window of offsets, by offset and by id.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentRecords {
    by_offset: VecDeque<RecentRecord>,
    by_id: FastMap<RecordId, RecordOutcome>,
}

impl RecentRecords {
    pub(super) fn outcome(&self, id: &str) -> Option<&RecordOutcome> {
        self.by_id.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &RecentRecord> {
        self.by_offset.iter()
    }

    pub(super) fn insert(&mut self, outcome: RecordOutcome, id: &RecordId, sum: &mut HashSum) {
        let record = RecentRecord {
            offset: outcome.offset,
            id: id.clone(),
            result: outcome.judgement.result(),
        };
        sum.add(&HashedEntry::Recent(&record));
        self.by_offset.push_back(record);
        self.by_id.insert(id.clone(), outcome);
    }

    pub(super) fn restore(&mut self, record: &RecentRecord, sum: &mut HashSum) {
        let outcome = RecordOutcome {
            offset: record.offset,
            judgement: Judgement::from_result(record.offset, &record.result),
        };
        sum.add(&HashedEntry::Recent(record));
        self.by_offset.push_back(record.clone());
        self.by_id.insert(record.id.clone(), outcome);
    }

    /// Removes the records below an offset. The window depends only on offsets: a reader
    /// that evicted by time or by a count of its own would accept a repeated append that
    /// other readers reject.
    pub(super) fn remove_below(&mut self, floor: LogOffset, sum: &mut HashSum) {
        while self
            .by_offset
            .front()
            .is_some_and(|record| record.offset < floor)
        {
            let Some(record) = self.by_offset.pop_front() else {
                return;
            };
            sum.remove(&HashedEntry::Recent(&record));
            self.by_id.remove(&record.id);
        }
    }
}
