//! Read access to the journal.

use super::entry::{JournalEntry, JournalSubject};
use super::table::JournalTable;

/// The kept decisions about one subject.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Explanation {
    /// Decisions, oldest first.
    pub entries: Vec<JournalEntry>,
    /// Number of older decisions that were dropped.
    pub dropped: u64,
}

impl JournalTable {
    /// Returns the decisions about a subject; empty if none is kept.
    pub fn explain(&self, subject: &JournalSubject) -> Explanation {
        match self.logs.get(subject) {
            None => Explanation::default(),
            Some(log) => Explanation {
                entries: log.entries.iter().cloned().collect(),
                dropped: log.dropped,
            },
        }
    }

    /// Returns the total number of entries.
    pub fn entry_count(&self) -> usize {
        self.entry_total
    }
}
