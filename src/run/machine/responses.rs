//! Taking in answers and delivering tokens.

use super::{RunMachine, RunPhase};
use crate::ids::{TargetId, TokenValue};
use crate::run::RunDecision;
use crate::target::wire::StepAnswer;

impl RunMachine {
    /// Takes an answer if it is the one awaited, in every part.
    ///
    /// An answer may be late (its stage was replaced since), doubled (the step
    /// was asked again) or another's (crossed on a shared connection). Taken
    /// for the awaited one, it would put a wrong value into all stages that
    /// follow and show only as wrong text. So each part of the label, the
    /// position, the count of outputs and the target asked are compared.
    pub(super) fn on_response(
        &mut self,
        target: &TargetId,
        response: &StepAnswer,
        decisions: &mut Vec<RunDecision>,
    ) {
        if !self.is_awaited(target, response) {
            self.dropped += 1;
            return;
        }
        let end = self.pass.end();
        let is_last = self.pass.stage + 1 == self.stages.len();
        self.stages[self.pass.stage].next_position = end;
        match response.outputs.last() {
            Some(token) if is_last => self.deliver(*token, decisions),
            _ => {
                self.pass.advance(&response.outputs);
                self.continue_pass(None, decisions);
            }
        }
    }

    fn is_awaited(&self, target: &TargetId, response: &StepAnswer) -> bool {
        match &self.phase {
            RunPhase::AwaitResponse(awaited) => {
                awaited.target == *target
                    && awaited.order.label == response.label
                    && awaited.order.position == response.position
                    && awaited.order.inputs.len() == response.outputs.len()
            }
            _ => false,
        }
    }

    fn deliver(&mut self, token: TokenValue, decisions: &mut Vec<RunDecision>) {
        decisions.push(RunDecision::DeliverToken {
            number: self.delivered,
            token,
        });
        self.delivered += 1;
        self.sequence.push(token);
        match self.delivered >= self.plan.max_tokens {
            true => self.complete(decisions),
            false => self.begin_pass(None, decisions),
        }
    }
}
