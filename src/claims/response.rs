//! Responses to callers whose non-idempotent requests are not dispatched.

use std::time::Duration;

use thiserror::Error;

use crate::claims::record::ClaimOutcome;
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Why a non-idempotent request was refused. The verdict is always `NotRun`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClaimRefusal {
    /// The key is older than the window.
    #[error("the idempotency key is too old")]
    KeyExpired,
    /// The creation time of the key is in the future.
    #[error("the idempotency key was created in the future")]
    KeyFromFuture,
    /// The key was used for a different request.
    #[error("the idempotency key was used for a different request")]
    KeyReused,
    /// This host cannot know yet whether the key was claimed before.
    #[error("this host has not read all claims yet")]
    NotCovered,
    /// The log is unreachable, or rejected the claim.
    #[error("the log is unavailable")]
    LogUnavailable,
    /// The claim did not appear in the log before its deadline.
    #[error("the claim could not be confirmed in time")]
    NotConfirmed,
    /// The claim was confirmed, but too late to dispatch the request.
    #[error("the claim's deadline passed before the request was sent")]
    DeadlinePassed,
    /// The host that had claimed the key withdrew its claim.
    #[error("the host that claimed the idempotency key withdrew its claim")]
    HolderWithdrew,
}

impl ClaimRefusal {
    /// Returns the reason under which the refusal is counted.
    pub fn reason(self) -> RefusalReason {
        match self {
            Self::KeyExpired => RefusalReason::KeyExpired,
            Self::KeyFromFuture | Self::KeyReused => RefusalReason::Malformed,
            Self::NotCovered => RefusalReason::NotReady,
            Self::LogUnavailable | Self::NotConfirmed => RefusalReason::LogUnavailable,
            Self::DeadlinePassed => RefusalReason::DeadlinePassed,
            Self::HolderWithdrew => RefusalReason::ClaimedElsewhere,
        }
    }
}

/// The response to a caller whose request this host does not dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResponse {
    /// This host did not run the request and never will.
    Refused {
        /// The cause.
        refusal: ClaimRefusal,
        /// When the caller may retry with the same key; `None` if it must not retry.
        retry_after: Option<Duration>,
    },
    /// The request ended on another host, or earlier, with a known outcome.
    Known(ClaimOutcome),
    /// Another daemon claimed the key and cannot be queried.
    Unknown,
}

impl ClaimResponse {
    /// Returns whether the request may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Refused { .. } => RunVerdict::NotRun,
            Self::Known(outcome) => outcome.verdict,
            Self::Unknown => RunVerdict::MayHaveRun,
        }
    }
}
