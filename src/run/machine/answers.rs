//! Taking in answers and delivering tokens.

use super::{RunMachine, RunPhase};
use crate::ids::{TargetId, TokenValue};
use crate::run::RunDecision;
use crate::target::wire::StepResponse;

impl RunMachine {
    /// Takes an answer if it is the one awaited, in every part.
    ///
    /// An answer may be late (its stage was replaced since), doubled (the step
    /// was asked again) or another's (crossed on a shared connection). Taken
    /// for the awaited one, it would put a wrong value into all stages that
    /// follow and show only as wrong text. So each part of the label, the
    /// position, the count of outputs and the target asked are compared.
    pub(super) fn on_answer(
        &mut self,
        target: &TargetId,
        answer: &StepResponse,
        decisions: &mut Vec<RunDecision>,
    ) {
        if !self.is_awaited(target, answer) {
            self.dropped += 1;
            return;
        }
        let end = self.wave.end();
        let is_last = self.wave.stage + 1 == self.stages.len();
        self.stages[self.wave.stage].next_position = end;
        match answer.outputs.last() {
            Some(token) if is_last => self.deliver(*token, decisions),
            _ => {
                self.wave.advance(&answer.outputs);
                self.send_wave(None, decisions);
            }
        }
    }

    fn is_awaited(&self, target: &TargetId, answer: &StepResponse) -> bool {
        match &self.phase {
            RunPhase::AwaitAnswer(awaited) => {
                awaited.target == *target
                    && awaited.order.label == answer.label
                    && awaited.order.position == answer.position
                    && awaited.order.inputs.len() == answer.outputs.len()
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
            false => self.begin_wave(None, decisions),
        }
    }
}
