//! What a caller of a non-idempotent request is told without a dispatch.

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
    /// The key was made later than now.
    #[error("the idempotency key comes from the future")]
    KeyFromFuture,
    /// The key was used for another request.
    #[error("the idempotency key was used for a different request")]
    KeyReused,
    /// This host cannot know yet whether the key was claimed before.
    #[error("this host does not know all claims yet")]
    NotCovered,
    /// The log cannot be reached, or refused the claim.
    #[error("the log is unavailable")]
    LogUnavailable,
    /// The claim did not show in the log by its deadline.
    #[error("the claim could not be confirmed in time")]
    NotConfirmed,
    /// The claim was confirmed, but too late to dispatch.
    #[error("the claim's deadline passed before the request was sent")]
    DeadlinePassed,
    /// The host that claimed the key withdrew its claim.
    #[error("the host that claimed the idempotency key withdrew")]
    HolderWithdrew,
}

impl ClaimRefusal {
    /// The reason under which it is counted.
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

/// The answer to a caller whose request this host does not dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResponse {
    /// This host did not run it and never will.
    Refused {
        /// Why.
        refusal: ClaimRefusal,
        /// When the caller may come back with the same key, if at all.
        retry_after: Option<Duration>,
    },
    /// It ended elsewhere, or earlier, in a known way.
    Known(ClaimOutcome),
    /// Another daemon claimed it and cannot be asked.
    Unknown,
}

impl ClaimResponse {
    /// Whether the request may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Refused { .. } => RunVerdict::NotRun,
            Self::Known(outcome) => outcome.verdict,
            Self::Unknown => RunVerdict::MayHaveRun,
        }
    }
}
