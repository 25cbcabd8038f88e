//! What was lost in a run, by cause and second, from the hosts' log lines.
//!
//! Gathering, deciding and presenting are apart: [`DecisionLine`] is one line
//! that counts here, [`LossTally`] says what became of each request, and its
//! table shows it.

mod line;
mod tally;

pub use line::{DecisionLine, RequestOutcome, parse_line};
pub use tally::LossTally;
