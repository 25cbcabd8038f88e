//! What went wrong with a call to the platform, and what it may have done.

use http::StatusCode;
use thiserror::Error;

/// Why a call had no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// No connection could be made.
    #[error("cannot connect to the platform: {0}")]
    Connect(String),
    /// The connection broke after the request may have been sent.
    #[error("the connection to the platform broke: {0}")]
    Broken(String),
    /// No whole answer came within the time allowed.
    #[error("the platform did not answer in time")]
    Timeout,
    /// The platform answered with an error status.
    #[error("the platform answered with status {0}")]
    Status(StatusCode),
    /// The answer cannot be read, or contradicts what was asked.
    #[error("the platform's answer is malformed: {0}")]
    Malformed(String),
    /// The request could not be built.
    #[error("the request to the platform is malformed: {0}")]
    Request(String),
}

/// Whether a failed append may have stored its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendVerdict {
    /// Nothing was stored, now or later.
    NotAppended,
    /// The records may be in the log already or turn up later.
    MayBeAppended,
}

/// An append without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("append failed ({verdict:?}): {failure}")]
pub struct AppendError {
    /// What may have become of the records.
    pub verdict: AppendVerdict,
    /// What went wrong.
    pub failure: CallFailure,
}

impl AppendError {
    /// Judges a failed append.
    ///
    /// Only a failed connect, a request that could not be built and a refusal
    /// by the service itself prove that nothing was stored. All else may have
    /// taken effect, even a timeout before the first byte of the answer.
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

/// A read or a listing without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("read failed: {failure}")]
pub struct ReadError {
    /// What went wrong.
    pub failure: CallFailure,
}

/// Whether a status says that the service itself refused the request.
///
/// Other server errors (500, 502, 504) may come from a relay or from a
/// failure after the records were stored.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
