//! Refusals: their HTTP status, and how they are built.

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
    /// A refusal before anything was sent to a target.
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            reason,
            message: message.into(),
            retry_after_ms: None,
            request: None,
        }
    }

    /// Names the request.
    #[must_use]
    pub fn for_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Says when to come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Whole seconds for the `Retry-After` header, rounded up, so that nobody
    /// comes back too early.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms
            .map(|millis| millis.div_ceil(MILLIS_PER_SECOND))
    }
}

/// The HTTP status of a refusal.
///
/// What the caller did wrong comes first, then the verdict: a caller must not
/// read "come back later" where the request may already have run.
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

/// Errors of the HTTP library itself. Those of the client kind arise while a
/// request is read, before anything runs; the others while an answer is
/// written, when everything may have run.
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
