//! Handling of responses and delivery of tokens.

use super::{RunMachine, RunPhase};
use crate::ids::{TargetId, TokenValue};
use crate::run::RunDecision;
use crate::target::wire::StepResponse;

impl RunMachine {
    /// Accepts a response if it matches the awaited step in every part, and drops it
    /// otherwise.
    ///
    /// A response may be late (its stage was replaced since), duplicated (the step was
    /// sent again) or belong to another request (mixed up on a shared connection). If
    /// such a response were accepted, it would put a wrong value into all following
    /// stages, and the only symptom would be wrong text. So every part of the label, the
    /// position, the number of outputs and the target are compared.
    pub(super) fn on_response(
        &mut self,
        target: &TargetId,
        response: &StepResponse,
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

    fn is_awaited(&self, target: &TargetId, response: &StepResponse) -> bool {
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
