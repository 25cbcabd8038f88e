//! Responses to callers: a target's own, or a refusal.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::exchange::OTHER_HOST_RETRY;
use crate::buffer::BodyBlocks;
use crate::ingress::RejectReason;
use crate::platform::names;
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Body of a response. An error in it closes the connection, so that a truncated response
/// is never taken for a complete one.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Why a request gets no response from a target, and what its caller may conclude.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Status of the response.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Reason as the caller, the metrics and the log show it.
    pub reason: RefusalReason,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a request that has not run and will not run.
    pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: RunVerdict::NotRun,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Creates the refusal of a request that another host can serve, since this one is
    /// shutting down.
    pub(super) fn draining() -> Self {
        Self::not_run(RefusalReason::Draining, OTHER_HOST_RETRY)
    }

    /// Creates the refusal of a request that a target may have run before it failed.
    pub fn may_have_run(status: StatusCode, reason: RefusalReason) -> Self {
        Self {
            status,
            verdict: RunVerdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// Creates the refusal of a request under which targets crashed as they began to run
    /// it, in this attempt or an earlier one, so that it may have run. It has no
    /// `Retry-After`, since the request would be refused again.
    pub fn poison() -> Self {
        Self::may_have_run(StatusCode::BAD_GATEWAY, RefusalReason::PoisonRequest)
    }

    /// Creates the refusal of a request with a part of a prompt under which targets crashed.
    /// The request itself has not run. It has no `Retry-After`, since it would be refused
    /// again.
    pub fn poison_part() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: RunVerdict::NotRun,
            reason: RefusalReason::PoisonRequest,
            retry_after: None,
        }
    }

    /// Creates the refusal of a request whose body has not arrived in time, so that it has not
    /// run and will not run.
    pub(super) fn timed_out(reason: RefusalReason) -> Self {
        Self {
            status: StatusCode::REQUEST_TIMEOUT,
            verdict: RunVerdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Creates the refusal of a request that the configuration does not allow.
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

    /// Builds the response that reports the refusal to the caller.
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

/// Creates a body from blocks that are complete.
pub(super) fn block_body(blocks: BodyBlocks) -> ResponseBody {
    blocks.map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body from bytes that are complete.
pub(super) fn whole_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
