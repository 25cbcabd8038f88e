//! How a call to a target failed, and what that says about its effect.

use crate::reason::RetryReason;
use crate::run::StepFailure;
use crate::target::wire::TargetRefusal;
use crate::verdict::RunVerdict;

/// A call to a target that brought no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetFailure {
    /// No connection was made, so no byte was sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection broke after bytes may have been sent.
    #[error("no answer: {0}")]
    AnswerLost(String),
    /// The answer did not come whole within the time given.
    #[error("no answer in time")]
    TimedOut,
    /// The target refused the order; nothing of it ran.
    #[error("refused: {0:?}")]
    Refused(TargetRefusal),
    /// The target answered with something that is no answer to this call.
    #[error("unusable answer: {0}")]
    Unusable(String),
}

/// A call to a plain service that brought no answer.
pub type CallFailure = TargetFailure;

impl TargetFailure {
    /// Whether the order may have run.
    ///
    /// `NotRun` only for what is certain: no connection, or the target's own
    /// refusal. A pooled connection that turns out to be closed counts as
    /// `MayHaveRun`, since the client library does not promise to its callers
    /// that nothing was written.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Connect(_) | Self::Refused(_) => RunVerdict::NotRun,
            Self::AnswerLost(_) | Self::TimedOut | Self::Unusable(_) => RunVerdict::MayHaveRun,
        }
    }

    /// Reason under which a retry is counted.
    pub fn reason(&self) -> RetryReason {
        match self {
            Self::Connect(_) => RetryReason::ConnectFailed,
            Self::AnswerLost(_) | Self::TimedOut => RetryReason::AnswerLost,
            Self::Refused(refusal) => refusal_reason(refusal),
            Self::Unusable(_) => RetryReason::AnswerMismatched,
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
