//! Log records to state: every reader of the stream of declarations ends up
//! with the same resources, versions and judgements.
//!
//! [`DeclarationTable`] holds the state. Records are applied in the order of
//! the log, each judged by what came before it and by nothing else: no clock,
//! no host, no order of arrival. [`StartPlanner`] finds a checkpoint to start
//! from, [`RecordRelay`] hands records on to peers that cannot read the log,
//! and [`ReadinessTracker`] says whether the host may take work.

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
