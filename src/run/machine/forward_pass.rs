//! The range of positions that passes through the stages.

use crate::ids::{StageIndex, TokenPosition};

/// Consecutive positions that are sent to a stage.
#[derive(Debug, Default)]
pub(super) struct ForwardPass {
    /// The stage that runs the positions next.
    pub(super) stage: StageIndex,
    /// First position.
    pub(super) start: TokenPosition,
    /// Inputs of that stage, one per position.
    pub(super) inputs: Vec<u64>,
}

impl ForwardPass {
    /// Returns the position after the last one.
    pub(super) fn end(&self) -> TokenPosition {
        self.start + self.inputs.len() as TokenPosition
    }

    /// Advances to the next stage, whose inputs are the outputs of this one.
    pub(super) fn advance(&mut self, outputs: &[u64]) {
        self.stage += 1;
        self.inputs.clear();
        self.inputs.extend_from_slice(outputs);
    }

    /// Drops the positions below `start`, but always keeps the last one.
    pub(super) fn skip_before(&mut self, start: TokenPosition) {
        let last = self.end().saturating_sub(1);
        let skipped = start.min(last).saturating_sub(self.start);
        self.inputs.drain(..skipped as usize);
        self.start += skipped;
    }
}
