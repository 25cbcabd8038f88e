//! Reads whole requests within the bounds.

use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use uuid::Uuid;

use super::{ApiBounds, SLOT_HEADER};
use crate::api::head::malformed;
use crate::api::response::error_response;
use crate::api::wire::{NON_IDEMPOTENT_HEADER, RefusalBody};
use crate::buffer::{BodyBlocks, BufferBudget, CollectError, collect_body};
use crate::reason::RefusalReason;

/// Header with the request id.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How many times the maximum body length is read and discarded before the connection is
/// closed while the caller is still sending.
const DISCARD_FACTOR: usize = 4;

/// Time after which a caller should retry when the memory for bodies is used up: bodies that
/// stall make way after two seconds.
const MEMORY_RETRY: Duration = Duration::from_secs(2);

/// Headers that may occur only once. If one were repeated, two components could each use
/// a different value of it.
static SINGLE_HEADERS: [HeaderName; 4] = [
    header::AUTHORIZATION,
    HeaderName::from_static("idempotency-key"),
    HeaderName::from_static(NON_IDEMPOTENT_HEADER),
    REQUEST_ID,
];

/// Headers that concern one connection only, and the length, which is set again.
static HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static(SLOT_HEADER),
];

/// A request that exceeded a bound or could not be read.
#[derive(Debug)]
pub(super) struct RequestRefusal {
    /// Status of the response; more specific than the one that belongs to the reason.
    status: StatusCode,
    body: RefusalBody,
}

impl RequestRefusal {
    fn new(status: StatusCode, message: &str) -> Self {
        Self {
            status,
            body: malformed(message),
        }
    }

    /// Converts the refusal into a response.
    pub(super) fn into_response(self) -> Response<Body> {
        let mut response = error_response(&self.body);
        *response.status_mut() = self.status;
        response
    }
}

/// Reads a request and prepares it for forwarding.
///
/// # Errors
/// Returns a refusal if a bound is exceeded or the request is malformed.
pub(super) async fn read(
    request: Request<Incoming>,
    bounds: &ApiBounds,
    budget: &BufferBudget,
) -> Result<Request<BodyBlocks>, RequestRefusal> {
    let (mut parts, body) = request.into_parts();
    let body = read_body(body, bounds, budget).await?;
    check_duplicates(&parts.headers)?;
    for name in &HOP_BY_HOP_HEADERS {
        parts.headers.remove(name);
    }
    parts.version = http::Version::HTTP_11;
    parts.extensions.clear();
    parts
        .headers
        .entry(REQUEST_ID)
        .or_insert_with(new_request_id);
    Ok(Request::from_parts(parts, body))
}

fn new_request_id() -> http::HeaderValue {
    let id = Uuid::new_v4().to_string();
    http::HeaderValue::try_from(id).unwrap_or(http::HeaderValue::from_static(""))
}

fn check_duplicates(headers: &HeaderMap) -> Result<(), RequestRefusal> {
    let duplicated = SINGLE_HEADERS
        .iter()
        .find(|name| headers.get_all(*name).iter().count() > 1);
    match duplicated {
        None => Ok(()),
        Some(name) => Err(RequestRefusal::new(
            StatusCode::BAD_REQUEST,
            &format!("header {name} may occur only once"),
        )),
    }
}

async fn read_body(
    mut body: Incoming,
    bounds: &ApiBounds,
    budget: &BufferBudget,
) -> Result<BodyBlocks, RequestRefusal> {
    let reading = collect_body(&mut body, bounds.body_bytes, budget.open());
    let error = match tokio::time::timeout(bounds.body_timeout, reading).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(error)) => error,
        Err(_) => return Err(late_body()),
    };
    match error {
        CollectError::TooLong => {
            drain_body(body, bounds).await;
            let message = format!("the body is longer than {} bytes", bounds.body_bytes);
            Err(RequestRefusal::new(StatusCode::PAYLOAD_TOO_LARGE, &message))
        }
        CollectError::Body(_) => Err(RequestRefusal::new(
            StatusCode::BAD_REQUEST,
            "the body could not be read",
        )),
        CollectError::Evicted => Err(late_body()),
        CollectError::Denied => Err(RequestRefusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            body: RefusalBody::not_run(RefusalReason::NoMemory, "the memory for bodies is used up")
                .retry_after(MEMORY_RETRY),
        }),
    }
}

fn late_body() -> RequestRefusal {
    RequestRefusal::new(
        StatusCode::REQUEST_TIMEOUT,
        "the body did not arrive in time",
    )
}

/// Reads and discards the rest of a body that is too long, within bounds. Closing the
/// connection with unread bytes would reset it, and the caller would lose the response
/// that gives the reason.
async fn drain_body(mut body: Incoming, bounds: &ApiBounds) {
    let mut remaining = bounds.body_bytes.saturating_mul(DISCARD_FACTOR);
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            remaining = remaining.saturating_sub(length);
            if remaining == 0 || body.is_end_stream() {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(bounds.body_timeout, reading).await;
}
