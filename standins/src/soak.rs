//! A randomized soak: real entry hosts as separate processes, faults from
//! outside them, and a check of what callers and targets saw.
//!
//! [`run_soak`] draws everything from one seed: it starts a log service,
//! targets and engines in this process, entry hosts as processes of their own,
//! and callers that keep their connections open until the host is gone. Links
//! of the hosts to the log, of callers to hosts and of hosts to targets pass
//! through a [`FaultLink`]; processes are stopped, paused, killed and started
//! again. [`broken_promises`] then judges the history.

mod answers;
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
mod run;
mod target;

pub use check::{BrokenPromise, broken_promises};
pub use departure::{DepartureReport, play_departure_during_cut, play_departure_unread};
pub use engines::TargetFault;
pub use history::{
    CallKind, CallOutcome, CallRecord, Disturbance, DisturbanceScope, ProbeRecord, RunRecord,
    SoakHistory, TargetDeparture, TargetLimit,
};
pub use limit::{LimitReport, play_limit};
pub use link::{FaultLink, LinkFault};
pub use plan::{FaultAction, PlannedFault, draw_faults};
pub use poison::{PoisonReport, play_poison};
pub use run::{SoakReport, SoakSettings, run_soak};
