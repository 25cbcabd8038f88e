//! What a run decides.

use std::time::Duration;

use crate::ids::{StageIndex, TargetId, TokenValue};
use crate::reason::{RefusalReason, RetryReason};
use crate::target::wire::StepRequest;
use crate::verdict::RunVerdict;

/// Something that the shell has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunDecision {
    /// Send a step; also used to ask again for an answer that was lost.
    SendStep {
        /// Target to send to.
        target: TargetId,
        /// The order.
        order: StepRequest,
        /// Why it is sent again, if it is.
        retry: Option<RetryReason>,
        /// How long to wait before it is sent.
        delay: Duration,
    },
    /// Give the caller one token.
    DeliverToken {
        /// Number of the token in the answer, from zero.
        number: u64,
        /// The token.
        token: TokenValue,
    },
    /// Ask the router for another target of a stage.
    ChooseReplacement {
        /// Stage concerned.
        stage: StageIndex,
        /// Targets not to be chosen.
        excluded: Vec<TargetId>,
        /// Why.
        reason: RetryReason,
    },
    /// Move a session's KV cache to another holder of the same range, and
    /// report [`RunEvent::CacheMoved`](super::RunEvent::CacheMoved).
    MoveCache {
        /// Target that holds the session.
        from: TargetId,
        /// Session there.
        from_session: String,
        /// Target that takes over.
        to: TargetId,
        /// Session there.
        to_session: String,
    },
    /// Cancel a session that is no longer needed.
    CancelSession {
        /// Target that holds it.
        target: TargetId,
        /// Its name.
        session: String,
    },
    /// End the run; nothing is decided after it.
    Finish(RunOutcome),
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunOutcome {
    /// Tokens delivered in all, including those of an earlier entry host.
    pub delivered: u64,
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// Why it was given up; `None` if the answer is whole.
    pub refusal: Option<RefusalReason>,
}
