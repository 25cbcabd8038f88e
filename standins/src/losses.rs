//! Requests that were lost in a run, by cause and second, from the log lines of the
//! hosts.
//!
//! Parsing, counting and presentation are separate: [`DecisionLine`] is a parsed line
//! that states an outcome, and [`LossTally`] counts the outcomes and formats the table.

mod line;
mod tally;

pub use line::{DecisionLine, RequestOutcome, parse_line};
pub use tally::LossTally;
