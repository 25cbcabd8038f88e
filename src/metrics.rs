//! Counters, gauges and histograms of one daemon.
//!
//! Every label value comes from a closed set, so the number of series is bounded. The
//! series of these sets exist from the start: a reason that has never occurred is
//! reported as 0 instead of a missing series.

mod capacity_gauges;
mod commands;
mod labels;
mod queries;
mod retry_gauges;
mod serving;
mod set;

pub use labels::{AppendOutcome, ClaimResult, DropCause, RequestKind, RequestOutcome};
pub use serving::ServingMetrics;
pub use set::MetricSet;
