//! Adds entries to the journal and evicts old ones.

use super::entry::JournalEntry;
use super::event::JournalEvent;
use super::table::{JournalTable, SubjectLog};

impl JournalTable {
    /// Adds an entry and evicts what exceeds the bounds: first the oldest entries of the
    /// same subject, then whole subjects, least recently written first.
    pub fn record(&mut self, entry: JournalEntry) {
        self.write_count += 1;
        let subject = entry.subject.clone();
        let log = self.logs.entry(subject.clone()).or_default();
        self.by_last_write.remove(&log.last_write);
        self.by_last_write.insert(self.write_count, subject);
        log.last_write = self.write_count;
        let before = log.entries.len();
        log.push(entry, self.bounds.subject_entries);
        self.entry_total += log.entries.len() - before;
        self.evict();
    }

    fn evict(&mut self) {
        while self.entry_total > self.bounds.entries {
            let Some((_, subject)) = self.by_last_write.pop_first() else {
                return;
            };
            let evicted = self.logs.remove(&subject).unwrap_or_default();
            self.entry_total -= evicted.entries.len();
        }
    }
}

impl SubjectLog {
    /// Adds an entry. A count of delivered tokens replaces the one directly before it;
    /// otherwise a long response would evict its own routing decisions.
    fn push(&mut self, entry: JournalEntry, bound: usize) {
        let is_delivery =
            |entry: &JournalEntry| matches!(entry.event, JournalEvent::Delivered { .. });
        let replaces = is_delivery(&entry) && self.entries.back().is_some_and(is_delivery);
        if replaces {
            self.entries.pop_back();
        } else if self.entries.len() == bound {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(entry);
    }
}
