//! Errors of calls to the platform, and whether a failed append may have taken effect.

use http::StatusCode;
use thiserror::Error;

/// Reason why a call returned no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// The connection failed.
    #[error("cannot connect to the platform: {0}")]
    Connect(String),
    /// The connection broke after the request may have been sent.
    #[error("the connection to the platform broke: {0}")]
    Broken(String),
    /// No complete response arrived in time.
    #[error("the platform did not respond in time")]
    Timeout,
    /// The platform responded with an error status.
    #[error("the platform responded with status {0}")]
    Status(StatusCode),
    /// The response cannot be parsed, or does not match the request.
    #[error("the response of the platform is malformed: {0}")]
    Malformed(String),
    /// The request could not be built.
    #[error("the request to the platform is malformed: {0}")]
    Request(String),
}

/// Whether a failed append may have stored its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendVerdict {
    /// Nothing was stored, and nothing will be.
    NotAppended,
    /// The records may be in the log already or appear later.
    MayBeAppended,
}

/// Error of an append that got no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("append failed ({verdict:?}): {failure}")]
pub struct AppendError {
    /// Whether the records may have been stored.
    pub verdict: AppendVerdict,
    /// Reason of the failure.
    pub failure: CallFailure,
}

impl AppendError {
    /// Derives the verdict from the failure of an append.
    ///
    /// Only a failed connection, a request that could not be built and a refusal by the
    /// service itself prove that nothing was stored. After any other failure the append
    /// may have taken effect, even after a timeout before the first byte of the response.
    pub fn from_failure(failure: CallFailure) -> Self {
        let verdict = match &failure {
            CallFailure::Connect(_) | CallFailure::Request(_) => AppendVerdict::NotAppended,
            CallFailure::Status(status) if is_refusal(*status) => AppendVerdict::NotAppended,
            CallFailure::Status(_)
            | CallFailure::Broken(_)
            | CallFailure::Timeout
            | CallFailure::Malformed(_) => AppendVerdict::MayBeAppended,
        };
        Self { verdict, failure }
    }
}

/// Error of a read of the log or of the host list that got no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("read failed: {failure}")]
pub struct ReadError {
    /// Reason of the failure.
    pub failure: CallFailure,
}

/// Returns whether a status shows that the service itself refused the request.
///
/// Other server errors (500, 502, 504) may come from a proxy or from a failure after the
/// records were stored.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
