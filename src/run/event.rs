//! What happens to a run.

use crate::ids::{StageIndex, TargetId, TokenPosition};
use crate::reason::RetryReason;
use crate::target::wire::{StepLabel, StepResponse, TargetRefusal};
use crate::verdict::RunVerdict;

/// Something that happened and that the run has to decide about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// The run may begin.
    Started,
    /// A target answered a step.
    StepAnswered {
        /// Target that answered.
        target: TargetId,
        /// Its answer, not yet matched against what is awaited.
        answer: StepResponse,
    },
    /// A step brought no answer.
    StepFailed {
        /// Label of the order.
        label: StepLabel,
        /// Position of the order.
        position: TokenPosition,
        /// What went wrong.
        failure: StepFailure,
    },
    /// The router chose another target for a stage, or found none.
    ReplacementChosen {
        /// Stage concerned.
        stage: StageIndex,
        /// The new target; `None` if no usable target is left.
        target: Option<TargetId>,
    },
    /// A move of a KV cache ended.
    CacheMoved {
        /// Session that was to take the cache.
        to_session: String,
        /// Next position that it can run; `None` if the move failed.
        next_position: Option<TokenPosition>,
    },
    /// A target that serves a stage is leaving, but still answers.
    TargetLeaving {
        /// The target.
        target: TargetId,
    },
    /// The caller closed its connection.
    CallerGone,
    /// The deadline was reached.
    DeadlineReached,
}

/// How a step failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepFailure {
    /// Reason, as counted.
    pub reason: RetryReason,
    /// Whether nothing at all came back in time, as from a frozen target.
    pub timed_out: bool,
    /// Whether the step may have run on the target.
    pub verdict: RunVerdict,
    /// The target's own words, if it refused.
    pub refusal: Option<TargetRefusal>,
}
