//! Interface between a run and the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{StageIndex, TargetId, TokenValue};
use crate::reason::RetryReason;
use crate::verdict::RunVerdict;

/// A token to be delivered to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeliveredToken {
    /// Index in the response, from zero, without gaps.
    pub number: u64,
    /// The token.
    pub token: TokenValue,
}

/// An observation of a run about its targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepObservation {
    /// A step was sent.
    Sent {
        /// Stage of the step.
        stage: StageIndex,
        /// Target that the step was sent to.
        target: TargetId,
        /// Number of positions in the step.
        positions: u64,
        /// Why the step was sent again, or to another target; `None` if it is the first
        /// attempt.
        retry: Option<RetryReason>,
    },
    /// The target responded to a step.
    Completed {
        /// Target that the step was sent to.
        target: TargetId,
        /// Number of positions in the step.
        positions: u64,
        /// Time from sending to the end of the response.
        latency: Duration,
    },
    /// A step failed.
    Failed {
        /// Target that the step was sent to.
        target: TargetId,
        /// Number of positions in the step.
        positions: u64,
        /// Why the step failed.
        reason: RetryReason,
        /// Whether the step may have run.
        verdict: RunVerdict,
        /// Time from sending to the failure.
        latency: Duration,
    },
    /// A step was abandoned without a response: the caller disconnected or the deadline
    /// was reached.
    Abandoned {
        /// Target that the step was sent to.
        target: TargetId,
        /// Number of positions in the step.
        positions: u64,
    },
    /// A stage needs another target.
    Replacing {
        /// Stage to be served.
        stage: StageIndex,
        /// Why the stage needs another target.
        reason: RetryReason,
        /// The chosen target; `None` if there is none.
        chosen: Option<TargetId>,
    },
    /// A response did not match the awaited step and was dropped.
    ResponseDropped {
        /// Target that sent the response.
        target: TargetId,
    },
}

/// Callbacks through which a run accesses the daemon's tables. They are called between
/// awaits and must not block.
#[derive(Debug)]
pub struct RunHooks<C, A, L, O>
where
    C: Fn(StageIndex, &[TargetId], RetryReason) -> Option<TargetId>,
    A: Fn(&TargetId) -> Option<SocketAddr>,
    L: Fn(&TargetId) -> bool,
    O: Fn(StepObservation),
{
    /// Returns another target for a stage, none of those listed.
    pub choose: C,
    /// Returns the address of a target.
    pub address: A,
    /// Returns whether a target is leaving.
    pub is_leaving: L,
    /// Receives each observation; every `Sent` is followed by exactly one of `Completed`,
    /// `Failed` and `Abandoned`.
    pub observe: O,
}
