//! Runs one request through one pipeline: stages, attempts, recovery and verdict.

mod decision;
pub mod driver;
mod event;
mod hooks;
mod limits;
mod machine;
mod plan;

pub use decision::{RunDecision, RunOutcome};
pub use driver::drive_run;
pub use event::{RunEvent, StepFailure};
pub use hooks::{DeliveredToken, RunHooks, StepObservation};
pub use limits::{RecoveryMode, RunLimits};
pub use machine::RunMachine;
pub use plan::{PlannedStage, RunPlan};
