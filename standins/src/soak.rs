//! A randomized soak: real entry hosts as separate processes, faults from
//! outside them, and a check of what callers and targets saw.
//!
//! [`run_soak`] draws everything from one seed: it starts a log service,
//! targets and engines in this process, entry hosts as processes of their own,
//! and callers that keep their connections open until the host is gone. Links
//! of the hosts to the log, of callers to hosts and of hosts to targets pass
//! through a [`FaultLink`]; processes are stopped, paused, killed and started
//! again. [`find_violations`] then judges the history.

mod callers;
mod check;
mod configuration;
mod departure;
mod engines;
mod event_stream;
mod faults;
mod heartbeats;
mod history;
mod host;
mod limit;
mod link;
mod log_service;
mod plan;
mod poison;
mod probe;
mod responses;
mod run;
mod target;

pub use check::{Violation, find_violations};
pub use departure::{
    DepartureReport, run_departure_during_log_outage, run_departure_with_host_cut_off,
};
pub use engines::TargetFault;
pub use history::{
    CallKind, CallOutcome, CallRecord, Disturbance, DisturbanceScope, ProbeRecord, RunRecord,
    SoakHistory, TargetDeparture, TargetLimit,
};
pub use limit::{LimitReport, run_rate_limit};
pub use link::{FaultLink, LinkFault};
pub use plan::{FaultAction, PlannedFault, draw_faults};
pub use poison::{PoisonReport, run_poison_request};
pub use run::{SoakReport, SoakSettings, run_soak};
