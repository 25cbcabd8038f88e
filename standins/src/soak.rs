//! Randomized soak test: runs entry hosts as separate processes, injects faults from
//! outside and checks what callers and targets recorded.
//!
//! [`run_soak`] derives everything from one seed. It starts a log service, targets and
//! engines in this process, entry hosts as processes of their own, and callers that keep
//! their connections open until the host closes them. The connections of hosts to the
//! log, of callers to hosts and of hosts to targets pass through a [`FaultLink`]; host
//! processes are stopped, paused, killed and restarted. [`find_violations`] then checks
//! the history.

mod callers;
mod check;
mod configuration;
mod crowd;
mod departure;
mod endless;
mod engines;
mod event_stream;
mod faults;
mod foreign;
mod heartbeats;
mod history;
mod host;
mod host_link;
mod limit;
mod link;
mod log_service;
mod partition;
mod plan;
mod poison;
mod poison_part;
mod probe;
mod responses;
mod retries;
mod run;
mod shutdown;
mod silence;
mod statement;
mod target;
mod unfinished;

pub use callers::count_calls_without_end;
pub use check::{RetryWindow, Violation, find_violations};
pub use configuration::{HostLimits, RetryBound, ServingTimes};
pub use crowd::{CrowdBody, CrowdPlan, CrowdReport, CrowdSide, run_crowds};
pub use departure::{
    DepartureReport, run_departure_during_log_outage, run_departure_with_host_cut_off,
};
pub use endless::{ConnectionRecord, EndlessPart, EndlessPlan, EndlessReport, run_endless};
pub use engines::{PathPosition, TargetFault};
pub use foreign::{EntryMoment, ForeignReport, run_foreign_entries};
pub use history::{
    AttemptRecord, CallKind, CallOutcome, CallRecord, ConnectionLoss, Disturbance,
    DisturbanceScope, LossPeer, ProbeRecord, RunRecord, SoakHistory, TargetBreak, TargetDeparture,
    TargetLimit,
};
pub use host_link::LinkLoss;
pub use limit::{LimitReport, run_rate_limit};
pub use link::{FaultLink, LinkFault};
pub use partition::{IsolatedHosts, PartitionPlan, PartitionReport, ServedShare, run_partition};
pub use plan::{FaultAction, PlannedFault, draw_faults, draw_standstills, draw_statements};
pub use poison::{PoisonReport, run_poison_request};
pub use poison_part::{
    PoisonPartReport, PoisonPartRestartReport, run_poison_part, run_poison_part_restart,
};
pub use retries::{RetryReport, run_failures_over_restarts};
pub use run::{LinkScope, SoakReport, SoakSettings, TargetFleet, run_soak};
pub use shutdown::{CallTrace, ShutdownPlan, ShutdownReport, run_shutdown};
pub use silence::{SilenceDisruption, SilencePlan, SilenceReport, UnansweredCall, run_silence};
pub use statement::{StatementReport, run_leaving_statement, run_requested_pause};
