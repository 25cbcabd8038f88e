//! Handling of failed steps: resend the step, replace the target, or give up.

use std::time::Instant;

use super::{RunMachine, RunPhase};
use crate::ids::{StageIndex, TargetId, TokenPosition};
use crate::reason::{RefusalReason, RetryReason};
use crate::run::{RecoveryMode, RunDecision, StepFailure};
use crate::target::wire::{StepLabel, TargetRefusalKind};

/// How a failed step is repaired.
enum StepRepair {
    /// Send the same step again; the target returns the recorded outputs if it ran.
    Resend,
    /// Open a new session on the same target, which lost the old one.
    Reopen,
    /// Use another target.
    Replace,
}

impl RunMachine {
    pub(super) fn on_failure(
        &mut self,
        label: &StepLabel,
        position: TokenPosition,
        failure: &StepFailure,
        now: Instant,
        decisions: &mut Vec<RunDecision>,
    ) {
        let resends = match &self.phase {
            RunPhase::AwaitResponse(awaited)
                if awaited.order.label == *label && awaited.order.position == position =>
            {
                awaited.resends
            }
            _ => return,
        };
        self.order_counts.record_failed(failure.verdict);
        let stage = self.pass.stage;
        match self.choose_repair(failure, resends) {
            StepRepair::Resend => self.resend_step(resends, failure.reason, now, decisions),
            StepRepair::Reopen if self.has_repairs_left() => {
                self.cancel_session(stage, decisions);
                self.open_session(stage, decisions);
                self.continue_pass(Some(failure.reason), decisions);
            }
            StepRepair::Replace if self.has_repairs_left() => {
                let target = &self.stages[stage].target;
                if failure.timed_out && !self.timed_out.contains(target) {
                    self.timed_out.push(target.clone());
                }
                self.request_replacement(stage, failure.reason, Some(resends), decisions);
            }
            StepRepair::Replace if self.may_ask_again(resends) => {
                self.resend_step(resends, failure.reason, now, decisions);
            }
            StepRepair::Reopen | StepRepair::Replace => {
                self.give_up(RefusalReason::RetryBudgetSpent, decisions);
            }
        }
    }

    fn choose_repair(&self, failure: &StepFailure, resends: u32) -> StepRepair {
        let bound = match failure.timed_out {
            true => self.limits.resends_after_timeout,
            false => self.limits.resends_per_step,
        };
        let may_resend = resends < bound;
        let refusal = failure.refusal.as_ref().map(|refusal| refusal.refused);
        match (failure.reason, refusal) {
            (_, Some(TargetRefusalKind::UnknownPosition)) if self.pass.start > 0 => {
                StepRepair::Reopen
            }
            (_, Some(TargetRefusalKind::Overloaded)) if may_resend => StepRepair::Resend,
            (_, Some(_)) => StepRepair::Replace,
            (RetryReason::ResponseLost | RetryReason::ResponseMismatched, None) if may_resend => {
                StepRepair::Resend
            }
            _ => StepRepair::Replace,
        }
    }

    /// Returns whether a target that failed may get the step again if no other one can be
    /// used.
    fn may_ask_again(&self, resends: u32) -> bool {
        resends < self.limits.resends_per_step
    }

    pub(super) fn has_repairs_left(&self) -> bool {
        self.attempt < self.limits.max_repairs
    }

    pub(super) fn request_replacement(
        &mut self,
        stage: StageIndex,
        reason: RetryReason,
        resends: Option<u32>,
        decisions: &mut Vec<RunDecision>,
    ) {
        let target = &self.stages[stage].target;
        if !self.excluded.contains(target) {
            self.excluded.push(target.clone());
        }
        self.phase = RunPhase::AwaitReplacement {
            stage,
            reason,
            resends,
        };
        decisions.push(RunDecision::ChooseReplacement {
            stage,
            excluded: self.excluded.clone(),
            reason,
        });
    }

    pub(super) fn on_replacement(
        &mut self,
        chosen_stage: StageIndex,
        target: Option<TargetId>,
        now: Instant,
        decisions: &mut Vec<RunDecision>,
    ) {
        let (reason, resends) = match self.phase {
            RunPhase::AwaitReplacement {
                stage,
                reason,
                resends,
            } if stage == chosen_stage => (reason, resends),
            _ => return,
        };
        match target {
            Some(target) if self.can_move_cache(chosen_stage, reason) => {
                self.move_cache(chosen_stage, target, reason, decisions);
            }
            Some(target) => {
                self.cancel_session(chosen_stage, decisions);
                self.stages[chosen_stage].replace_target(target);
                self.open_session(chosen_stage, decisions);
                self.continue_pass(Some(reason), decisions);
            }
            None => {
                self.continue_without_replacement(chosen_stage, resends, reason, now, decisions);
            }
        }
    }

    /// Continues with the old target, which may be reachable again, or may still serve
    /// although it is leaving.
    fn continue_without_replacement(
        &mut self,
        stage: StageIndex,
        resends: Option<u32>,
        reason: RetryReason,
        now: Instant,
        decisions: &mut Vec<RunDecision>,
    ) {
        match resends {
            None => {
                self.stages[stage].is_leaving = false;
                self.continue_pass(None, decisions);
            }
            Some(resends) if self.may_ask_again(resends) => {
                self.resend_step(resends, reason, now, decisions);
            }
            Some(_) if self.readmit_timed_out(stage) => match self.has_repairs_left() {
                true => self.request_replacement(stage, reason, resends, decisions),
                false => self.give_up(RefusalReason::RetryBudgetSpent, decisions),
            },
            Some(_) => self.give_up(RefusalReason::NoRoute, decisions),
        }
    }

    /// Allows targets that timed out to be chosen again, except that of `stage`, which has
    /// failed just now. Returns whether there are any.
    fn readmit_timed_out(&mut self, stage: StageIndex) -> bool {
        let target = &self.stages[stage].target;
        let others = |id: &mut TargetId| id != target;
        let readmitted = self.timed_out.extract_if(.., others).collect::<Vec<_>>();
        self.excluded.retain(|id| !readmitted.contains(id));
        !readmitted.is_empty()
    }

    /// Returns whether the KV cache can be moved to the new target. A move is attempted
    /// only if the old target itself has just responded: an export from a dead or frozen
    /// target would cost a whole timeout before the replay that is needed anyway.
    fn can_move_cache(&self, stage: StageIndex, reason: RetryReason) -> bool {
        let still_responds = matches!(
            reason,
            RetryReason::TargetLeaving | RetryReason::TargetRefused
        );
        let holds_cache = self.stages[stage].next_position > 0;
        self.limits.recovery == RecoveryMode::MoveCache && still_responds && holds_cache
    }

    fn move_cache(
        &mut self,
        stage: StageIndex,
        to: TargetId,
        reason: RetryReason,
        decisions: &mut Vec<RunDecision>,
    ) {
        let attempt = self.next_attempt();
        let session = &mut self.stages[stage];
        let from_session = session.label(&self.plan.request, stage).session();
        let from = session.replace_target(to.clone());
        session.reopen(attempt);
        // The import may take effect even if its response is lost.
        session.is_used = true;
        decisions.push(RunDecision::MoveCache {
            from: from.clone(),
            from_session: from_session.clone(),
            to,
            to_session: session.label(&self.plan.request, stage).session(),
        });
        self.phase = RunPhase::AwaitMove {
            stage,
            reason,
            from,
            from_session,
        };
    }

    pub(super) fn on_cache_moved(
        &mut self,
        to_session: &str,
        next_position: Option<TokenPosition>,
        decisions: &mut Vec<RunDecision>,
    ) {
        let (stage, reason, cancel_old) = match &self.phase {
            RunPhase::AwaitMove {
                stage,
                reason,
                from,
                from_session,
            } if self.stages[*stage]
                .label(&self.plan.request, *stage)
                .session()
                == to_session =>
            {
                let cancel_old = RunDecision::CancelSession {
                    target: from.clone(),
                    session: from_session.clone(),
                };
                (*stage, *reason, cancel_old)
            }
            _ => return,
        };
        decisions.push(cancel_old);
        match next_position {
            Some(position) => {
                let end = self.sequence.len() as TokenPosition;
                self.stages[stage].next_position = position.min(end);
            }
            // The import may still arrive and replace a live session by an old cache, so
            // the replay gets a label that no import uses.
            None => {
                self.cancel_session(stage, decisions);
                self.open_session(stage, decisions);
            }
        }
        self.continue_pass(Some(reason), decisions);
    }

    pub(super) fn on_leaving(&mut self, target: &TargetId) {
        let sessions = self.stages.iter_mut();
        for session in sessions.filter(|session| session.target == *target) {
            session.is_leaving = true;
        }
    }

    /// Gives a stage an empty session under a new label; with
    /// [`RecoveryMode::NewAttempt`], gives one to every stage.
    fn open_session(&mut self, stage: StageIndex, decisions: &mut Vec<RunDecision>) {
        let attempt = self.next_attempt();
        if self.limits.recovery != RecoveryMode::NewAttempt {
            return self.stages[stage].reopen(attempt);
        }
        for index in 0..self.stages.len() {
            if index != stage {
                self.cancel_session(index, decisions);
            }
            self.stages[index].reopen(attempt);
        }
    }

    fn next_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.attempt
    }
}
