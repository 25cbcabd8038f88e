//! How the journal is shown.

use std::time::{SystemTime, UNIX_EPOCH};

use super::wire::{ExplainEntry, ExplainView};
use crate::journal::{Explanation, JournalEntry, JournalSubject};

impl ExplainView {
    /// Shows what the journal knows about a subject. What is left out is
    /// shown too, so that a part is not taken for the whole.
    pub fn new(subject: &JournalSubject, explanation: &Explanation) -> Self {
        let dropped = explanation
            .entries
            .first()
            .filter(|_| explanation.dropped > 0)
            .map(|first| ExplainEntry {
                at_ms: unix_millis(first.at),
                subject: subject.to_string(),
                text: format!("{} earlier decisions left out", explanation.dropped),
            });
        let kept = explanation.entries.iter().map(shown_entry);
        Self {
            subject: subject.to_string(),
            entries: dropped.into_iter().chain(kept).collect(),
        }
    }
}

fn shown_entry(entry: &JournalEntry) -> ExplainEntry {
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
