//! The decisions about requests and resources with their reasons, for `explain`.
//!
//! The journal is kept in memory and bounded: the entries of a subject are complete, or
//! lack a counted number of the oldest, or are all evicted. The journal contains neither
//! tokens of a model nor bearer tokens.

mod commands;
mod entry;
mod event;
mod queries;
mod table;

pub use entry::{JournalEntry, JournalSubject};
pub use event::JournalEvent;
pub use queries::Explanation;
pub use table::{JournalBounds, JournalTable};
