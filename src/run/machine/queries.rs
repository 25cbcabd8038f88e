//! Questions about a run, without effect on it.

use super::{RunMachine, RunPhase};
use crate::ids::{AttemptNumber, TargetId};
use crate::run::RunPlan;
use crate::target::wire::StepRequest;

impl RunMachine {
    /// Answers that matched nothing awaited.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Tokens that the caller was given, with those of earlier entry hosts.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Attempts opened after the first.
    pub fn repairs(&self) -> AttemptNumber {
        self.attempt
    }

    /// Whether the run has ended.
    pub fn is_finished(&self) -> bool {
        self.phase == RunPhase::Finished
    }

    /// The step whose answer is awaited.
    pub fn awaited_order(&self) -> Option<&StepRequest> {
        match &self.phase {
            RunPhase::AwaitAnswer(awaited) => Some(&awaited.order),
            _ => None,
        }
    }

    /// The plan, but for the prompt, and with the targets first chosen.
    pub fn plan(&self) -> &RunPlan {
        &self.plan
    }

    /// Targets that serve the stages now, in order.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.stages.iter().map(|session| &session.target)
    }
}
