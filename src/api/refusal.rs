//! Construction of refusals and their HTTP status.

use std::fmt;
use std::time::Duration;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};

use super::wire::RefusalBody;
use crate::ids::RequestId;
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1000;

impl RefusalBody {
    /// Creates a refusal of a request of which nothing was sent to a target.
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            reason,
            message: message.into(),
            retry_after_ms: None,
            request: None,
        }
    }

    /// Sets the request id.
    #[must_use]
    pub fn for_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Returns whole seconds for the `Retry-After` header, rounded up so that no caller
    /// retries too early.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms
            .map(|millis| millis.div_ceil(MILLIS_PER_SECOND))
    }
}

/// Returns the HTTP status of a refusal.
///
/// Errors of the caller take precedence over the verdict, and the verdict over the
/// reason: a caller must not get a status that suggests a retry if the request may
/// already have run.
pub fn status_of(refusal: &RefusalBody) -> ErrorStatusCode {
    match (refusal.reason, refusal.verdict) {
        (RefusalReason::Malformed, _) => ErrorStatusCode::BAD_REQUEST,
        (RefusalReason::Unauthenticated, _) => ErrorStatusCode::UNAUTHORIZED,
        (RefusalReason::Unknown, _) => ErrorStatusCode::NOT_FOUND,
        (RefusalReason::ClaimedElsewhere | RefusalReason::KeyExpired, _) => {
            ErrorStatusCode::CONFLICT
        }
        (_, RunVerdict::MayHaveRun | RunVerdict::Ran) => ErrorStatusCode::GATEWAY_TIMEOUT,
        (RefusalReason::CapacityUsedUp | RefusalReason::QueueFull, _) => {
            ErrorStatusCode::TOO_MANY_REQUESTS
        }
        _ => ErrorStatusCode::SERVICE_UNAVAILABLE,
    }
}

impl fmt::Display for RefusalBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.reason.name(), self.message)
    }
}

/// Converts an error of the HTTP library. Client errors occur while a request is read,
/// before anything runs; server errors occur while a response is written, when the
/// request may have run.
impl From<HttpError> for RefusalBody {
    fn from(error: HttpError) -> Self {
        let status = error.status_code.as_status();
        if status.is_server_error() {
            return Self {
                verdict: RunVerdict::MayHaveRun,
                ..Self::not_run(RefusalReason::TargetFailed, error.external_message)
            };
        }
        let reason = match status {
            http::StatusCode::NOT_FOUND => RefusalReason::Unknown,
            _ => RefusalReason::Malformed,
        };
        Self::not_run(reason, error.external_message)
    }
}

impl HttpResponseError for RefusalBody {
    fn status_code(&self) -> ErrorStatusCode {
        status_of(self)
    }
}
