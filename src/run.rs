//! One request over one pipeline: stages, attempts, recovery and verdict.

mod decision;
mod event;
mod plan;

pub use decision::{RunDecision, RunOutcome};
pub use event::{RunEvent, StepFailure};
pub use plan::{PlannedStage, RunPlan};
