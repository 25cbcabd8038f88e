//! Answers to callers: a target's own, or a refusal.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::ingress::RejectReason;
use crate::platform::names;
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Body of an answer; an error in it cuts the connection, so that an answer
/// that broke off never looks whole.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Why a request gets no answer of a target, and what its caller may conclude.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// The reason, for the caller, the counters and the log.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// The request has not run and will not.
    pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: RunVerdict::NotRun,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// A target may have run the request, and failed.
    pub fn may_have_run(status: StatusCode, reason: RefusalReason) -> Self {
        Self {
            status,
            verdict: RunVerdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// Targets crashed as they began to run the request, this attempt of it or an
    /// earlier one: it may have run. No time to come back is given, since it would
    /// be refused again.
    pub fn poison() -> Self {
        Self::may_have_run(StatusCode::BAD_GATEWAY, RefusalReason::PoisonRequest)
    }

    /// The configuration does not allow the request.
    pub fn rejected(reason: RejectReason) -> Self {
        let (status, reason) = match reason {
            RejectReason::NoRoute => (StatusCode::NOT_FOUND, RefusalReason::Unknown),
            RejectReason::UnknownKey => (StatusCode::UNAUTHORIZED, RefusalReason::Unauthenticated),
        };
        Self {
            status,
            verdict: RunVerdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// The answer that tells the caller.
    pub fn into_response(self, id: &str) -> Response<ResponseBody> {
        let body = serde_json::json!({
            "verdict": self.verdict,
            "reason": self.reason,
            "request": id,
        });
        let mut response = Response::new(whole_body(Bytes::from(body.to_string())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(names::ATTEMPT_ID, id);
        }
        let after = self
            .retry_after
            .map(|after| format!("{:.2}", after.as_secs_f64()));
        if let Some(Ok(after)) = after.map(|after| HeaderValue::from_str(&after)) {
            headers.insert(header::RETRY_AFTER, after);
        }
        response
    }
}

/// A body that is there as a whole.
pub(super) fn whole_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
