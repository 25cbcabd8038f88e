//! What was decided about requests and resources, and why, for `explain`.
//!
//! Kept in memory and bounded: the journal of a subject is whole, or shows how
//! much of its beginning is left out, or is gone. Neither tokens of a model
//! nor bearer tokens are in it.

mod commands;
mod entry;
mod event;
mod queries;
mod table;

pub use entry::{JournalEntry, JournalSubject};
pub use event::JournalEvent;
pub use queries::Explanation;
pub use table::{JournalBounds, JournalTable};
