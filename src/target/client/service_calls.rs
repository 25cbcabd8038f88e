//! Calls to plain services.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;

use super::{MAX_RESPONSE_BYTES, PathSegment, TargetClient, request};
use crate::target::transport::RawResponse;
use crate::target::{CallFailure, TargetFailure};

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Operation, sent as one path segment.
    pub operation: String,
    /// Forwarded headers, such as the request id.
    pub headers: HeaderMap,
    /// The caller's JSON.
    pub body: Bytes,
    /// Whether the call may use a pooled connection.
    ///
    /// The service may close a pooled connection just as the call is sent, and it is then
    /// unknown whether the call ran. A new connection avoids this for calls that may not
    /// be repeated.
    pub use_pool: bool,
}

/// Response of a service, of any status. The call has run.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl TargetClient {
    /// Calls a plain service once.
    ///
    /// # Errors
    /// Fails with a verdict on whether the call may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: CallRequest,
    ) -> Result<CallResponse, CallFailure> {
        let use_pool = call.use_pool;
        let request = call_request(address, call)?;
        let timeout = self.timeouts.response;
        let response = self
            .transport
            .send(request, use_pool, timeout, MAX_RESPONSE_BYTES);
        Ok(CallResponse::from(response.await?))
    }
}

impl From<RawResponse> for CallResponse {
    fn from(response: RawResponse) -> Self {
        Self {
            status: response.status,
            headers: response.headers,
            body: response.body,
        }
    }
}

pub(super) fn call_request(
    address: SocketAddr,
    call: CallRequest,
) -> Result<Request<Full<Bytes>>, TargetFailure> {
    // Some servers resolve the dot segments to other paths, even if they are
    // percent-encoded.
    if matches!(call.operation.as_str(), "" | "." | "..") {
        return Err(TargetFailure::Connect("invalid operation name".to_owned()));
    }
    let path = format!("/v1/calls/{}", PathSegment(&call.operation));
    let mut request = request(Method::POST, address, &path, call.body)?;
    request.headers_mut().extend(call.headers);
    Ok(request)
}
