//! The state machine of one run: events in, decisions out, no I/O.
//!
//! One range of positions, the wave, travels through the stages. It always
//! ends with the last known token; it begins with the earliest position that
//! some stage ahead has not run yet. That one rule covers prefill (all of the
//! prompt), decoding (one position) and repair (from position zero, if a stage
//! lost its session).

mod answers;
mod queries;
mod repair;
mod send_ledger;
mod sending;
mod stage_session;
mod token_wave;

use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{RunDecision, RunEvent, RunLimits, RunOutcome, RunPlan};
use crate::ids::{AttemptNumber, StageIndex, TargetId, TokenValue};
use crate::reason::{RefusalReason, RetryReason};
use crate::target::wire::StepRequest;
use crate::verdict::RunVerdict;
use send_ledger::SendLedger;
use stage_session::StageSession;
use token_wave::TokenWave;

/// One request over one pipeline.
///
/// Feed it [`RunEvent::Started`], carry out the decisions, feed it what comes
/// of them. At most one of `SendStep`, `ChooseReplacement` and `MoveCache` is
/// open at a time.
#[derive(Debug)]
pub struct RunMachine {
    plan: RunPlan,
    limits: RunLimits,
    jitter: SmallRng,
    stages: Vec<StageSession>,
    /// Prompt and generated tokens.
    sequence: Vec<TokenValue>,
    delivered: u64,
    /// Highest attempt used by any stage.
    attempt: AttemptNumber,
    wave: TokenWave,
    phase: RunPhase,
    /// Targets that failed this run.
    excluded: Vec<TargetId>,
    ledger: SendLedger,
    dropped: u64,
}

/// What the run waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RunPhase {
    /// Nothing was decided yet.
    Idle,
    /// The answer to a step.
    AwaitAnswer(AwaitedStep),
    /// Another target for a stage.
    AwaitReplacement {
        stage: StageIndex,
        reason: RetryReason,
        /// Resends spent on the step that failed; `None` if none failed and
        /// the target is merely leaving.
        resends: Option<u32>,
    },
    /// The end of a move of a KV cache to the target now set for the stage.
    AwaitMove {
        stage: StageIndex,
        reason: RetryReason,
        from: TargetId,
        from_session: String,
    },
    /// Nothing any more.
    Finished,
}

/// A step that was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
struct AwaitedStep {
    target: TargetId,
    order: StepRequest,
    resends: u32,
}

impl RunMachine {
    /// A run that has not begun.
    pub fn new(mut plan: RunPlan, limits: RunLimits) -> Self {
        let sequence = std::mem::take(&mut plan.prompt);
        let sessions = plan.stages.iter().map(StageSession::new);
        Self {
            stages: sessions.collect(),
            sequence,
            delivered: plan.already_delivered,
            attempt: 0,
            wave: TokenWave::default(),
            phase: RunPhase::Idle,
            excluded: Vec::new(),
            ledger: SendLedger::new(plan.already_delivered > 0),
            dropped: 0,
            jitter: SmallRng::seed_from_u64(limits.jitter_seed),
            plan,
            limits,
        }
    }

    /// Takes in what happened and says what to do about it, in order.
    pub fn handle(&mut self, event: RunEvent, now: Instant) -> Vec<RunDecision> {
        let mut decisions = Vec::new();
        match event {
            RunEvent::StepAnswered { target, answer } => {
                self.on_answer(&target, &answer, &mut decisions);
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
            () => self.begin_wave(None, decisions),
        }
    }

    /// Ends the run with the whole answer.
    fn complete(&mut self, decisions: &mut Vec<RunDecision>) {
        self.finish(RunVerdict::Ran, None, decisions);
    }

    /// Ends the run without the whole answer.
    fn give_up(&mut self, reason: RefusalReason, decisions: &mut Vec<RunDecision>) {
        self.finish(self.ledger.verdict(), Some(reason), decisions);
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

    /// Frees what a stage's session holds: memory, and positions in a batch
    /// that would run for nobody.
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
