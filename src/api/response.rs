//! Responses of the endpoints: a success, or a refusal with its headers.

use std::fmt;

use dropshot::{
    ApiEndpointResponse, Body, ErrorStatusCode, HttpError, HttpResponse, HttpResponseError,
};
use http::{HeaderValue, Response, StatusCode, header};
use schemars::JsonSchema;
use serde::Serialize;

use super::backend::ChangeRefusal;
use super::refusal::status_of;
use super::wire::{ConflictBody, RefusalBody};
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Header that repeats the verdict of every error response, for callers that read only
/// the head. It also distinguishes these responses from those that the HTTP library
/// creates.
pub(super) const VERDICT_HEADER: &str = "x-verdict";
/// Authentication scheme sent with a 401.
const AUTHENTICATION_SCHEME: &str = "Bearer";
/// Media type of JSON.
pub(super) const JSON: &str = "application/json";

/// Body of the response to a change that was not accepted.
#[derive(Debug, Serialize, JsonSchema)]
#[serde(untagged)]
pub(super) enum ChangeErrorBody {
    /// The change is based on an outdated version.
    Conflict(ConflictBody),
    /// The change was refused.
    Refused(RefusalBody),
}

impl From<ChangeRefusal> for ChangeErrorBody {
    fn from(refusal: ChangeRefusal) -> Self {
        match refusal {
            ChangeRefusal::Conflict(conflict) => Self::Conflict(conflict),
            ChangeRefusal::Refused(refusal) => Self::Refused(refusal),
        }
    }
}

impl From<RefusalBody> for ChangeErrorBody {
    fn from(refusal: RefusalBody) -> Self {
        Self::Refused(refusal)
    }
}

impl From<HttpError> for ChangeErrorBody {
    fn from(error: HttpError) -> Self {
        Self::Refused(error.into())
    }
}

impl fmt::Display for ChangeErrorBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(conflict) => formatter.write_str(&conflict.message),
            Self::Refused(refusal) => refusal.fmt(formatter),
        }
    }
}

impl HttpResponseError for ChangeErrorBody {
    fn status_code(&self) -> ErrorStatusCode {
        match self {
            Self::Conflict(_) => ErrorStatusCode::CONFLICT,
            Self::Refused(refusal) => status_of(refusal),
        }
    }
}

/// An error body that determines headers of its response.
pub(super) trait ErrorHeaders: HttpResponseError + Serialize {
    /// Returns the refusal, unless the error is a conflict.
    fn refusal(&self) -> Option<&RefusalBody>;
}

impl ErrorHeaders for RefusalBody {
    fn refusal(&self) -> Option<&RefusalBody> {
        Some(self)
    }
}

impl ErrorHeaders for ChangeErrorBody {
    fn refusal(&self) -> Option<&RefusalBody> {
        match self {
            Self::Conflict(_) => None,
            Self::Refused(refusal) => Some(refusal),
        }
    }
}

/// A success of type `T`, or a complete error response.
///
/// In the library, error types choose the status and the body but no headers. An endpoint
/// therefore returns its refusals as an `EndpointResponse`; the error type in its
/// signature documents them and carries the library's own errors.
pub(super) enum EndpointResponse<T> {
    Success(T),
    Refused(Response<Body>),
}

impl<T> EndpointResponse<T> {
    /// Converts the result of an endpoint.
    pub(super) fn from_result<E>(result: Result<T, E>) -> Self
    where
        E: ErrorHeaders,
    {
        match result {
            Ok(success) => Self::Success(success),
            Err(error) => Self::Refused(error_response(&error)),
        }
    }
}

impl<T> HttpResponse for EndpointResponse<T>
where
    T: HttpResponse,
{
    fn to_result(self) -> Result<Response<Body>, HttpError> {
        match self {
            Self::Success(success) => success.to_result(),
            Self::Refused(response) => Ok(response),
        }
    }

    fn response_metadata() -> ApiEndpointResponse {
        T::response_metadata()
    }

    fn status_code(&self) -> StatusCode {
        match self {
            Self::Success(success) => success.status_code(),
            Self::Refused(response) => response.status(),
        }
    }
}

/// Returns the header value of a verdict.
pub(super) fn verdict_value(verdict: RunVerdict) -> HeaderValue {
    HeaderValue::from_static(match verdict {
        RunVerdict::NotRun => "not_run",
        RunVerdict::MayHaveRun => "may_have_run",
        RunVerdict::Ran => "ran",
    })
}

/// Returns the complete response of an error.
pub(super) fn error_response<E>(error: &E) -> Response<Body>
where
    E: ErrorHeaders,
{
    let body = serde_json::to_vec(error).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = error.status_code().as_status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON));
    let Some(refusal) = error.refusal() else {
        headers.insert(VERDICT_HEADER, verdict_value(RunVerdict::NotRun));
        return response;
    };
    headers.insert(VERDICT_HEADER, verdict_value(refusal.verdict));
    if let Some(seconds) = refusal.retry_after_seconds() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if refusal.reason == RefusalReason::Unauthenticated {
        headers.insert(
            header::WWW_AUTHENTICATE,
            HeaderValue::from_static(AUTHENTICATION_SCHEME),
        );
    }
    response
}
