//! Replays the declaration stream into a table of resources. Every reader of the same
//! records computes the same resources, versions and judgements.
//!
//! [`DeclarationTable`] holds the state. Records are applied in log order, and the
//! judgement of a record depends only on the records before it: not on a clock, a host or
//! the order of arrival. [`StartPlanner`] finds a checkpoint to start from,
//! [`RecordRelay`] passes records to peers that cannot read the log, and
//! [`ReadinessTracker`] determines whether the host may accept work.

mod check;
mod checkpoint;
mod commands;
mod hash;
mod index;
mod judgement;
mod queries;
mod readiness;
mod recent;
mod relay;
mod start;
mod table;

pub use checkpoint::{CheckpointError, CheckpointSchedule, LogHorizon};
pub use judgement::{ApplyError, InvalidChange, Judgement, RecordOutcome};
pub use queries::{DeclaredEntry, LatestChange, OrganisationEntry, TargetEntry};
pub use readiness::{NotReadyReason, Readiness, ReadinessTracker};
pub use relay::{AppliedRecord, RecordRelay, RelayError, RelayLimits, RelayRange};
pub use start::{StartDecision, StartError, StartPlanner};
pub use table::{DeclarationTable, WindowRules};
