//! Decisions of the run's state machine.

use std::time::Duration;

use crate::ids::{StageIndex, TargetId, TokenValue};
use crate::reason::{RefusalReason, RetryReason};
use crate::target::wire::StepRequest;
use crate::verdict::RunVerdict;

/// An action that the driver has to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunDecision {
    /// Send a step; also used to request a lost response again.
    SendStep {
        /// Target that receives the step.
        target: TargetId,
        /// The order.
        order: StepRequest,
        /// Why the step is sent again; `None` if it is the first attempt.
        retry: Option<RetryReason>,
        /// How long to wait before sending.
        delay: Duration,
    },
    /// Deliver one token to the caller.
    DeliverToken {
        /// Index of the token in the response, from zero.
        number: u64,
        /// The token.
        token: TokenValue,
    },
    /// Choose another target for a stage.
    ChooseReplacement {
        /// Stage to be served.
        stage: StageIndex,
        /// Targets that must not be chosen.
        excluded: Vec<TargetId>,
        /// Why the stage needs another target.
        reason: RetryReason,
    },
    /// Move a session's KV cache to another target that holds the same layers, and report
    /// [`RunEvent::CacheMoved`](super::RunEvent::CacheMoved).
    MoveCache {
        /// Target that holds the session.
        from: TargetId,
        /// Session on the source.
        from_session: String,
        /// Target that receives the cache.
        to: TargetId,
        /// Session on the receiver.
        to_session: String,
    },
    /// Cancel a session that is no longer needed.
    CancelSession {
        /// Target that holds the session.
        target: TargetId,
        /// Name of the session.
        session: String,
    },
    /// End the run; no decision follows.
    Finish(RunOutcome),
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunOutcome {
    /// Tokens delivered in total, including those of an earlier entry host.
    pub delivered: u64,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Why the run was given up; `None` if the response is complete.
    pub refusal: Option<RefusalReason>,
}
