//! Reading the journal.

use super::entry::{JournalEntry, JournalSubject};
use super::table::JournalTable;

/// What is known about one subject.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Explanation {
    /// Decisions, oldest first.
    pub entries: Vec<JournalEntry>,
    /// Older decisions that are no longer kept.
    pub dropped: u64,
}

impl JournalTable {
    /// The decisions about a subject; empty if none is kept.
    pub fn explain(&self, subject: &JournalSubject) -> Explanation {
        match self.logs.get(subject) {
            None => Explanation::default(),
            Some(log) => Explanation {
                entries: log.entries.iter().cloned().collect(),
                dropped: log.dropped,
            },
        }
    }

    /// Entries kept in all.
    pub fn entry_count(&self) -> usize {
        self.entry_total
    }
}
