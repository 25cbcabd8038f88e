//! Sending of a forward pass to its next stage.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{AwaitedStep, RunMachine, RunPhase};
use crate::ids::{StageIndex, TokenPosition};
use crate::reason::{RefusalReason, RetryReason};
use crate::run::RunDecision;
use crate::target::wire::StepRequest;

/// Smallest fraction of a delay that remains after jitter.
const JITTER_FLOOR: f64 = 0.5;

impl RunMachine {
    /// Starts a forward pass at the first stage, from the earliest position needed.
    pub(super) fn begin_pass(
        &mut self,
        retry: Option<RetryReason>,
        decisions: &mut Vec<RunDecision>,
    ) {
        let start = self.earliest_needed(0).min(self.last_position());
        self.pass.stage = 0;
        self.pass.start = start;
        self.pass.inputs.clear();
        let inputs = &self.sequence[start as usize..];
        self.pass.inputs.extend_from_slice(inputs);
        self.continue_pass(retry, decisions);
    }

    /// Sends the forward pass to its current stage. Starts a new pass first if the stage
    /// lacks earlier positions, or requests a replacement if the stage's target is
    /// leaving.
    pub(super) fn continue_pass(
        &mut self,
        retry: Option<RetryReason>,
        decisions: &mut Vec<RunDecision>,
    ) {
        let stage = self.pass.stage;
        let needed = self.earliest_needed(stage);
        match () {
            () if needed < self.pass.start => self.begin_pass(retry, decisions),
            () if self.stages[stage].is_leaving && self.has_repairs_left() => {
                self.request_replacement(stage, RetryReason::TargetLeaving, None, decisions);
            }
            () => {
                self.pass.skip_before(needed);
                self.send_step(0, Duration::ZERO, retry, decisions);
            }
        }
    }

    /// Sends the current step again to the same target after a delay, or gives up if the
    /// delay reaches the deadline.
    pub(super) fn resend_step(
        &mut self,
        resends: u32,
        reason: RetryReason,
        now: Instant,
        decisions: &mut Vec<RunDecision>,
    ) {
        let delay = self.backoff(resends);
        if now + delay >= self.plan.deadline {
            return self.give_up(RefusalReason::DeadlinePassed, decisions);
        }
        self.send_step(resends + 1, delay, Some(reason), decisions);
    }

    fn send_step(
        &mut self,
        resends: u32,
        delay: Duration,
        retry: Option<RetryReason>,
        decisions: &mut Vec<RunDecision>,
    ) {
        let order = self.order();
        let session = &mut self.stages[self.pass.stage];
        session.is_used = true;
        self.order_counts.record_sent();
        self.phase = RunPhase::AwaitResponse(AwaitedStep {
            target: session.target.clone(),
            order: order.clone(),
            resends,
        });
        decisions.push(RunDecision::SendStep {
            target: session.target.clone(),
            order,
            retry,
            delay,
        });
    }

    fn order(&self) -> StepRequest {
        let stage = self.pass.stage;
        let session = &self.stages[stage];
        StepRequest {
            label: session.label(&self.plan.request, stage),
            model: self.plan.model.clone(),
            version: self.plan.version.clone(),
            first_layer: session.first_layer,
            last_layer: session.last_layer,
            position: self.pass.start,
            inputs: self.pass.inputs.clone(),
            priority: self.plan.priority,
        }
    }

    /// Returns the earliest position that `stage` or a later one has not run.
    fn earliest_needed(&self, stage: StageIndex) -> TokenPosition {
        let sessions = self.stages[stage..].iter();
        let needed = sessions.map(|session| session.next_position).min();
        needed.unwrap_or(0)
    }

    fn last_position(&self) -> TokenPosition {
        self.sequence.len().saturating_sub(1) as TokenPosition
    }

    fn backoff(&mut self, resends: u32) -> Duration {
        let doubled = self.limits.backoff_base * (1 << resends.min(16));
        let longest = doubled.min(self.limits.backoff_cap);
        longest.mul_f64(self.jitter.random_range(JITTER_FLOOR..=1.0))
    }
}
