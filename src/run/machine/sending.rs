//! Sending the wave to its next stage.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{AwaitedStep, RunMachine, RunPhase};
use crate::ids::{StageIndex, TokenPosition};
use crate::reason::{RefusalReason, RetryReason};
use crate::run::RunDecision;
use crate::target::wire::StepRequest;

/// Smallest part of a wait that jitter leaves.
const JITTER_FLOOR: f64 = 0.5;

impl RunMachine {
    /// Starts a wave at the first stage, from the earliest position needed.
    pub(super) fn begin_wave(
        &mut self,
        retry: Option<RetryReason>,
        decisions: &mut Vec<RunDecision>,
    ) {
        let start = self.needed_from(0).min(self.last_position());
        self.wave.stage = 0;
        self.wave.start = start;
        self.wave.inputs.clear();
        let inputs = &self.sequence[start as usize..];
        self.wave.inputs.extend_from_slice(inputs);
        self.send_wave(retry, decisions);
    }

    /// Sends the wave to its stage, or first mends what stands in the way.
    pub(super) fn send_wave(
        &mut self,
        retry: Option<RetryReason>,
        decisions: &mut Vec<RunDecision>,
    ) {
        let stage = self.wave.stage;
        let needed = self.needed_from(stage);
        match () {
            () if needed < self.wave.start => self.begin_wave(retry, decisions),
            () if self.stages[stage].is_leaving && self.has_repairs_left() => {
                self.ask_replacement(stage, RetryReason::TargetLeaving, None, decisions);
            }
            () => {
                self.wave.skip_to(needed);
                self.send_step(0, Duration::ZERO, retry, decisions);
            }
        }
    }

    /// Sends the wave's step again to the same target, if bounds allow it.
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
        let session = &mut self.stages[self.wave.stage];
        session.is_used = true;
        self.ledger.record_sent();
        self.phase = RunPhase::AwaitAnswer(AwaitedStep {
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
        let stage = self.wave.stage;
        let session = &self.stages[stage];
        StepRequest {
            label: session.label(&self.plan.request, stage),
            model: self.plan.model.clone(),
            version: self.plan.version.clone(),
            first_layer: session.first_layer,
            last_layer: session.last_layer,
            position: self.wave.start,
            inputs: self.wave.inputs.clone(),
            priority: self.plan.priority,
        }
    }

    /// Earliest position that `stage` or one after it has not run.
    fn needed_from(&self, stage: StageIndex) -> TokenPosition {
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
