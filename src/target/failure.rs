//! Failures of calls to targets, and whether such a call may have run.

use crate::reason::RetryReason;
use crate::run::StepFailure;
use crate::target::wire::TargetRefusal;
use crate::verdict::RunVerdict;

/// Reason why a call to a target returned no usable response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetFailure {
    /// The connection failed, so no byte was sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection broke after bytes may have been sent.
    #[error("no response: {0}")]
    ResponseLost(String),
    /// No complete response arrived in time.
    #[error("no answer in time")]
    TimedOut,
    /// The target refused the request; no part of it ran.
    #[error("refused: {0:?}")]
    Refused(TargetRefusal),
    /// The response is malformed, or not one to this call.
    #[error("unusable response: {0}")]
    Unusable(String),
}

/// Reason why a call to a plain service returned no response.
pub type CallFailure = TargetFailure;

impl TargetFailure {
    /// Returns whether the request may have run.
    ///
    /// The verdict is `NotRun` only if that is certain: without a connection, or after a
    /// refusal by the target itself. A pooled connection that turns out to be closed
    /// counts as `MayHaveRun`, because the client library does not guarantee that nothing
    /// was written.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Connect(_) | Self::Refused(_) => RunVerdict::NotRun,
            Self::ResponseLost(_) | Self::TimedOut | Self::Unusable(_) => RunVerdict::MayHaveRun,
        }
    }

    /// Returns the reason under which a retry is counted.
    pub fn reason(&self) -> RetryReason {
        match self {
            Self::Connect(_) => RetryReason::ConnectFailed,
            Self::ResponseLost(_) | Self::TimedOut => RetryReason::ResponseLost,
            Self::Refused(refusal) => refusal_reason(refusal),
            Self::Unusable(_) => RetryReason::ResponseMismatched,
        }
    }
}

fn refusal_reason(refusal: &TargetRefusal) -> RetryReason {
    use crate::target::wire::TargetRefusalKind::{Leaving, UnknownPosition};
    match refusal.refused {
        UnknownPosition => RetryReason::SessionLost,
        Leaving => RetryReason::TargetLeaving,
        _ => RetryReason::TargetRefused,
    }
}

impl From<TargetFailure> for StepFailure {
    fn from(failure: TargetFailure) -> Self {
        Self {
            reason: failure.reason(),
            timed_out: failure == TargetFailure::TimedOut,
            verdict: failure.verdict(),
            refusal: match failure {
                TargetFailure::Refused(refusal) => Some(refusal),
                _ => None,
            },
        }
    }
}
