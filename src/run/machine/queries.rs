//! Queries of a run, without effect on it.

use super::{RunMachine, RunPhase};
use crate::ids::{AttemptNumber, TargetId};
use crate::run::RunPlan;
use crate::target::wire::StepRequest;

impl RunMachine {
    /// Returns the number of responses that did not match the awaited step.
    pub fn dropped_responses(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of tokens that the caller received, including those of earlier
    /// entry hosts.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the number of attempts after the first one.
    pub fn repairs(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns whether the run has ended.
    pub fn is_finished(&self) -> bool {
        self.phase == RunPhase::Finished
    }

    /// Returns the step whose response is awaited.
    pub fn awaited_order(&self) -> Option<&StepRequest> {
        match &self.phase {
            RunPhase::AwaitResponse(awaited) => Some(&awaited.order),
            _ => None,
        }
    }

    /// Returns the plan without the prompt, and with the targets as first chosen.
    pub fn plan(&self) -> &RunPlan {
        &self.plan
    }

    /// Returns the targets that currently serve the stages, in order.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.stages.iter().map(|session| &session.target)
    }
}
