//! State machine of one run: events in, decisions out, no I/O.
//!
//! The run sends one range of positions at a time, a forward pass, through the stages.
//! The range always ends with the last known token, and begins with the earliest position
//! that a stage ahead has not run yet. This rule covers prefill (the whole prompt),
//! decoding (one position) and repair (from position zero, if a stage lost its session).

mod forward_pass;
mod order_counts;
mod queries;
mod repair;
mod responses;
mod sending;
mod stage_session;

use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{RunDecision, RunEvent, RunLimits, RunOutcome, RunPlan};
use crate::ids::{AttemptNumber, StageIndex, TargetId, TokenValue};
use crate::reason::{RefusalReason, RetryReason};
use crate::target::wire::StepRequest;
use crate::verdict::RunVerdict;
use forward_pass::ForwardPass;
use order_counts::OrderCounts;
use stage_session::StageSession;

/// One request in one pipeline.
///
/// The driver passes in [`RunEvent::Started`], executes the decisions and passes in the
/// resulting events. At most one of `SendStep`, `ChooseReplacement` and `MoveCache` is
/// pending at a time.
#[derive(Debug)]
pub struct RunMachine {
    plan: RunPlan,
    limits: RunLimits,
    jitter: SmallRng,
    stages: Vec<StageSession>,
    /// Prompt and generated tokens.
    sequence: Vec<TokenValue>,
    delivered: u64,
    /// Highest attempt number used by any stage.
    attempt: AttemptNumber,
    pass: ForwardPass,
    phase: RunPhase,
    /// Targets that failed during this run.
    excluded: Vec<TargetId>,
    /// Those among them that failed by a timeout alone and may have gone on since.
    timed_out: Vec<TargetId>,
    order_counts: OrderCounts,
    dropped: u64,
}

/// The event that the run awaits.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RunPhase {
    /// The run has not started.
    Idle,
    /// The response to a step.
    AwaitResponse(AwaitedStep),
    /// A replacement target for a stage.
    AwaitReplacement {
        stage: StageIndex,
        reason: RetryReason,
        /// Resends of the step that failed; `None` if no step failed and the target is
        /// only leaving.
        resends: Option<u32>,
    },
    /// The end of a KV cache move to the current target of the stage.
    AwaitMove {
        stage: StageIndex,
        reason: RetryReason,
        from: TargetId,
        from_session: String,
    },
    /// Nothing; the run has ended.
    Finished,
}

/// A step whose response is awaited.
#[derive(Debug, Clone, PartialEq, Eq)]
struct AwaitedStep {
    target: TargetId,
    order: StepRequest,
    resends: u32,
}

impl RunMachine {
    /// Creates a run that has not started.
    pub fn new(mut plan: RunPlan, limits: RunLimits) -> Self {
        let sequence = std::mem::take(&mut plan.prompt);
        let sessions = plan.stages.iter().map(StageSession::new);
        Self {
            stages: sessions.collect(),
            sequence,
            delivered: plan.already_delivered,
            attempt: 0,
            pass: ForwardPass::default(),
            phase: RunPhase::Idle,
            excluded: Vec::new(),
            timed_out: Vec::new(),
            order_counts: OrderCounts::new(plan.already_delivered > 0),
            dropped: 0,
            jitter: SmallRng::seed_from_u64(limits.jitter_seed),
            plan,
            limits,
        }
    }

    /// Handles an event and returns the decisions, in the order of execution.
    pub fn handle(&mut self, event: RunEvent, now: Instant) -> Vec<RunDecision> {
        let mut decisions = Vec::new();
        match event {
            RunEvent::ResponseReceived { target, response } => {
                self.on_response(&target, &response, &mut decisions);
            }
            _ if self.phase == RunPhase::Finished => {}
            RunEvent::Started => self.on_started(&mut decisions),
            RunEvent::StepFailed {
                label,
                position,
                failure,
            } => self.on_failure(&label, position, &failure, now, &mut decisions),
            RunEvent::ReplacementChosen { stage, target } => {
                self.on_replacement(stage, target, now, &mut decisions);
            }
            RunEvent::CacheMoved {
                to_session,
                next_position,
            } => self.on_cache_moved(&to_session, next_position, &mut decisions),
            RunEvent::TargetLeaving { target } => self.on_leaving(&target),
            RunEvent::CallerGone => self.give_up(RefusalReason::CallerGone, &mut decisions),
            RunEvent::DeadlineReached => {
                self.give_up(RefusalReason::DeadlinePassed, &mut decisions);
            }
        }
        decisions
    }

    fn on_started(&mut self, decisions: &mut Vec<RunDecision>) {
        if self.phase != RunPhase::Idle {
            return;
        }
        match () {
            () if self.delivered >= self.plan.max_tokens => self.complete(decisions),
            () if self.stages.is_empty() => self.give_up(RefusalReason::NoRoute, decisions),
            () if self.sequence.is_empty() => self.give_up(RefusalReason::Malformed, decisions),
            () => self.begin_pass(None, decisions),
        }
    }

    /// Ends the run with the complete response.
    fn complete(&mut self, decisions: &mut Vec<RunDecision>) {
        self.finish(RunVerdict::Ran, None, decisions);
    }

    /// Ends the run before the response is complete.
    fn give_up(&mut self, reason: RefusalReason, decisions: &mut Vec<RunDecision>) {
        self.finish(self.order_counts.verdict(), Some(reason), decisions);
    }

    fn finish(
        &mut self,
        verdict: RunVerdict,
        refusal: Option<RefusalReason>,
        decisions: &mut Vec<RunDecision>,
    ) {
        if let RunPhase::AwaitMove {
            from, from_session, ..
        } = &self.phase
        {
            decisions.push(RunDecision::CancelSession {
                target: from.clone(),
                session: from_session.clone(),
            });
        }
        for stage in 0..self.stages.len() {
            self.cancel_session(stage, decisions);
        }
        self.phase = RunPhase::Finished;
        decisions.push(RunDecision::Finish(RunOutcome {
            delivered: self.delivered,
            verdict,
            refusal,
        }));
    }

    /// Cancels a stage's session if the target may hold it. This frees its memory and its
    /// positions in a batch, which would run for no caller.
    fn cancel_session(&self, stage: StageIndex, decisions: &mut Vec<RunDecision>) {
        let session = &self.stages[stage];
        if !session.is_used {
            return;
        }
        decisions.push(RunDecision::CancelSession {
            target: session.target.clone(),
            session: session.label(&self.plan.request, stage).session(),
        });
    }
}
