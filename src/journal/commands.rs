//! Writing to the journal.

use super::entry::JournalEntry;
use super::event::JournalEvent;
use super::table::{JournalTable, SubjectLog};

impl JournalTable {
    /// Keeps a decision, and drops what no longer fits: the oldest decisions
    /// of the same subject, then whole subjects, those first about which
    /// nothing has been decided for longest.
    pub fn record(&mut self, entry: JournalEntry) {
        self.writes += 1;
        let subject = entry.subject.clone();
        let log = self.logs.entry(subject.clone()).or_default();
        self.ages.remove(&log.last_write);
        self.ages.insert(self.writes, subject);
        log.last_write = self.writes;
        let before = log.entries.len();
        log.push(entry, self.bounds.subject_entries);
        self.kept += log.entries.len() - before;
        self.evict();
    }

    fn evict(&mut self) {
        while self.kept > self.bounds.entries {
            let Some((_, subject)) = self.ages.pop_first() else {
                return;
            };
            let evicted = self.logs.remove(&subject).unwrap_or_default();
            self.kept -= evicted.entries.len();
        }
    }
}

impl SubjectLog {
    /// Adds an entry. A growing count of delivered tokens replaces the one
    /// before, else a long answer would push its own routing out.
    fn push(&mut self, entry: JournalEntry, bound: usize) {
        let counts = |entry: &JournalEntry| matches!(entry.event, JournalEvent::Delivered { .. });
        let replaces = counts(&entry) && self.entries.back().is_some_and(counts);
        if replaces {
            self.entries.pop_back();
        } else if self.entries.len() == bound {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(entry);
    }
}
