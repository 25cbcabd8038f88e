//! Session of one stage as the entry host knows it.

use crate::ids::{AttemptNumber, LayerIndex, RequestId, StageIndex, TargetId, TokenPosition};
use crate::run::PlannedStage;
use crate::target::wire::StepLabel;

/// A stage and the target that currently serves it.
#[derive(Debug)]
pub(super) struct StageSession {
    pub(super) target: TargetId,
    pub(super) first_layer: LayerIndex,
    pub(super) last_layer: LayerIndex,
    /// Attempt number in the session's label.
    pub(super) attempt: AttemptNumber,
    /// Positions below this one are known to have run in this session.
    pub(super) next_position: TokenPosition,
    /// Whether the target may hold a session under this label.
    pub(super) is_used: bool,
    /// Whether the target is leaving and the stage should be moved to another one.
    pub(super) is_leaving: bool,
}

impl StageSession {
    pub(super) fn new(stage: &PlannedStage) -> Self {
        Self {
            target: stage.target.clone(),
            first_layer: stage.first_layer,
            last_layer: stage.last_layer,
            attempt: 0,
            next_position: 0,
            is_used: false,
            is_leaving: false,
        }
    }

    pub(super) fn label(&self, request: &RequestId, stage: StageIndex) -> StepLabel {
        StepLabel {
            request: request.clone(),
            attempt: self.attempt,
            stage,
        }
    }

    /// Opens an empty session under a label that was never used.
    pub(super) fn reopen(&mut self, attempt: AttemptNumber) {
        self.attempt = attempt;
        self.next_position = 0;
        self.is_used = false;
    }

    /// Assigns the stage to another target and returns the old one.
    pub(super) fn replace_target(&mut self, target: TargetId) -> TargetId {
        self.is_leaving = false;
        std::mem::replace(&mut self.target, target)
    }
}
