//! Events of a run.

use crate::ids::{StageIndex, TargetId, TokenPosition};
use crate::reason::RetryReason;
use crate::target::wire::{StepLabel, StepResponse, TargetRefusal};
use crate::verdict::RunVerdict;

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// The run is started.
    Started,
    /// A target responded to a step.
    ResponseReceived {
        /// Target that responded.
        target: TargetId,
        /// Its response, not yet matched against the awaited step.
        response: StepResponse,
    },
    /// A step failed without a usable response.
    StepFailed {
        /// Label of the order.
        label: StepLabel,
        /// Position of the order.
        position: TokenPosition,
        /// How the step failed.
        failure: StepFailure,
    },
    /// The router chose another target for a stage, or found none.
    ReplacementChosen {
        /// Stage to be served.
        stage: StageIndex,
        /// The new target; `None` if no usable target is left.
        target: Option<TargetId>,
    },
    /// A move of a KV cache ended, successfully or not.
    CacheMoved {
        /// Session that was to receive the cache.
        to_session: String,
        /// Next position that the session can run; `None` if the move failed.
        next_position: Option<TokenPosition>,
    },
    /// A target that serves a stage is leaving, but still responds.
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
    /// Reason under which the failure is counted.
    pub reason: RetryReason,
    /// Whether the step timed out without any response, as with a frozen target.
    pub timed_out: bool,
    /// Whether the step may have run on the target.
    pub verdict: RunVerdict,
    /// The refusal that the target returned, if it refused the step.
    pub refusal: Option<TargetRefusal>,
}
