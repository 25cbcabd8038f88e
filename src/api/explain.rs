//! Conversion of journal entries for the `explain` endpoint.

use std::time::{SystemTime, UNIX_EPOCH};

use super::wire::{ExplainEntry, ExplainView};
use crate::journal::{Explanation, JournalEntry, JournalSubject};

impl ExplainView {
    /// Converts the journal's entries on a subject. Omitted entries are counted in a
    /// first entry, so that an incomplete list is not taken for a complete one.
    pub fn new(subject: &JournalSubject, explanation: &Explanation) -> Self {
        let omitted = explanation
            .entries
            .first()
            .filter(|_| explanation.dropped > 0)
            .map(|first| ExplainEntry {
                at_ms: unix_millis(first.at),
                subject: subject.to_string(),
                text: format!("{} earlier decisions left out", explanation.dropped),
            });
        let recorded = explanation.entries.iter().map(entry_view);
        Self {
            subject: subject.to_string(),
            entries: omitted.into_iter().chain(recorded).collect(),
        }
    }
}

fn entry_view(entry: &JournalEntry) -> ExplainEntry {
    ExplainEntry {
        at_ms: unix_millis(entry.at),
        subject: entry.subject.to_string(),
        text: entry.event.to_string(),
    }
}

fn unix_millis(at: SystemTime) -> u64 {
    let elapsed = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
