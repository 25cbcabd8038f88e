//! Open-loop load on a fleet, optionally with a fault, and its measurement.
//!
//! The seed determines all arrivals in advance, and latencies count from the intended
//! start, so that a system that falls behind cannot slow down its own measurement. Every
//! history is checked against the guarantees.

mod bound;
mod calibrate;
mod driver;
mod fault;
mod figures;
mod measure;
mod options;
mod outcome;
mod recovery;
mod report;
mod run;
mod schedule;
mod usage;

pub use bound::HardwareBound;
pub use figures::{
    LoadFigures, OrganisationFigures, Quantiles, RecoveryFigures, RequestCounts, UsageFigures,
};
pub use options::{LoadFault, LoadOptions, LoadShape, TrafficMix, load_command};
pub use report::{markdown_row, markdown_table, write_report};
pub use run::run_load;
pub use schedule::{PlannedKind, PlannedRequest, plan_arrivals};
