//! What a run asks of the daemon around it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{StageIndex, TargetId, TokenValue};
use crate::reason::RetryReason;
use crate::verdict::RunVerdict;

/// A token for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeliveredToken {
    /// Number in the answer, from zero, without gaps.
    pub number: u64,
    /// The token.
    pub token: TokenValue,
}

/// What a run saw of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepObservation {
    /// A step was sent.
    Sent {
        /// Stage that the step is for.
        stage: StageIndex,
        /// Target asked.
        target: TargetId,
        /// Positions in the step.
        positions: u64,
        /// Why it was sent again, or to another target, if it was.
        retry: Option<RetryReason>,
    },
    /// A step was answered.
    Completed {
        /// Target asked.
        target: TargetId,
        /// Positions in the step.
        positions: u64,
        /// Time from sending to the end of the answer.
        latency: Duration,
    },
    /// A step failed.
    Failed {
        /// Target asked.
        target: TargetId,
        /// Positions in the step.
        positions: u64,
        /// Reason.
        reason: RetryReason,
        /// Whether it may have run.
        verdict: RunVerdict,
        /// Time from sending to the failure.
        latency: Duration,
    },
    /// A step was given up unanswered: caller gone or deadline reached.
    Abandoned {
        /// Target asked.
        target: TargetId,
        /// Positions in the step.
        positions: u64,
    },
    /// A stage needs another target.
    Replacing {
        /// Stage concerned.
        stage: StageIndex,
        /// Why.
        reason: RetryReason,
        /// The target chosen, if there is one.
        chosen: Option<TargetId>,
    },
    /// An answer matched nothing awaited and was dropped.
    ResponseDropped {
        /// Target that sent it.
        target: TargetId,
    },
}

/// Closures by which a run reaches the daemon's tables. They are called
/// between awaits and must not block.
#[derive(Debug)]
pub struct RunHooks<C, A, L, O>
where
    C: Fn(StageIndex, &[TargetId], RetryReason) -> Option<TargetId>,
    A: Fn(&TargetId) -> Option<SocketAddr>,
    L: Fn(&TargetId) -> bool,
    O: Fn(StepObservation),
{
    /// Another target for a stage, none of those listed.
    pub choose: C,
    /// Address of a target.
    pub address: A,
    /// Whether a target is leaving.
    pub is_leaving: L,
    /// Told of each step; every `Sent` is followed by exactly one of
    /// `Completed`, `Failed` and `Abandoned`.
    pub observe: O,
}
