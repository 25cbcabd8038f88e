//! The journal's table and its bounds.

use std::collections::{BTreeMap, VecDeque};

use super::entry::{JournalEntry, JournalSubject};
use crate::collections::FastMap;

/// Default total number of entries, about 10 MB.
const DEFAULT_ENTRIES: usize = 65_536;
/// Default number of entries per subject.
const DEFAULT_SUBJECT_ENTRIES: usize = 128;

/// Bounds of the journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JournalBounds {
    /// Maximum total number of entries.
    pub entries: usize,
    /// Maximum number of entries per subject; at least 1, and at most `entries`.
    pub subject_entries: usize,
}

impl Default for JournalBounds {
    fn default() -> Self {
        Self {
            entries: DEFAULT_ENTRIES,
            subject_entries: DEFAULT_SUBJECT_ENTRIES,
        }
    }
}

/// The journal: a bounded log of decisions per subject.
#[derive(Debug, Default)]
pub struct JournalTable {
    pub(super) bounds: JournalBounds,
    pub(super) logs: FastMap<JournalSubject, SubjectLog>,
    /// Subjects by their last write; the least recently written one is evicted first.
    pub(super) by_last_write: BTreeMap<u64, JournalSubject>,
    pub(super) write_count: u64,
    pub(super) entry_total: usize,
}

/// The decisions about one subject, oldest first.
#[derive(Debug, Default)]
pub(super) struct SubjectLog {
    pub(super) entries: VecDeque<JournalEntry>,
    pub(super) dropped: u64,
    pub(super) last_write: u64,
}

impl JournalTable {
    /// Creates an empty table. Bounds that are too low or contradict each other are
    /// raised.
    pub fn new(bounds: JournalBounds) -> Self {
        let subject_entries = bounds.subject_entries.max(1);
        Self {
            bounds: JournalBounds {
                entries: bounds.entries.max(subject_entries),
                subject_entries,
            },
            ..Self::default()
        }
    }
}
