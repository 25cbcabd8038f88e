//! Counters, gauges and histograms of one daemon.
//!
//! Every label value comes from a closed set, so the number of series is
//! bounded, and each is there from the start: a reason that has never occurred
//! shows as 0 and not as a gap.

mod commands;
mod labels;
mod queries;
mod serving;
mod set;

pub use labels::{AppendOutcome, ClaimResult, DropCause, RequestKind, RequestOutcome};
pub use serving::ServingMetrics;
pub use set::MetricSet;
